#include "stalledattempts.h"

#include <array>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(stall_reason::Count_)> reasonNames {
    "no_retry_left", "others_first", "no_server", "connecting", "no_peer", "not_admitted"
};

} // namespace

std::string_view toString(stall_reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

bool isKnownToRun(const replacement_query& query)
{
    // Servers that stop together were heard last within one interval of their events, a small part of the
    // silence; one that runs has sent since.
    return query.quietFor && 2 * *query.quietFor < query.silentFor;
}

bool isLikelyToRun(const replacement_query& query)
{
    return query.quietFor ? isKnownToRun(query) : !areMostSilent(query);
}

bool areMostSilent(const replacement_query& query)
{
    return query.othersQuiet > query.othersHeard;
}

void stalled_attempts::stalled(
    const std::string& service, std::uint64_t number, int urgency, utils::time_point since)
{
    const waiting_attempt attempt { urgency, since, number };
    m_waiting[service].insert(attempt);
    m_services.insert_or_assign(number, std::pair(service, attempt));
}

void stalled_attempts::ended(std::uint64_t number)
{
    const auto found = m_services.find(number);
    if (found == m_services.end())
        return;
    const auto& [service, attempt] = found->second;
    const auto waiting = m_waiting.find(service);
    waiting->second.erase(attempt);
    if (waiting->second.empty())
        m_waiting.erase(waiting);
    m_services.erase(found);
}

bool stalled_attempts::mayRetry(std::uint64_t number, double retriesLeft) const
{
    const auto& [service, attempt] = m_services.at(number);
    double ahead = 0;
    for (const waiting_attempt& other : m_waiting.at(service)) {
        if (other == attempt)
            break;
        ++ahead;
        if (ahead + 1 > retriesLeft)
            return false;
    }
    return ahead + 1 <= retriesLeft;
}

void stalled_attempts::mostSilent(const std::string& service, utils::time_point now)
{
    m_mostSilentAt[service] = now;
}

bool stalled_attempts::isSettling(const std::string& service, utils::time_point now) const
{
    const auto found = m_mostSilentAt.find(service);
    return found != m_mostSilentAt.end() && now - found->second < settleTime;
}

} // namespace decisions
