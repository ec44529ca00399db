#include "nodedaemon.h"

#include "daemonview.h"
#include "operatorserver.h"

#include "keyvalue/kvclient.h"
#include "serving/callerserver.h"
#include "serving/clock.h"
#include "serving/configfeed.h"
#include "serving/draftservice.h"
#include "serving/livefleet.h"
#include "serving/peerserver.h"
#include "serving/teamlimits.h"
#include "utils/eventlog.h"
#include "wire/connect.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds tickInterval { 100 };

std::string readKey(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("cannot read the key file " + path);
    std::string key { std::istreambuf_iterator<char>(file), {} };
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.empty())
        throw std::runtime_error("the key file " + path + " is empty");
    return key;
}

wire::fleet_keys readKeys(const config::peers_settings& peers)
{
    wire::fleet_keys keys { readKey(peers.keyFile) };
    if (!peers.previousKeyFile.empty())
        keys.push_back(readKey(peers.previousKeyFile));
    return keys;
}

utils::state_chart loadChart(const std::string& folder, const std::string& name)
{
    return utils::valueOr([&] { return utils::state_chart::load(folder + '/' + name); },
        [](const utils::failure& f) -> utils::state_chart { throw std::runtime_error(f.detail); });
}

std::unique_ptr<asio::ssl::context> callerTls(const config::callers_settings& callers)
{
    if (!callers.tls)
        return nullptr;
    auto tls = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
    tls->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1
        | asio::ssl::context::no_tlsv1_1);
    tls->use_certificate_chain_file(callers.tls->certificate);
    tls->use_private_key_file(callers.tls->key, asio::ssl::context::pem);
    return tls;
}

asio::ip::tcp::endpoint endpointOf(const std::string& address)
{
    const auto endpoint = wire::parseEndpoint(address);
    if (!endpoint)
        throw std::runtime_error(address + " is not an address of the form ip:port");
    return *endpoint;
}

/// Throws std::runtime_error for a valid setting that this version does not implement, rather than ignoring
/// it.
config::settings requireSupported(config::settings settings)
{
    if (!settings.peers.vmList.empty())
        throw std::runtime_error("peers.vm_list is not supported yet: list the VMs under peers.seeds");
    return settings;
}

} // namespace

struct node_daemon::data {
    explicit data(config::settings settings)
        : context(io.get_executor(), requireSupported(std::move(settings)))
        , keys(readKeys(context.settings.peers))
        , operationChart(loadChart(context.settings.charts, "operation.yaml"))
        , tls(callerTls(context.settings.callers))
        , kv(io.get_executor(), keyvalue::toEndpoints(context.settings.platform.endpoints),
              context.settings.platform.timeout)
        , nodeChart(loadChart(context.settings.charts, "node.yaml"))
        , draftChart(loadChart(context.settings.charts, "draft.yaml"))
        , changeChart(loadChart(context.settings.charts, "config_change.yaml"))
        , fleet(
              context, nodeChart, keys, [this](const fleet::fleet_action& action) { onFleetAction(action); })
        , home(context, nullptr)
        , writes(io.get_executor(), kv)
        , operations(context, home, kv, writes, operationChart)
        , peers(io.get_executor(), keys)
        , router(context, home, operations, peers)
        , configClock(io.get_executor())
        , store(kv, configClock, context.settings.platform.prefix, changeChart)
        , feed(context, kv, store, fleet, peers,
              [this](const std::shared_ptr<const config::document>& document) { putInForce(document); })
        , limits(context, fleet, peers)
        , drafts(context, router, kv, writes, draftChart)
        , view(context, fleet, home, router, drafts)
        , api(store, view, { context.settings.operators.firstKeyHash })
        , operatorServer(context, api)
        , callers(context, { router, limits, drafts }, tls.get())
        , peerServer(context, home, operations, keys,
              [this](wire::peer_call call) { return answer(std::move(call)); })
        , signals(io, SIGTERM, SIGINT)
        , ticker(io)
    {
        context.fleet = &fleet;
    }

    asio::awaitable<wire::peer_reply> answer(wire::peer_call call);
    asio::awaitable<void> tick();
    asio::awaitable<void> waitForSignal();
    asio::awaitable<void> leave();
    void start();
    void onFleetAction(const fleet::fleet_action& action);
    void putInForce(const std::shared_ptr<const config::document>& document);

