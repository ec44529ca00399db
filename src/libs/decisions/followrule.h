#pragma once

#include "utils/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace decisions {

/// What a node knows of its fleet when it decides whether to follow the store itself.
struct follow_query {
    std::string ownName;
    std::vector<std::string> livePeers; ///< names
    std::size_t liveFollowers = 0; ///< peers in contact with the store, heard within `followerTimeout`
};

/// A follower that was not heard for so long does not count: beats come four times a second, and one in some
/// hundred is lost. Short enough that a node cut off from all others reads a new configuration itself within
/// the two seconds in which it must be in force.
inline constexpr utils::duration followerTimeout = std::chrono::milliseconds(700);
/// Nodes that follow the store in a calm fleet. Small fleets do it with all nodes.
inline constexpr std::size_t targetFollowers = 8;
/// A node that hears fewer followers follows the store itself: one alone may have lost the store unawares.
inline constexpr std::size_t minFollowers = 2;

/// Whether a node should follow the store itself, or rely on peers that do.
///
/// Load: a fleet of many nodes, each waiting for changes at a store whose rates grow more slowly than the
/// fleet. Each change of one backend server wakes all of them: 80 nodes spent 15,000 calls in a minute, for
/// which a few followers and their beats spend some hundreds. The first few names, in an order that all nodes
/// agree on, follow; whoever does not hear them does too, so that a cut costs calls and not currency.
/// Thread safe.
bool shouldFollowStore(const follow_query& query);

/// Whether a peer's word on backend servers counts for a node that has not heard it from the store. Where
/// followers are heard only theirs does: a node that the store turns away takes itself for one in an outage,
/// in which entries that went are kept for a while, and its copies would make the whole fleet keep them.
/// Thread safe.
bool isTrustedSource(bool isFollower, std::size_t liveFollowers);

/// Before the store is asked again after so many failed calls in a row. The first is asked again soon, since
/// a watch may just have been cut. Then it grows with the fleet: refused calls are paid for, and whoever
/// finds the store first tells the others. Thread safe.
utils::duration storeRetryDelay(std::size_t nodes, unsigned failures);

} // namespace decisions
