#include "decisions/copygate.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using decisions::copy_gate;

namespace {

constexpr std::size_t configurationBytes = 810000;
constexpr std::size_t bytesPerMs = 1250; // a link of 10 Mbit/s

/// Nodes that copy a configuration from each other, where at first one node has it. Each of the others asks
/// a random node that has it, and asks again after half a second if it was denied.
struct fleet_simulation {
    struct node {
        bool hasIt = false;
        int askingAt = 0; ///< ms
        int doneAt = -1; ///< ms, end of the copy that it receives; -1: none
        std::size_t holder = 0; ///< sender of that copy
        std::size_t sending = 0; ///< copies that it sends
        copy_gate gate;
    };
    std::vector<node> nodes;
    std::mt19937 random { 7 };
    std::size_t maxConcurrentCopies = 0; ///< sent by one node

    explicit fleet_simulation(std::size_t count)
        : nodes(count)
    {
        nodes[0].hasIt = true;
    }

    /// Returns the time in ms until all nodes have the configuration; -1 after 60 s.
    int run()
    {
        for (int now = 0; now < 60000; ++now) {
            std::vector<std::size_t> holders;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i].doneAt == now)
                    finish(nodes[i]);
                if (nodes[i].hasIt)
                    holders.push_back(i);
            }
            if (holders.size() == nodes.size())
                return now;
            for (node& each : nodes) {
                if (!each.hasIt && each.doneAt < 0 && each.askingAt <= now)
                    ask(each, holders[random() % holders.size()], now);
            }
        }
        return -1;
    }

private:
    void finish(node& receiver)
    {
        receiver.hasIt = true;
        receiver.doneAt = -1;
        --nodes[receiver.holder].sending;
        nodes[receiver.holder].gate.end(configurationBytes);
    }

    void ask(node& asking, std::size_t holder, int now)
    {
        constexpr int retryDelayMs = 500;
        if (!nodes[holder].gate.tryBegin(configurationBytes)) {
            asking.askingAt = now + retryDelayMs;
            return;
        }
        asking.holder = holder;
        asking.doneAt = now + static_cast<int>(configurationBytes / bytesPerMs);
        maxConcurrentCopies = std::max(maxConcurrentCopies, ++nodes[holder].sending);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(copygate)

// Guards against a node whose link is saturated by copies for all nodes that ask: the store is unreachable,
// one node has a configuration of 810 KB, and 79 others need it.
BOOST_AUTO_TEST_CASE(a_large_configuration_spreads_one_copy_at_a_time)
{
    fleet_simulation fleet(80);
    const int elapsedMs = fleet.run();
    BOOST_TEST(fleet.maxConcurrentCopies == 1u);
    // With a single sender, the last of 79 copies would end after 51 s.
    BOOST_TEST(elapsedMs > 0);
    BOOST_TEST(elapsedMs < 10000);
}

BOOST_AUTO_TEST_CASE(copies_of_usual_size_run_concurrently)
{
    copy_gate gate;
    BOOST_TEST(gate.tryBegin(50000));
    BOOST_TEST(gate.tryBegin(50000));
    BOOST_TEST(!gate.tryBegin(50000));
    gate.end(50000);
    BOOST_TEST(gate.tryBegin(50000));
}

// Changes of a few servers must not wait for a large copy.
BOOST_AUTO_TEST_CASE(small_copies_are_always_allowed)
{
    copy_gate gate;
    BOOST_TEST(gate.tryBegin(configurationBytes));
    BOOST_TEST(gate.isFull());
    BOOST_TEST(gate.tryBegin(copy_gate::alwaysAllowedBytes));
    gate.end(copy_gate::alwaysAllowedBytes);
    BOOST_TEST(!gate.tryBegin(copy_gate::alwaysAllowedBytes + 1));
    gate.end(configurationBytes);
    BOOST_TEST(!gate.isFull());
    BOOST_TEST(gate.tryBegin(copy_gate::alwaysAllowedBytes + 1));
}

BOOST_AUTO_TEST_SUITE_END()
