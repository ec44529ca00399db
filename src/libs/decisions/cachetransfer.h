#pragma once

#include "ranking.h"

#include "utils/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace decisions {

/// A cached prefix that a leaving server holds.
struct hot_prefix {
    std::uint64_t chat = 0; ///< chatKey of the chat that it belongs to
    std::uint32_t tokens = 0;
    double usesPerHour = 0; ///< recent rate of cache hits
};

/// One prefix to export, and the server to import it.
struct prefix_export {
    std::uint64_t chat = 0;
    utils::server_id to;
    std::uint32_t tokens = 0;
};

/// Speeds and limit of prefix transfers.
struct export_budget {
    std::uint64_t tokens = 0; ///< tokens that can be moved before the server must be shut down
    double tokensPerSecond = 50'000; ///< speed of a transfer, including export and import
    double prefillTokensPerSecond = 8'000; ///< speed of recomputing a prefix
};

/// Selects the prefixes that a leaving server exports and the server that imports each: the first of the
/// chat's ranking without the leaving server, so that every node finds the chat there by the ranking alone.
/// Prefixes are ordered by usesPerHour, which equals the tokens saved per hour for each token moved. Nothing
/// is moved when recomputing is faster. Load: a rolling replacement; without exports, all chats of a replaced
/// server miss the cache at once. `servers`: the pool, with isLeaving set for the leaving server. Thread
/// safe.
std::vector<prefix_export> planExports(std::span<const hot_prefix> prefixes,
    std::span<const placement_server> servers, const export_budget& budget);

/// How to serve a returning chat whose prefix is cached on a server above its load bound.
enum class cache_action {
    Wait, ///< wait for the server that holds the prefix: sooner than importing or recomputing it elsewhere
    Import, ///< the server that admits it imports the prefix
    Recompute ///< the server that admits it recomputes the prefix
};

/// Input of chooseCacheAction, for one request.
struct cache_costs {
    std::uint32_t prefixTokens = 0;
    utils::duration expectedWait = {}; ///< until the holder is under its bound
    utils::duration maxWait = {}; ///< longest time that the request's class may wait for cache reuse
    bool canImport = false; ///< both engines support export and import, and the path between them is up
};

/// Returns the fastest of the three actions; ties go to the earlier enumerator. Thread safe.
cache_action chooseCacheAction(const cache_costs& costs, const export_budget& rates);

/// Returns how long a request waits for the server that holds its prefix before it goes elsewhere: the time
/// to recompute the prefix times `waitPerPrefillSecond`, at most `maxWait`. `waitPerPrefillSecond`: seconds
/// of waiting that are as costly as one second of prefill. 1 where a person waits; more for drafts, for which
/// nobody waits, while their prefill delays the other requests on that server. Thread safe.
utils::duration maxCacheWait(std::uint32_t prefixTokens, utils::duration maxWait, const export_budget& rates,
    double waitPerPrefillSecond = 1);

} // namespace decisions
