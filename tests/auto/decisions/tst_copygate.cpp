#include "decisions/copygate.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using decisions::copy_gate;

namespace {

constexpr std::size_t configuration = 810000; // bytes
constexpr std::size_t bytesPerMs = 1250; // a link of 10 Mbit/s

/// Nodes that want a configuration from each other, one of which has it at first. Each asks another one that
/// has it, and again after half a second when it was turned away.
struct spreading_fleet {
    struct node {
        bool hasIt = false;
        int askingAt = 0; ///< ms
        int doneAt = -1; ///< ms, of the copy under way to it; -1: none
        std::size_t holder = 0; ///< of that copy
        std::size_t sending = 0; ///< copies that it hands out
        copy_gate gate;
    };
    std::vector<node> nodes;
    std::mt19937 random { 7 };
    std::size_t mostAtOnce = 0; ///< copies that one node handed out at the same time

    explicit spreading_fleet(std::size_t count)
        : nodes(count)
    {
        nodes[0].hasIt = true;
    }

    /// Until all have it; in ms.
    int play()
    {
        for (int present = 0; present < 60000; ++present) {
            std::vector<std::size_t> holders;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i].doneAt == present)
                    finish(nodes[i]);
                if (nodes[i].hasIt)
                    holders.push_back(i);
            }
            if (holders.size() == nodes.size())
                return present;
            for (node& each : nodes) {
                if (!each.hasIt && each.doneAt < 0 && each.askingAt <= present)
                    ask(each, holders[random() % holders.size()], present);
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
        nodes[receiver.holder].gate.end(configuration);
    }

    void ask(node& asking, std::size_t holder, int present)
    {
        constexpr int passOver = 500; // ms
        if (!nodes[holder].gate.tryBegin(configuration)) {
            asking.askingAt = present + passOver;
            return;
        }
        asking.holder = holder;
        asking.doneAt = present + static_cast<int>(configuration / bytesPerMs);
        mostAtOnce = std::max(mostAtOnce, ++nodes[holder].sending);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(gate_of_copies)

// Guards against a node whose link is filled by copies for all who ask: the store is away, one node has a
// configuration of 810 KB, and 79 others want it.
BOOST_AUTO_TEST_CASE(a_large_configuration_spreads_one_copy_at_a_time)
{
    spreading_fleet fleet(80);
    const int spread = fleet.play();
    BOOST_TEST(fleet.mostAtOnce == 1u);
    // From one holder alone the last of 79 copies would end after 51 s.
    BOOST_TEST(spread > 0);
    BOOST_TEST(spread < 10000);
}

BOOST_AUTO_TEST_CASE(copies_of_usual_size_go_side_by_side)
{
    copy_gate gate;
    BOOST_TEST(gate.tryBegin(50000));
    BOOST_TEST(gate.tryBegin(50000));
    BOOST_TEST(!gate.tryBegin(50000));
    gate.end(50000);
    BOOST_TEST(gate.tryBegin(50000));
}

// News of a few servers must not wait for a large copy.
BOOST_AUTO_TEST_CASE(small_copies_always_go)
{
    copy_gate gate;
    BOOST_TEST(gate.tryBegin(configuration));
    BOOST_TEST(gate.isFull());
    BOOST_TEST(gate.tryBegin(copy_gate::alwaysAllowedBytes));
    gate.end(copy_gate::alwaysAllowedBytes);
    BOOST_TEST(!gate.tryBegin(copy_gate::alwaysAllowedBytes + 1));
    gate.end(configuration);
    BOOST_TEST(!gate.isFull());
    BOOST_TEST(gate.tryBegin(copy_gate::alwaysAllowedBytes + 1));
}

BOOST_AUTO_TEST_SUITE_END()
