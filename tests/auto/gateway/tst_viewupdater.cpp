#include "gateway/view/viewupdater.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using gateway::peer_heartbeat;
using gateway::read_freshness;
using gateway::store_status;

namespace {

struct text_codec {
    static std::string_view configurationKey() { return "configuration"; }
    static std::string_view watchedPrefix() { return {}; }
    static std::string_view serverPrefix() { return "servers/"; }
    static std::string_view evacuationPrefix() { return "evacuate/"; }
    static utils::result<catalogue::configuration_ptr> decodeConfiguration(std::string_view bytes)
    {
        auto configuration = std::make_shared<catalogue::configuration>();
        configuration->version = std::stoull(std::string(bytes));
        return catalogue::configuration_ptr(std::move(configuration));
    }
    static utils::result<catalogue::backend_server> decodeServer(
        std::string_view, std::string_view, std::uint64_t)
    {
        return catalogue::backend_server();
    }
};

/// What the stores of one test share: the items that they return, and the calls that they got.
struct store_script {
    gateway::store_item stale { "configuration", "1", 2 };
    gateway::store_item newest { "configuration", "1", 2 };
    std::vector<std::string> reads;
    bool isSilent = false; ///< reads of single items get no answer
};
store_script* script = nullptr;

/// Its watches wait for ever.
struct scripted_reads {
    scripted_reads(boost::asio::any_io_executor ioExecutor, const boost::asio::ip::tcp::endpoint&)
        : executor(std::move(ioExecutor))
    {
    }
    static boost::asio::awaitable<gateway::store_range> range(std::string)
    {
        gateway::store_range range;
        range.status = store_status::Done;
        range.items = { script->newest };
        range.asOf = 10;
        co_return range;
    }
    static boost::asio::awaitable<gateway::store_read> item(std::string key, read_freshness freshness)
    {
        const bool mayBeStale = freshness == read_freshness::MayBeStale;
        script->reads.push_back(key + (mayBeStale ? " stale" : " newest"));
        gateway::store_read read;
        if (script->isSilent)
            co_return read;
        read.status = store_status::Done;
        read.item = mayBeStale ? script->stale : script->newest;
        co_return read;
    }
    boost::asio::awaitable<gateway::store_changes> watch(std::string, std::uint64_t, utils::duration) const
    {
        boost::asio::steady_timer timer(executor, 1h);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return gateway::store_changes();
    }
    static bool isReceiving(utils::time_point) { return false; }
    static void close() { }

    boost::asio::any_io_executor executor;
};

/// A node of a large fleet whose followers are heard, so that it does not follow the store.
struct passive_node {
    static constexpr unsigned peerCount = 80;

    store_script reads;
    boost::asio::io_context io { 1 };
    gateway::node_context context { io.get_executor(), gateway::node_options() };
    gateway::peer_table peers { "own", "10.0.0.1:7340", 1 };
    gateway::view_updater<text_codec, scripted_reads> updater { context, peers, [] {} };
    std::shared_ptr<gateway::peer_link> link
        = std::make_shared<gateway::peer_link>(io.get_executor(), gateway::peer_events());

    passive_node()
    {
        script = &reads;
        updater.start(*link, { [](const auto&) {}, [](const auto&) {} });
        io.poll();
        for (unsigned i = 0; i < peerCount; ++i)
            peers.applyHeartbeat(heartbeat(i, 1, 2), gateway::now());
        updater.tick(gateway::now());
    }

    static peer_heartbeat heartbeat(unsigned peer, std::uint64_t sequence, std::uint64_t configuration)
    {
        peer_heartbeat heartbeat;
        heartbeat.node = "peer-" + std::to_string(peer);
        heartbeat.address = "10.0.1." + std::to_string(peer) + ":7340";
        heartbeat.bootId = 1;
        heartbeat.sequence = sequence;
        heartbeat.followsStore = true;
        heartbeat.configurationRevision = configuration;
        return heartbeat;
    }

    /// All peers report that revision of the configuration, `later` than now.
    void hearOf(std::uint64_t configuration, utils::duration later = utils::duration::zero())
    {
        const utils::time_point present = gateway::now() + later;
        ++m_sequence;
        for (unsigned i = 0; i < peerCount; ++i) {
            const peer_heartbeat reported = heartbeat(i, m_sequence, configuration);
            if (peers.applyHeartbeat(reported, present))
                updater.onHeartbeat(reported, present);
        }
        io.poll();
    }

private:
    std::uint64_t m_sequence = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(viewupdater)

// Guards against a full-price read of the store by each of hundreds of nodes for each new configuration, and
// against a configuration that is missed because a node has newer changes of servers from its peers already.
BOOST_FIXTURE_TEST_CASE(a_new_configuration_costs_one_cheap_read, passive_node)
{
    reads.stale = reads.newest = { "configuration", "2", 20 };
    hearOf(20);
    hearOf(20);
    BOOST_TEST(context.configuration->version == 2u);
    BOOST_TEST(
        reads.reads == std::vector<std::string> { "configuration stale" }, boost::test_tools::per_element());
}

// Guards against a cheap read that is seconds old and holds a new configuration back.
BOOST_FIXTURE_TEST_CASE(a_read_that_is_too_old_is_followed_by_an_exact_one, passive_node)
{
    reads.newest = { "configuration", "2", 20 };
    const utils::time_point evidence = context.evidenceAt;
    hearOf(20);
    BOOST_TEST(context.configuration->version == 2u);
    BOOST_TEST((context.evidenceAt > evidence));
    BOOST_TEST(reads.reads == (std::vector<std::string> { "configuration stale", "configuration newest" }),
        boost::test_tools::per_element());
}

// Guards against a configuration that is taken for the newest because an old read returned nothing newer.
BOOST_FIXTURE_TEST_CASE(a_read_that_may_be_old_proves_nothing, passive_node)
{
    reads.stale = reads.newest = { "configuration", "2", 20 };
    const utils::time_point evidence = context.evidenceAt;
    hearOf(20);
    BOOST_TEST((context.evidenceAt == evidence));
}

// Guards against a second configuration that waits for the end of what the first one started.
BOOST_FIXTURE_TEST_CASE(configurations_in_quick_succession_are_each_read, passive_node)
{
    reads.stale = reads.newest = { "configuration", "2", 20 };
    hearOf(20);
    reads.stale = reads.newest = { "configuration", "3", 30 };
    hearOf(30);
    BOOST_TEST(context.configuration->version == 3u);
    BOOST_TEST(reads.reads.size() == 2u);
}

// Guards against a node that keeps an old configuration because the store did not answer when it first asked.
BOOST_FIXTURE_TEST_CASE(a_read_without_an_answer_is_repeated, passive_node)
{
    reads.newest = reads.stale = { "configuration", "2", 20 };
    reads.isSilent = true;
    hearOf(20);
    BOOST_TEST(context.configuration->version == 1u);
    reads.isSilent = false;
    hearOf(20, 1100ms);
    BOOST_TEST(context.configuration->version == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
