#include "crashdirectory.h"

#include "gateway/clock.h"
#include "gateway/requests/requestlog.h"
#include "gateway/servers/connectattempt.h"

#include "wire/connect.h"
#include "wire/task.h"

#include "utils/eventlog.h"
#include "utils/hashing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace gateway {

void crash_directory::start(send_function send)
{
    m_send = std::move(send);
    m_context.onPartsCleared = [this] { sendNews(now()); };
}

admitted_request crash_directory::admit(const request_plan& plan, std::uint64_t number, utils::time_point now)
{
    using enum decisions::part_verdict;
    admitted_request admitted { crash_admission::Send, m_context.crashingParts.check(plan.suspects, now) };
    const decisions::part_finding& finding = admitted.finding;
    const auto enterOr = [&](crash_admission otherwise) {
        return m_gate.tryEnter(finding.part, number, now) ? crash_admission::SendAlone : otherwise;
    };
    if (finding.verdict == Crashing)
        admitted.admission = crash_admission::Refuse;
    else if (finding.verdict == Suspect)
        admitted.admission = enterOr(crash_admission::Wait);
    else if (finding.verdict == OnTrial)
        admitted.admission = finding.termOverFor >= otherNodesTryAfter || isFirstToTry(finding.part, now)
            ? enterOr(crash_admission::Refuse)
            : crash_admission::Refuse;
    return admitted;
}

boost::asio::awaitable<void> crash_directory::attemptLost(lost_attempt attempt)
{
    if (attempt.hasAnswer) {
        logLossNotCounted(attempt, "answer_begun");
        co_return;
    }
    const std::shared_ptr<server_check> checked = co_await check(attempt.server);
    if (checked->connectError.empty() || wasDown(attempt)) {
        logLossNotCounted(attempt, checked->connectError.empty() ? "server_lives" : "server_was_down");
        co_return;
    }
    m_context.crashedServers[attempt.server] = { attempt.serverStartedAtMs, now() };
    if (!m_context.reachability.isCutOff(attempt.service)) {
        count(attempt, checked->connectError);
        co_return;
    }
    logLossNotCounted(attempt, "undecided");
    const decisions::server_process server { attempt.server, attempt.serverStartedAtMs };
    m_context.undecidedLosses.add(server, std::move(attempt), now());
}

void crash_directory::count(const lost_attempt& attempt, const std::string& evidence)
{
    const decisions::crash_key crash = decisions::crashKey(attempt.server.str(), attempt.serverStartedAtMs);
    const unsigned level = m_context.crashingParts.crashed(
        decisions::serviceKey(attempt.service), attempt.suspects, crash, attempt.sentAt, attempt.lostAt);
    logCrash(attempt, level, evidence);
    sendNewsSoon();
}

void crash_directory::countEnded(decisions::crash_key crash, const std::string& evidence)
{
    for (const lost_attempt& attempt : m_context.undecidedLosses.takeEnded(crash))
        count(attempt, evidence);
}

void crash_directory::countReplaced()
{
    for (const decisions::server_process& server : m_context.undecidedLosses.servers()) {
        const catalogue::backend_server* entry = m_context.servers.find(server.id);
        const bool isReplaced = entry == nullptr || entry->startedAtMs != server.startedAtMs
            || m_context.servers.hasIdentityMismatch(server.id);
        if (isReplaced)
            countEnded(decisions::crashKey(server.id.str(), server.startedAtMs), "entry gone");
    }
}

void crash_directory::sendNewsSoon()
{
    if (std::exchange(m_isNewsDue, true))
        return;
    // All attempts at a server are lost in one turn of the event loop.
    boost::asio::post(m_context.executor, [this] {
        m_isNewsDue = false;
        sendNews(now());
    });
}

bool crash_directory::wasDown(const lost_attempt& attempt) const
{
    const auto known = m_context.crashedServers.find(attempt.server);
    return known != m_context.crashedServers.end() && known->second.startedAtMs == attempt.serverStartedAtMs
        && known->second.at <= attempt.sentAt;
}

