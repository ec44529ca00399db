#include "configspread.h"

#include "utils/hashing.h"
#include "utils/softassert.h"

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

constexpr std::uint64_t watcherSeed = 4; // differs from the seeds for homes and witnesses

std::uint64_t watcherRank(const utils::node_id& node)
{
    return utils::hash64(node.str(), watcherSeed);
}

/// Returns 0.5 to 1.5 times `value`, so that nodes do not send requests at the same time.
utils::duration jitter(utils::duration value, std::mt19937_64& random)
{
    return value / 2 + utils::duration(random() % static_cast<std::uint64_t>(value.count()));
}

} // namespace

config_spread::config_spread(spread_peer self, config_spread_options options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{
}

void config_spread::setPeers(std::vector<spread_peer> peers)
{
    m_peers = std::move(peers);
    updateWatch();
}

void config_spread::onPeer(const utils::node_id& peer, utils::config_revision known,
    utils::config_revision inForce, utils::time_point now)
{
    learnRevision(std::max(known, inForce), now);
    if (inForce == m_known && inForce > m_inForce && m_holders.insert(peer).second && now >= m_fetchDeadline)
        fetch(now);
}

void config_spread::onHead(utils::config_revision revision, utils::time_point now)
{
    learnRevision(revision, now);
    m_isKnownFromHead = m_isKnownFromHead || revision == m_known;
    if (m_known > m_inForce && now >= m_fetchDeadline)
        fetch(now);
}

bool config_spread::mayAdopt(utils::config_revision revision) const
{
    return revision > m_inForce || !m_options.refusesEarlier;
}

std::vector<utils::node_id> config_spread::onInForce(utils::config_revision revision, utils::time_point now)
{
    LF_ASSERT(mayAdopt(revision), return {});
    m_inForce = revision;
    learnRevision(revision, now);
    m_fetchDeadline = now;
    std::vector<utils::node_id> notified;
    std::vector<spread_peer> chosen;
    std::ranges::sample(
        m_peers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(m_options.fanout), m_random);
    notified.reserve(chosen.size());
    for (const spread_peer& peer : chosen)
        notified.push_back(peer.id);
    return notified;
}

void config_spread::onFetchFailed(const utils::node_id& peer, utils::time_point now)
{
    m_holders.erase(peer);
    m_fetchDeadline = now;
    if (!m_holders.empty())
        fetch(now);
}

void config_spread::onTick(bool hasMajority, utils::time_point now)
{
    if (m_known > m_inForce && now >= m_fetchDeadline)
        fetch(now);
    if (!hasMajority && now >= m_nextHeadRead) {
        m_nextHeadRead = now + jitter(m_options.headReadEvery, m_random);
        m_actions.emplace_back(read_head {});
    }
}

std::vector<spread_action> config_spread::takeActions()
{
    return std::exchange(m_actions, {});
}

/// Chooses watchers by rank among the live members of the data centre, without a lock. If views differ, there
/// is one watch too many or, for seconds, one too few; the watchers of other data centres then report
/// changes.
bool config_spread::ranksAsWatcher() const
{
    const std::uint64_t own = watcherRank(m_self.id);
    const auto higherRanked = std::ranges::count_if(m_peers, [&](const spread_peer& peer) {
        return peer.dataCentre == m_self.dataCentre && watcherRank(peer.id) > own;
    });
    return higherRanked < static_cast<std::ptrdiff_t>(m_options.watchersPerDataCentre);
}

void config_spread::updateWatch()
{
    const bool shouldWatch = ranksAsWatcher();
    if (shouldWatch == m_isWatcher)
        return;
    m_isWatcher = shouldWatch;
    if (shouldWatch)
        m_actions.emplace_back(watch_head {});
    else
        m_actions.emplace_back(unwatch_head {});
}

void config_spread::fetch(utils::time_point now)
{
    m_fetchDeadline = now + m_options.fetchTime;
    if (!m_holders.empty()) {
        auto holder = m_holders.begin();
        std::advance(holder, static_cast<std::ptrdiff_t>(m_random() % m_holders.size()));
        m_actions.emplace_back(fetch_from_peer { *holder, m_known });
        m_holders.erase(holder); // after a timeout another holder is tried
        return;
    }
    if (m_isKnownFromHead || now >= m_nextPlatformRead) {
        m_actions.emplace_back(read_document { m_known });
        m_nextPlatformRead = now + jitter(m_options.platformAfter, m_random);
    }
}

void config_spread::learnRevision(utils::config_revision revision, utils::time_point now)
{
    if (revision <= m_known)
        return;
    m_known = revision;
    m_holders.clear();
    m_isKnownFromHead = false;
    m_fetchDeadline = now;
    m_nextPlatformRead = now + jitter(m_options.platformAfter, m_random);
}

} // namespace fleet
