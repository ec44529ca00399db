#pragma once

#include "utils/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace decisions {

/// What a node knows of the fleet when it decides whether to follow the store itself.
struct follow_query {
    std::string ownAddress;
    std::vector<std::string> livePeers; ///< addresses, also of peers that were only named by others yet
    std::vector<std::string> seeds; ///< addresses, the same on all nodes
    std::size_t liveFollowers = 0; ///< peers in contact with the store, heard within `followerTimeout`
};

/// A follower that was not heard for this time does not count. Heartbeats come four times a second, and
/// about one in a few hundred is lost. The time is short enough that a node cut off from all others reads a
/// new configuration itself within the two seconds in which it must be in force.
inline constexpr utils::duration followerTimeout = std::chrono::milliseconds(700);
/// Number of nodes that follow the store in a fleet without faults. In fleets up to this size, all nodes
/// do.
inline constexpr std::size_t targetFollowers = 8;
/// A node that hears fewer followers than this follows the store itself: a single follower may have lost
/// the store without noticing it.
inline constexpr std::size_t minFollowers = 2;

/// Whether a node should follow the store itself, or rely on peers that do.
///
/// Load: a fleet of many nodes, each with a watch on a store whose call rates grow more slowly than the
/// fleet. Each change of one backend server wakes all watches: 80 nodes made 15,000 calls in a minute,
/// where a few followers and their heartbeats need a few hundred.
/// The first `targetFollowers` nodes, in an order that all nodes agree on, follow the store. Seeds come
/// first: where hundreds of nodes start at once, all send to them, and only they know the others from the
/// beginning. A node that does not hear them follows it as well, so that a network partition costs additional
/// calls and does not make views stale. Thread safe.
bool shouldFollowStore(const follow_query& query);

/// Whether a node accepts a peer's report on backend servers that it has not received from the store
/// itself. Where followers are heard, only their reports are accepted: a node that the store rejects
/// behaves as in an outage of the store and keeps removed entries for a while, and its copies would make
/// the whole fleet keep them. Thread safe.
bool isTrustedSource(bool isFollower, std::size_t liveFollowers);

/// Delay before the next call to the store after `failures` consecutive failed calls. The first retry is
/// soon, since a watch may just have been cut. Later delays grow with the fleet: refused calls are billed,
/// and the first node that reaches the store informs the others. Thread safe.
utils::duration storeRetryDelay(std::size_t nodes, unsigned failures);

} // namespace decisions
