#include "servernotices.h"

#include "gateway/peers/datagramcodec.h"

#include "utils/eventlog.h"

namespace gateway {

namespace {

constexpr int overloadedStatus = 503;
constexpr int misdirectedStatus = 421;

std::string millisecondsText(utils::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

void server_notices::heard(const heard_answer& answer, const server_response& response, utils::time_point now)
{
    // Another server has this address by now.
    if (response.status == misdirectedStatus)
        return;
    if (response.isRestUnreadable)
        utils::logEvent(utils::event::ServerNoticeUnreadable,
            { { "request", answer.requestId }, { "server", answer.server.id.str() },
                { "service", answer.service }, { "header", "Retry-After" } });
    if (response.restFor)
        heardRest(answer, *response.restFor, now);
    else if (answer.isOwn && !response.isNotExecuted && response.status != overloadedStatus)
        m_context.rests.taken(answer.server, answer.sentAt, now);
    sendUpdates();
    if (response.isLeaving)
        heardLeaving(answer, {}, now);
}

void server_notices::heardRest(const heard_answer& answer, utils::duration rest, utils::time_point now)
{
    const auto until = m_context.rests.askedUntil(answer.server, now);
    const utils::duration left = until ? *until - now : utils::duration::zero();
    m_context.metrics.countRest(answer.service);
    utils::logEvent(utils::event::ServerAsksForRest,
        { { "request", answer.requestId }, { "server", answer.server.id.str() },
            { "service", answer.service }, { "started_at_ms", std::to_string(answer.server.startedAtMs) },
            { "rest_ms", millisecondsText(rest) }, { "rest_left_ms", millisecondsText(left) },
            { "retry", answer.isRetry ? "yes" : "no" } });
    m_context.rests.asked(answer.server, rest, now);
}

void server_notices::heardLeaving(const heard_answer& answer, const std::string& peer, utils::time_point now)
{
    const decisions::server_process& server = answer.server;
    if (!m_context.servers.markLeaving(server.id, server.startedAtMs, now))
        return;
    std::vector<utils::log_field> fields { { "request", answer.requestId }, { "server", server.id.str() },
        { "service", answer.service }, { "started_at_ms", std::to_string(server.startedAtMs) } };
    if (!peer.empty())
        fields.push_back({ "peer", peer });
    utils::logEvent(utils::event::ServerLeaves, fields);
}

void server_notices::onMessage(const load_message& message, utils::time_point now)
{
    const utils::server_id server(message.server);
    if (m_context.servers.find(server) == nullptr)
        return;
    m_loadNotices.heard(server, now);
    m_context.loads.recordReport(server, message.requests, 0, now);
}

void server_notices::heardLoad(const std::string& service, const utils::server_id& server,
    const reported_load& load, utils::time_point now)
{
    m_context.loads.recordReport(server, load.running, load.waiting, now);
    // Where the heartbeats of all peers are heard, their loads show the same. Of plain services there is no
    // view.
    const auto view = m_context.boundViews.find(service);
    if (view == m_context.boundViews.end() || m_context.loads.peerScale(now) <= 1
        || !m_loadNotices.mustTell(server, load.running + load.waiting, view->second, now)
        || server.str().size() > load_message::maxServerLength)
        return;
    const std::string datagram
        = detail::encodeMessage(load_message { server.str(), load.running + load.waiting });
    for (const std::string& address : m_peers.knownAddresses())
        m_send(address, datagram);
    m_context.metrics.countLoadNotice(service);
}

void server_notices::onMessage(const rest_message& message, utils::time_point now)
{
    // Of other servers nothing has to be known.
    if (m_context.servers.find(utils::server_id(message.update.server)) != nullptr)
        m_context.rests.told(message.update, now);
}

void server_notices::tick(utils::time_point now)
{
    m_context.rests.setNodes(m_peers.knownNodes());
    m_context.rests.expire(now);
    m_loadNotices.expire(now);
}

void server_notices::sendUpdates()
{
    for (decisions::rest_update& update : m_context.rests.takeUpdates()) {
        if (update.server.size() > rest_message::maxServerLength)
            continue;
        const std::string datagram = detail::encodeMessage(rest_message { std::move(update) });
        for (const std::string& address : m_peers.knownAddresses())
            m_send(address, datagram);
    }
}

} // namespace gateway
