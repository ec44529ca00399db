#include "draftservice.h"

#include "clock.h"
#include "drafthost.h"
#include "requestbuilder.h"

#include "operations/draftrecord.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
using utils::error_kind;
using utils::failure;

/// Drafts that one node works on at a time; the rest wait for other nodes' scans.
constexpr std::size_t workersPerNode = 32;
constexpr int cancelTries = 3;

draft_reply failed(error_kind kind)
{
    draft_reply reply;
    reply.failure = { kind, {}, {}, {} };
    return reply;
}

draft_reply toReply(const keyvalue::kv_reply& reply, const std::string& id, const utils::team_id& team)
{
    draft_reply result;
    result.record = utils::valueOr(
        [&]() -> utils::result<std::optional<operations::draft_record>> {
            BOOST_LEAF_AUTO(record, operations::draftFromReply(reply, id, team));
            return std::optional(std::move(record));
        },
        [&](const failure& f) {
            result.failure = f;
            return std::optional<operations::draft_record>();
        });
    return result;
}

std::optional<keyvalue::kv_transaction> readOf(const std::string& id)
{
    return utils::valueOr(
        [&]() -> utils::result<std::optional<keyvalue::kv_transaction>> {
            BOOST_LEAF_AUTO(transaction, operations::draftRead(id));
            return std::optional(std::move(transaction));
        },
        [](const failure&) { return std::optional<keyvalue::kv_transaction>(); });
}

} // namespace

draft_service::draft_service(node_context& context, router& routes, keyvalue::kv_client& kv,
    batched_kv& writes, const utils::state_chart& chart)
    : m_context(context)
    , m_router(routes)
    , m_kv(kv)
    , m_writes(writes)
    , m_chart(chart)
    , m_scanner(context.settings.node)
    , m_answerLease(kv)
    , m_session(context.executor, kv, [this] {
        const auto hosts = m_hosts;
        for (const auto& host : hosts)
            host->claimLost();
    })
{
}

draft_service::~draft_service() = default;

std::shared_ptr<draft_host> draft_service::makeHost(std::int64_t answerLease)
{
    operations::draft_worker_identity identity;
    identity.nonce = newRequestId();
    identity.sessionLease = m_session.current(now());
    identity.answerLease = answerLease;
    auto host = std::make_shared<draft_host>(*this, std::move(identity));
    m_hosts.insert(host);
    return host;
}

void draft_service::removeHost(draft_host* host)
{
    std::erase_if(m_hosts, [host](const auto& kept) { return kept.get() == host; });
}

asio::awaitable<draft_service::acceptance> draft_service::submit(operations::draft_request request)
{
    acceptance result;
    const std::int64_t answerLease = co_await m_answerLease.current(now());
    if (answerLease == 0) {
        result.refusal = utils::makeFailure(error_kind::PlatformUnavailable);
        co_return result;
    }
    const bool hasSession = m_session.current(now()) != 0;
    const bool claimNow = hasSession && m_hosts.size() < workersPerNode && !m_context.isLeaving;
    const auto host = makeHost(answerLease);
    host->submit(std::move(request), claimNow);
    co_await host->untilDecided();
    result.id = host->id();
    result.refusal = host->refusal();
    co_return result;
}

asio::awaitable<draft_reply> draft_service::read(utils::team_id team, std::string id)
{
    const auto transaction = readOf(id);
    if (!transaction)
        co_return failed(error_kind::DraftUnknown);
    const keyvalue::kv_reply reply = co_await m_kv.transact(*transaction);
    m_context.metrics.countPlatformCall("draft_read", reply.status == keyvalue::kv_status::Done);
    co_return toReply(reply, id, team);
}

asio::awaitable<draft_reply> draft_service::cancel(utils::team_id team, std::string id)
{
    const auto transaction = readOf(id);
    if (!transaction)
        co_return failed(error_kind::DraftUnknown);
    const std::int64_t answerLease = co_await m_answerLease.current(now());
    for (int i = 0; i < cancelTries; ++i) {
        const keyvalue::kv_reply reply = co_await m_kv.transact(*transaction);
        draft_reply found = toReply(reply, id, team);
        const bool isWaiting = found.record && found.record->state == operations::draft_state::Waiting;
        if (!isWaiting || answerLease == 0)
            co_return found;
        const keyvalue::kv_transaction write
            = operations::draftCancel(reply.entries.front(), *found.record, answerLease);
        const keyvalue::kv_reply written = co_await m_kv.transact(write);
        if (written.status == keyvalue::kv_status::Done && written.succeeded) {
            found.record->state = operations::draft_state::Cancelled;
            co_return found;
        }
    }
    co_return failed(error_kind::PlatformUnavailable);
}

asio::awaitable<std::vector<operations::draft_record>> draft_service::list(utils::team_id team)
{
    std::vector<operations::draft_record> records;
    const std::string prefix = operations::draftTeamPrefix(team);
    const keyvalue::kv_get range { prefix, operations::endOfPrefix(prefix), 0 };
    const keyvalue::kv_reply pointers = co_await m_kv.get(range);
    for (const keyvalue::kv_entry& pointer : pointers.entries) {
        draft_reply found = co_await read(team, pointer.value);
        if (found.record)
            records.push_back(std::move(*found.record));
    }
    co_return records;
}

void draft_service::tick(const std::vector<utils::node_id>& liveNodes, utils::time_point now)
{
    m_session.tick(now);
    const bool mayAdopt = m_session.current(now) != 0 && m_context.isReady(now);
    if (!mayAdopt || m_hosts.size() >= workersPerNode)
        return;
    for (operations::scan_shard& shard : m_scanner.dueScans(liveNodes, now))
        asio::co_spawn(m_context.executor, scan(std::move(shard)), asio::detached);
}

asio::awaitable<void> draft_service::scan(operations::scan_shard shard)
{
    const keyvalue::kv_reply reply = co_await m_kv.transact(shard.transaction);
    m_context.metrics.countPlatformCall("draft_scan", reply.status == keyvalue::kv_status::Done);
    if (reply.status != keyvalue::kv_status::Done || m_hosts.size() >= workersPerNode)
        co_return;
    std::set<unsigned> running;
    for (const auto& host : m_hosts)
        running.insert(host->slot());
    const auto slots = operations::draft_scanner::adoptable(reply, running, workersPerNode - m_hosts.size());
    if (slots.empty())
        co_return;
    const std::int64_t answerLease = co_await m_answerLease.current(now());
    if (answerLease == 0 || m_session.current(now()) == 0)
        co_return;
    for (const unsigned slot : slots)
        makeHost(answerLease)->adopt(slot);
}

void draft_service::leave(utils::time_point now)
{
    const auto hosts = m_hosts;
    for (const auto& host : hosts)
        host->leave(now);
}

} // namespace serving
