#include "rejectionlimiter.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

constexpr utils::duration arrivalMemory = std::chrono::seconds(2); // time constant of the decay

std::uint64_t windowOf(utils::time_point time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch() / rejection_limiter::window);
}

double decayed(double count, utils::duration age)
{
    return count * std::exp(-utils::toSeconds(age) / utils::toSeconds(arrivalMemory));
}

} // namespace

void rejection_limiter::setFleet(const std::string& ownAddress, std::size_t nodes)
{
    m_ownAddress = ownAddress;
    m_nodes = nodes;
}

void rejection_limiter::recordAnswer(
    const std::string& service, std::optional<unsigned> rejectionsPerSecond, utils::time_point now)
{
    if (rejectionsPerSecond)
        m_announcements[service] = { *rejectionsPerSecond, now };
    else
        m_announcements.erase(service);
}

void rejection_limiter::recordArrival(const std::string& service, utils::time_point now)
{
    arrival_rate& rate = m_arrivals[service];
    rate.arrivals = decayed(rate.arrivals, now - rate.at) + 1;
    rate.at = now;
}

void rejection_limiter::recordSent(const utils::server_id& server, utils::time_point now)
{
    m_sentAt[server] = now;
}

void rejection_limiter::recordRejected(const utils::server_id& server, utils::time_point now)
{
    m_rejectedAt[server] = now;
}

bool rejection_limiter::isLimited(const std::string& service, utils::time_point now) const
{
    const auto found = m_announcements.find(service);
    return found != m_announcements.end() && now - found->second.at <= announcementLifetime;
}

double rejection_limiter::fleetArrivals(const std::string& service, utils::time_point now) const
{
    const auto found = m_arrivals.find(service);
    if (found == m_arrivals.end())
        return 0;
    const double recent = decayed(found->second.arrivals, now - found->second.at);
    const double perWindow = recent * utils::toSeconds(window) / utils::toSeconds(arrivalMemory);
    return perWindow * static_cast<double>(m_nodes);
}

double rejection_limiter::drawFor(const utils::server_id& server, utils::time_point now) const
{
    const std::uint64_t place
        = utils::combineHashes(utils::hash64(m_ownAddress), utils::hash64(server.str()));
    return utils::toUnitInterval(utils::combineHashes(place, windowOf(now)));
}

bool rejection_limiter::maySend(const std::string& service, const utils::server_id& server, double requests,
    unsigned slots, utils::time_point now) const
{
    if (!isLimited(service, now))
        return true;
    const auto rejected = m_rejectedAt.find(server);
    if (m_nodes == 0 || now - m_startedAt < pauseAfterRejection
        || (rejected != m_rejectedAt.end() && now - rejected->second < pauseAfterRejection))
        return false;
    // Half of the rejections that the server bears are left for what the draws cannot foresee.
    constexpr double usedShare = 0.5;
    const double borne
        = m_announcements.at(service).rejectionsPerSecond * utils::toSeconds(window) * usedShare;
    const double free = std::max(0.0, slots - requests);
    if (fleetArrivals(service, now) <= free)
        return true;
    const auto sent = m_sentAt.find(server);
    if (sent != m_sentAt.end() && windowOf(sent->second) == windowOf(now))
        return false;
    return drawFor(server, now) * static_cast<double>(m_nodes) < free + borne;
}

void rejection_limiter::expire(utils::time_point now)
{
    std::erase_if(
        m_rejectedAt, [now](const auto& entry) { return now - entry.second >= pauseAfterRejection; });
    std::erase_if(m_sentAt, [now](const auto& entry) { return now - entry.second >= 2 * window; });
}

} // namespace decisions
