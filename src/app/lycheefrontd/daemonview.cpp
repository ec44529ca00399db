#include "daemonview.h"

#include "serving/clock.h"
#include "utils/hashing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdio>

namespace {

namespace asio = boost::asio;
constexpr std::chrono::milliseconds pollInterval { 20 };

std::string formatted(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

} // namespace

daemon_view::daemon_view(serving::node_context& context, serving::live_fleet& fleet,
    serving::home_service& home, serving::router& routes, serving::draft_service& drafts)
    : m_context(context)
    , m_fleet(fleet)
    , m_home(home)
    , m_router(routes)
    , m_drafts(drafts)
{
}

operators::fleet_status daemon_view::status()
{
    const utils::time_point now = serving::now();
    operators::fleet_status status;
    status.self = m_fleet.self();
    status.isCurrent = m_fleet.isCurrent(now);
    status.revision = m_context.document ? m_context.document->revision : 0;
    addNodes(status, now);
    addServers(status, now);
    addQueues(status);
    status.cacheReuse = m_context.metrics.cacheReuse();
    status.loadSkew = m_context.metrics.loadSkew();
    status.controlBytesPerSecond = m_context.metrics.controlBytesPerSecond();
    return status;
}

void daemon_view::addNodes(operators::fleet_status& status, utils::time_point) const
{
    status.nodes.push_back(
        { m_fleet.self(), m_context.settings.dataCentre, "alive", status.isCurrent, status.revision });
    for (const auto& [id, member] : m_fleet.node().members().members().all()) {
        operators::node_status node;
        node.id = id;
        node.dataCentre = member.dataCentre;
        node.state = std::string(fleet::toString(member.state));
        node.revision = member.revisionInForce;
        // Only the other node knows whether it is current; here it counts as current while it is live and has
        // sent a datagram to this node.
        node.isCurrent = member.isLive() && member.wasHeard;
        status.nodes.push_back(node);
    }
}

std::string daemon_view::stateOf(
    const config::server_pool& pool, const config::backend_server& server, utils::time_point now) const
{
    if (server.isLeaving)
        return "leaving";
    const auto ejector = m_context.ejectors.find(pool.id);
    const double weight = ejector == m_context.ejectors.end() ? 1 : ejector->second.weight(server.id, now);
    if (weight <= 0)
        return "ejected";
    return weight < 1 ? "joining" : "serving";
}

void daemon_view::addServers(operators::fleet_status& status, utils::time_point now) const
{
    if (!m_context.document)
        return;
    for (const auto& [id, pool] : m_context.document->pools) {
        const auto loads = m_context.loads.find(id);
        for (const config::backend_server& server : pool.servers) {
            operators::server_status entry;
            entry.id = server.id;
            entry.pool = id;
            entry.state = stateOf(pool, server, now);
            entry.home = m_fleet.homeOf(server.id, server.dataCentre).value_or(utils::node_id());
            entry.slots = server.slots;
            const decisions::load_entry* load
                = loads == m_context.loads.end() ? nullptr : loads->second.find(server.id);
            entry.inProgress = load == nullptr ? 0 : load->inFlight;
            status.servers.push_back(entry);
        }
    }
}

void daemon_view::addQueues(operators::fleet_status& status) const
{
    std::map<utils::pool_id, std::array<unsigned, 3>> waiting;
    for (const auto& [server, slot] : m_home.slots()) {
        auto& counts = waiting[m_home.poolOf(server)];
        for (std::size_t i = 0; i < counts.size(); ++i)
            counts.at(i)
                += static_cast<unsigned>(slot->queue.size(static_cast<decisions::priority_class>(i)));
    }
    for (const auto& [pool, counts] : waiting) {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            const auto priority = static_cast<decisions::priority_class>(i);
            if (counts.at(i) > 0)
                status.queues.push_back(
                    { pool, std::string(decisions::toString(priority)), counts.at(i), {} });
        }
    }
}

asio::awaitable<std::vector<operators::explain_step>> daemon_view::explain(operators::explain_query query)
{
    co_return explainChat(query);
}

std::vector<operators::explain_step> daemon_view::explainChat(const operators::explain_query& query) const
{
    std::vector<operators::explain_step> steps;
    const utils::time_point now = serving::now();
    if (!m_context.document) {
        steps.push_back({ "configuration", "none is in force on this node; requests are refused" });
        return steps;
    }
    const config::document& document = *m_context.document;
    steps.push_back({ "configuration", "revision " + std::to_string(document.revision) });
    steps.push_back({ "node",
        m_fleet.isCurrent(now)
            ? "current"
            : "not current: " + std::string(fleet::toString(m_fleet.node().reason(now))) });
    if (!document.teams.contains(query.team)) {
        steps.push_back({ "calling team", "unknown: refused with unknown_team" });
        return steps;
    }
    const config::server_pool* pool = document.poolForModel(query.model);
    if (pool == nullptr) {
        steps.push_back({ "model", "no pool serves it: refused with unknown_model" });
        return steps;
    }
    steps.push_back({ "model", "pool " + pool->id.str() });
    const bool uses = document.teams.at(query.team).uses.contains(pool->id);
    const bool isApproved = pool->approved.contains(query.team);
    std::string approval = "both sides name each other";
    if (!uses)
        approval = "the team's section does not name the pool: refused with not_approved";
    else if (!isApproved)
        approval = "the owner has not approved the team: refused with not_approved";
    steps.push_back({ "approval", approval });
    if (!uses || !isApproved)
        return steps;
    const std::uint64_t chat = utils::hash64(query.chat, utils::hash64(query.team.str()));
    for (const serving::router::candidate& candidate : m_router.candidatesFor(*pool, chat)) {
        std::string finding = candidate.server.str() + " at home "
            + (candidate.home ? candidate.home->str() : std::string("(none)"));
        const auto loads = m_context.loads.find(pool->id);
        const decisions::load_entry* load
            = loads == m_context.loads.end() ? nullptr : loads->second.find(candidate.server);
        if (load != nullptr)
            finding
                += ", load " + std::to_string(load->inFlight) + " of " + formatted(load->slots) + " slots";
        steps.push_back({ "candidate", finding });
    }
    return steps;
}

asio::awaitable<operators::spread_status> daemon_view::waitInForce(
    utils::config_revision revision, utils::duration limit)
{
    const utils::time_point end = serving::now() + limit;
    m_fleet.with([&](fleet::fleet_node& node, utils::time_point now) { node.confirm(revision, now); });
    asio::steady_timer timer(m_context.executor);
    while (true) {
        const utils::time_point now = serving::now();
        const fleet::acknowledgement seen = m_fleet.node().acknowledged(revision, now);
        if (seen.isMajority() || now >= end)
            co_return operators::spread_status { static_cast<unsigned>(seen.witnesses),
                static_cast<unsigned>(seen.witnessesListed) };
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<std::vector<operators::draft_status>> daemon_view::drafts(utils::team_id team)
{
    std::vector<utils::team_id> teams;
    if (!team.isEmpty())
        teams.push_back(team);
    else if (m_context.document) {
        for (const auto& [id, entry] : m_context.document->teams)
            teams.push_back(id);
    }
    std::vector<operators::draft_status> rows;
    for (const utils::team_id& each : teams) {
        const auto records = co_await m_drafts.list(each);
        for (const operations::draft_record& record : records) {
            operators::draft_status row;
            row.id = record.id;
            row.team = record.team;
            row.state = std::string(operations::toString(record.state));
            row.bytes = record.body.size() + (record.answer ? record.answer->body.size() : 0);
            rows.push_back(std::move(row));
        }
    }
    co_return rows;
}
