#pragma once

#include "utils/ids.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace decisions {

/// Ranking input for one backend server of a pool. All nodes that hold the same document revision and server
/// states compute the same ranking.
struct placement_server {
    utils::server_id id;
    unsigned slots = 1; ///< requests it runs concurrently; its capacity weight
    double rampUp = 1; ///< (0, 1]: fraction of the weight that a joining server has reached, see rampUpWeight
    double health = 1; ///< [0, 1]: 0 excludes it; rounded up to quarters, so small changes move no chats
    bool isLeaving = false; ///< draining: it gets no new requests, effective at once
};

/// Returns the key of a chat, the same on every node. Thread safe.
std::uint64_t chatKey(const utils::pool_id& pool, const utils::team_id& team, std::string_view chat);

/// Ranks the pool's servers for a chat by weighted rendezvous hashing (weight: slots x ramp-up x health) and
/// returns indices into `servers`, best first, at most `limit`. Excludes servers that are leaving or have
/// weight 0. Load: returning chats; without a ranking that all nodes share, a chat that returns through
/// another node misses the cache. Rendezvous hashing instead of a hash ring: a server that joins or leaves
/// moves only its own share of the chats, and weights need no virtual nodes. Thread safe.
std::vector<std::size_t> rankServers(
    std::uint64_t chat, std::span<const placement_server> servers, std::size_t limit);

/// Ranks the nodes of a membership view as homes of a backend server: the first one is the home in that view,
/// the next ones may have been home in an earlier view. Returns indices into `nodes`, at most `limit`. Thread
/// safe.
std::vector<std::size_t> rankHomes(
    const utils::server_id& server, std::span<const utils::node_id> nodes, std::size_t limit);

/// Returns the home node of a server in a membership view; nothing in an empty view. Thread safe.
std::optional<utils::node_id> homeOf(const utils::server_id& server, std::span<const utils::node_id> nodes);

/// Whether `first` ranks before `second` as home of the server. A total order, the same on every node.
/// Thread safe.
bool outranks(const utils::server_id& server, const utils::node_id& first, const utils::node_id& second);

} // namespace decisions
