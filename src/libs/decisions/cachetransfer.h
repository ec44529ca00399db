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
    double usesPerHour = 0; ///< how often it was read lately
};

/// One prefix to export, and the server to import it.
struct prefix_export {
    std::uint64_t chat = 0;
    utils::server_id to;
    std::uint32_t tokens = 0;
};

/// What a transfer costs and may take.
struct export_budget {
    std::uint64_t tokens = 0; ///< tokens that can be moved before the server has to be gone
    double tokensPerSecond = 50'000; ///< of a transfer, exporting and importing
    double prefillTokensPerSecond = 8'000; ///< of computing the prefix anew
};

/// Which prefixes a leaving server exports, and to which server: the first of the chat's ranking without the
/// leaving one, so that every node finds the chat there by the ranking alone. Most worth first: tokens saved
/// an hour for each token moved is usesPerHour, so it orders by that. Nothing is moved when computing anew is
/// faster. Answers a rolling replacement: without it each replaced server's chats are all cold at once.
/// `servers`: the pool; the leaving one is marked so. Thread safe.
std::vector<prefix_export> planExports(std::span<const hot_prefix> prefixes,
    std::span<const placement_server> servers, const export_budget& budget);

/// How to serve a returning chat whose prefix lies on a server above its bound.
enum class cache_action {
    Wait, ///< at the server that holds the prefix: a slot comes sooner than the prefix could be had elsewhere
    Import, ///< the server that admits it imports the prefix
    Recompute ///< the server that admits it computes the prefix anew
};

/// What cache_action weighs. Durations for this request.
struct cache_costs {
    std::uint32_t prefixTokens = 0;
    utils::duration expectedWait = {}; ///< until the holder is under its bound
    utils::duration maxWait = {}; ///< what the request's class may wait for reuse
    bool canImport = false; ///< both engines export and import, and the route between them is up
};

/// The cheapest of the three, ties towards the earlier one. Thread safe.
cache_action chooseCacheAction(const cache_costs& costs, const export_budget& rates);

/// How long a request waits at the server that holds its prefix before it goes elsewhere: as long as
/// computing the prefix anew would take, times `waitPerPrefillSecond`, at most `maxWait`.
/// `waitPerPrefillSecond`: seconds of waiting that a second of prefill is worth; 1 where a person waits, more
/// for drafts, whose waiting costs nobody anything while the prefill costs the other requests on that server.
/// Thread safe.
utils::duration maxCacheWait(std::uint32_t prefixTokens, utils::duration maxWait, const export_budget& rates,
    double waitPerPrefillSecond = 1);

} // namespace decisions
