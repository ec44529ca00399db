#include "connectiongate.h"

#include "utils/hashing.h"

#include <algorithm>

namespace decisions {

namespace {

// Delays between which the share of closed connections grows from none to `maxShare`. Load shedding begins
// beyond them for most targets.
constexpr utils::duration rampBegin = std::chrono::milliseconds(90);
constexpr utils::duration rampEnd = std::chrono::milliseconds(200);
constexpr double maxShare = 0.95;
// Multiple of the requests of other nodes from which on this node has more than its part.
constexpr double minLoadFactor = 2;

} // namespace

void accept_rounds::accepted(utils::time_point now)
{
    if (now - m_lastAt > gap) {
        m_iteration = m_count > 1 ? now - m_startedAt : utils::duration::zero();
        m_startedAt = now;
        m_count = 0;
    }
    ++m_count;
    m_lastAt = now;
}

bool mustCloseUnread(const connection_query& query)
{
    const bool isAlone
        = static_cast<double>(query.requestsInProgress) > minLoadFactor * (query.peerRequests + 1);
    if (!query.hasPeers || !isAlone || query.loopDelay <= rampBegin)
        return false;
    const double ramp = utils::toSeconds(query.loopDelay - rampBegin) / utils::toSeconds(rampEnd - rampBegin);
    return utils::toUnitInterval(query.hash) < std::min(ramp, maxShare);
}

} // namespace decisions
