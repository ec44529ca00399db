#include "configfeed.h"

#include "clock.h"

#include "utils/eventlog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;

/// Peers answer in milliseconds; fleet::config_spread asks another after 300 ms.
constexpr std::chrono::milliseconds fetchTimeout { 300 };

void logPlatformFailure(const std::string& call, const std::string& error)
{
    utils::logEvent(utils::event::PlatformFailure, { { "call", call }, { "error", error } });
}

} // namespace

config_feed::config_feed(node_context& context, keyvalue::kv_client& kv, store_type& store, live_fleet& fleet,
    peer_pool& peers, in_force_handler onInForce)
    : m_context(context)
    , m_kv(kv)
    , m_store(store)
    , m_fleet(fleet)
    , m_peers(peers)
    , m_onInForce(std::move(onInForce))
{
}

config_feed::~config_feed() = default;

void config_feed::onAction(const fleet::fleet_action& action)
{
    const auto run = [this](asio::awaitable<void> work) {
        asio::co_spawn(m_context.executor, std::move(work), asio::detached);
    };
    if (const auto* fetch = std::get_if<fleet::fetch_from_peer>(&action))
        run(fetchFrom(fetch->node));
    else if (std::holds_alternative<fleet::read_document>(action))
        run(readDocument());
    else if (std::holds_alternative<fleet::read_head>(action))
        run(readHead());
    else if (std::holds_alternative<fleet::unwatch_head>(action))
        stop();
    if (!std::holds_alternative<fleet::watch_head>(action) || m_watch)
        return;
    keyvalue::kv_watch_options options;
    options.key = m_store.headKey();
    m_watch = std::make_shared<keyvalue::kv_watch>(m_context.executor, m_kv.endpoints(), options);
    run(watchHead(m_watch));
}

void config_feed::stop()
{
    if (m_watch)
        m_watch->cancel();
    m_watch.reset();
}

void config_feed::tick()
{
    const config::snapshot_pointer snapshot = m_store.cached();
    if (snapshot->head.revision <= m_inForce)
        return;
    m_fleet.with([&](fleet::fleet_node& node, utils::time_point now) {
        node.onHead(snapshot->head.revision, now, now);
    });
    adopt(snapshot);
}

bool config_feed::adopt(const config::snapshot_pointer& snapshot)
{
    const utils::config_revision revision = snapshot->head.revision;
    // An answer may arrive late, after a newer one: an earlier revision never comes into force.
    if (revision <= m_inForce || !m_fleet.node().mayAdopt(revision))
        return false;
    m_store.offer(snapshot);
    m_inForce = revision;
    m_onInForce(snapshot->whole);
    return true;
}

asio::awaitable<void> config_feed::fetchFrom(utils::node_id node)
{
    const config::snapshot_pointer base = m_store.cached();
    wire::peer_call question;
    question.kind = static_cast<std::uint8_t>(wire::call_kind::FetchConfiguration);
    question.from = m_fleet.self().str();
    question.payload = wire::encode(base->head.revision);
    const std::string address = m_fleet.addressOf(node);
    const auto reply = co_await m_peers.call(address, std::move(question), fetchTimeout);
    config::snapshot_pointer snapshot;
    if (reply && reply->isOk) {
        const auto delta = config::decodeDelta(reply->payload);
        if (delta)
            snapshot = config::applyDelta(*base, *delta);
    }
    if (snapshot && adopt(snapshot))
        co_return;
    m_fleet.with(
        [&](fleet::fleet_node& fleetNode, utils::time_point now) { fleetNode.onFetchFailed(node, now); });
}

wire::peer_reply config_feed::onFetch(const wire::peer_call& call) const
{
    const auto since = wire::decode<utils::config_revision>(call.payload);
    const config::snapshot_pointer snapshot = m_store.cached();
    if (!since || snapshot->head.revision == 0)
        return {};
    return { true, config::encode(config::deltaSince(*snapshot, *since)) };
}

asio::awaitable<void> config_feed::readDocument()
{
    const utils::time_point startedAt = now();
    const keyvalue::snapshot_reply reply = co_await m_store.read();
    m_context.metrics.countPlatformCall("read_configuration", reply.snapshot != nullptr);
    if (!reply.snapshot) {
        logPlatformFailure("read_configuration", reply.error);
        co_return;
    }
    m_fleet.with([&](fleet::fleet_node& node, utils::time_point at) {
        node.onHead(reply.snapshot->head.revision, startedAt, at);
    });
    adopt(reply.snapshot);
}

asio::awaitable<void> config_feed::readHead()
{
    const utils::time_point startedAt = now();
    const keyvalue::kv_get key { m_store.headKey(), {}, 0 };
    const keyvalue::kv_reply reply = co_await m_kv.get(key);
    const bool isDone = reply.status == keyvalue::kv_status::Done;
    m_context.metrics.countPlatformCall("read_head", isDone);
    if (!isDone) {
        logPlatformFailure("read_head", reply.error);
        co_return;
    }
    if (reply.entries.empty()) {
        m_fleet.with([&](fleet::fleet_node& node, utils::time_point at) { node.onHead(0, startedAt, at); });
        co_return;
    }
    takeHead(reply.entries.front().value, startedAt);
}

asio::awaitable<void> config_feed::watchHead(std::shared_ptr<keyvalue::kv_watch> watch)
{
    // The watch tells of changes only; what the head is now has to be read.
    co_await readHead();
    while (true) {
        const keyvalue::kv_watch_batch batch = co_await watch->next();
        if (batch.isCancelled)
            co_return;
        const utils::time_point told = now();
        if (batch.compactedTo != 0)
            co_await readHead();
        for (const keyvalue::kv_event& event : batch.events)
            takeHead(event.entry.value, told);
    }
}

void config_feed::takeHead(const std::string& value, utils::time_point startedAt)
{
    const auto head = config::decodeHead(value);
    if (!head)
        return;
    m_fleet.with(
        [&](fleet::fleet_node& node, utils::time_point at) { node.onHead(head->revision, startedAt, at); });
}

} // namespace serving