    asio::io_context io { 1 };
    serving::node_context context;
    wire::fleet_keys keys;
    utils::state_chart operationChart;
    std::unique_ptr<asio::ssl::context> tls;
    keyvalue::kv_client kv;
    utils::state_chart nodeChart;
    utils::state_chart draftChart;
    utils::state_chart changeChart;
    serving::live_fleet fleet;
    serving::home_service home;
    serving::batched_kv writes;
    serving::operation_service operations;
    serving::peer_pool peers;
    serving::router router;
    keyvalue::asio_clock configClock;
    serving::config_feed::store_type store;
    serving::config_feed feed;
    serving::team_limits limits;
    serving::draft_service drafts;
    daemon_view view;
    operators::operator_api api;
    operator_server operatorServer;
    serving::caller_server callers;
    serving::peer_server peerServer;
    asio::signal_set signals;
    asio::steady_timer ticker;
};

void node_daemon::data::start()
{
    fleet.start();
    operatorServer.start(endpointOf(context.settings.operators.address));
    callers.start(endpointOf(context.settings.callers.address));
    peerServer.start(endpointOf(context.settings.peers.address));
    asio::co_spawn(io, tick(), asio::detached);
    asio::co_spawn(io, waitForSignal(), asio::detached);
    utils::logEvent(utils::event::Started,
        { { "node", context.settings.node.str() }, { "callers", context.settings.callers.address },
            { "peers", context.settings.peers.address } });
}

void node_daemon::data::onFleetAction(const fleet::fleet_action& action)
{
    feed.onAction(action);
}

void node_daemon::data::putInForce(const std::shared_ptr<const config::document>& document)
{
    context.document = document;
    for (const auto& [id, pool] : document->pools) {
        std::vector<utils::server_id> servers;
        for (const config::backend_server& server : pool.servers)
            servers.push_back(server.id);
        context.ejectors[id].setServers(servers);
    }
    fleet.applyDocument(*document);
    limits.applyDocument(*document, serving::now());
    utils::logEvent(
        utils::event::ConfigurationInForce, { { "revision", std::to_string(document->revision) } });
}

asio::awaitable<wire::peer_reply> node_daemon::data::answer(wire::peer_call call)
{
    wire::peer_reply reply;
    switch (static_cast<wire::call_kind>(call.kind)) {
    case wire::call_kind::Ping:
        reply.isOk = true;
        break;
    case wire::call_kind::FetchConfiguration:
        reply = feed.onFetch(call);
        break;
    case wire::call_kind::TeamLimit:
        reply = limits.onCall(call);
        break;
    case wire::call_kind::RememberChat:
        if (const auto message = wire::decode<wire::remember_chat>(call.payload)) {
            home.rememberChat(message->chat, message->server);
            reply.isOk = true;
        }
        break;
    default:
        break;
    }
    co_return reply;
}

asio::awaitable<void> node_daemon::data::tick()
{
    while (true) {
        const utils::time_point now = serving::now();
        feed.tick();
        fleet.tick(home, now);
        home.tick(now);
        limits.tick(now);
        drafts.tick(fleet.liveNodes(), now);
        ticker.expires_after(tickInterval);
        const auto [error] = co_await ticker.async_wait(asTuple);
        if (error)
            co_return;
    }
}

asio::awaitable<void> node_daemon::data::waitForSignal()
{
    const auto [error, signal] = co_await signals.async_wait(asTuple);
    if (error)
        co_return;
    asio::co_spawn(io, leave(), asio::detached);
    // A second signal stops the process at once.
    co_await signals.async_wait(asTuple);
    io.stop();
}

asio::awaitable<void> node_daemon::data::leave()
{
    utils::logEvent(
        utils::event::Stopping, { { "in_progress", std::to_string(context.requestsInProgress) } });
    context.isLeaving = true;
    callers.leave();
    fleet.leave();
    drafts.leave(serving::now());
    const utils::time_point limit = serving::now() + context.settings.shutdownGrace;
    asio::steady_timer timer(io);
    while ((context.requestsInProgress + drafts.running() > 0 || !fleet.isLeft()) && serving::now() < limit) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asTuple);
    }
    peerServer.stop();
    operatorServer.stop();
    fleet.stop();
    feed.stop();
    utils::logEvent(utils::event::Stopped, { { "unfinished", std::to_string(context.requestsInProgress) } });
    io.stop();
}

node_daemon::node_daemon(config::settings settings)
    : d(std::make_unique<data>(std::move(settings)))
{
}

node_daemon::~node_daemon() = default;

int node_daemon::run()
{
    try {
        d->start();
    } catch (const std::exception& e) {
        utils::logEvent(utils::event::ListenFailed, { { "error", e.what() } });
        return 1;
    }
    d->io.run();
    return 0;
}
