#include "cachetransfer.h"

#include <algorithm>

namespace decisions {

std::vector<prefix_export> planExports(std::span<const hot_prefix> prefixes,
    std::span<const placement_server> servers, const export_budget& budget)
{
    std::vector<prefix_export> moves;
    if (budget.tokensPerSecond <= budget.prefillTokensPerSecond)
        return moves;
    std::vector<hot_prefix> byWorth(prefixes.begin(), prefixes.end());
    std::ranges::sort(byWorth, [](const auto& a, const auto& b) {
        return a.usesPerHour != b.usesPerHour ? a.usesPerHour > b.usesPerHour : a.chat < b.chat;
    });
    std::uint64_t left = budget.tokens;
    for (const auto& prefix : byWorth) {
        if (prefix.tokens == 0 || prefix.tokens > left)
            continue;
        const auto best = rankServers(prefix.chat, servers, 1);
        if (best.empty())
            return moves;
        moves.push_back({ prefix.chat, servers[best.front()].id, prefix.tokens });
        left -= prefix.tokens;
    }
    return moves;
}

cache_action chooseCacheAction(const cache_costs& costs, const export_budget& rates)
{
    const auto recompute = utils::fromSeconds(costs.prefixTokens / rates.prefillTokensPerSecond);
    const auto import = utils::fromSeconds(costs.prefixTokens / rates.tokensPerSecond);
    const auto elsewhere = costs.canImport ? std::min(import, recompute) : recompute;
    if (costs.expectedWait <= costs.maxWait && costs.expectedWait <= elsewhere)
        return cache_action::Wait;
    return costs.canImport && import <= recompute ? cache_action::Import : cache_action::Recompute;
}

utils::duration maxCacheWait(std::uint32_t prefixTokens, utils::duration maxWait, const export_budget& rates,
    double waitPerPrefillSecond)
{
    return std::min(
        maxWait, utils::fromSeconds(waitPerPrefillSecond * prefixTokens / rates.prefillTokensPerSecond));
}

} // namespace decisions