boost::asio::awaitable<std::shared_ptr<crash_directory::server_check>> crash_directory::check(
    utils::server_id server)
{
    std::shared_ptr<server_check>& known = m_checks[server];
    const utils::time_point present = now();
    if (!known || present - known->startedAt > checkLifetime) {
        known = std::make_shared<server_check>(m_context.executor);
        known->startedAt = present;
        known->timer.expires_after(checkTimeout);
        wire::startTask(m_context.executor, "probe_crash", probe(server, known));
    }
    const std::shared_ptr<server_check> check = known;
    if (check->timer.expiry() > std::chrono::steady_clock::now())
        co_await check->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    co_return check;
}

boost::asio::awaitable<void> crash_directory::probe(
    utils::server_id server, std::shared_ptr<server_check> check)
{
    const catalogue::backend_server* entry = m_context.servers.find(server);
    const auto endpoint = entry == nullptr ? std::nullopt : wire::parseEndpoint(entry->address);
    if (endpoint) {
        const auto connection = std::make_shared<http_connection>(m_context.executor);
        const auto scope = std::make_shared<stop_scope>(m_context.executor);
        check->connectError = co_await connectWithin(scope, connection, *endpoint);
        scope->finish();
        if (check->connectError.empty()) {
            // What accepts for a server that is down, as a balancer does, closes at once.
            boost::asio::steady_timer timer(m_context.executor, acceptedFor);
            co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (!connection->isIdleAndOpen())
                check->connectError = "closed at once";
        }
        connection->close();
    }
    if (!check->connectError.empty())
        m_context.health.unreachable(server, now());
    // Whoever asks later must not wait for the time that is left.
    check->timer.expires_at(std::chrono::steady_clock::time_point::min());
}

bool crash_directory::isFirstToTry(std::uint64_t part, utils::time_point now) const
{
    const std::uint64_t own = utils::hash64(m_peers.ownAddress(), part);
    return std::ranges::none_of(m_peers.presumedLive(now),
        [&](const std::string& address) { return utils::hash64(address, part) < own; });
}

void crash_directory::onMessage(const crash_message& message)
{
    m_context.crashingParts.merge(message.strikes, now());
    if (m_context.undecidedLosses.isEmpty())
        return;
    for (const decisions::part_strike& strike : message.strikes)
        countEnded(strike.crash, "seen by a peer");
}

void crash_directory::onPeerStart(const std::string& address)
{
    const auto standing = m_context.crashingParts.standing(newsPerTick, now());
    if (!standing.empty())
        send(address, standing);
}

void crash_directory::tick(utils::time_point now)
{
    m_context.crashingParts.expire(now);
    countReplaced();
    m_context.undecidedLosses.expire(now);
    std::erase_if(
        m_checks, [now](const auto& entry) { return now - entry.second->startedAt > checkLifetime; });
    std::erase_if(
        m_context.crashedServers, [now](const auto& entry) { return now - entry.second.at > crashLifetime; });
    sendNews(now);
}

void crash_directory::sendNews(utils::time_point now)
{
    const auto news = m_context.crashingParts.takeNews(newsPerTick, now);
    if (news.empty())
        return;
    for (const std::string& address : m_peers.sampleTargets())
        send(address, news);
}

void crash_directory::send(
    const std::string& address, const std::vector<decisions::part_strike>& strikes) const
{
    for (std::size_t at = 0; at < strikes.size(); at += crash_message::maxStrikes) {
        const std::size_t end = std::min(strikes.size(), at + crash_message::maxStrikes);
        crash_message message;
        message.strikes.assign(strikes.begin() + static_cast<std::ptrdiff_t>(at),
            strikes.begin() + static_cast<std::ptrdiff_t>(end));
        m_send(address, encodeCrashMessage(message));
    }
}

} // namespace gateway
