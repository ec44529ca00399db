#include "engineorder.h"

#include "utils/hashing.h"

#include <algorithm>

namespace operations {

bool needsWeights(const engine_setup& running, const engine_setup& wanted)
{
    return running.model != wanted.model || running.version != wanted.version
        || !std::ranges::includes(running.adapters, wanted.adapters);
}

std::vector<utils::server_id> enginesToOrder(const engine_setups& wanted, const engine_setups& running)
{
    std::vector<utils::server_id> servers;
    for (const auto& [server, setup] : wanted) {
        const auto found = running.find(server);
        if (found != running.end() && found->second != setup)
            servers.push_back(server);
    }
    return servers;
}

std::vector<cache_move> cacheMovesFor(const utils::server_id& leaving, std::vector<hot_prefix> prefixes,
    const std::vector<utils::server_id>& staying, std::size_t most)
{
    std::vector<cache_move> moves;
    if (staying.empty())
        return moves;
    std::ranges::sort(prefixes, std::ranges::greater(), &hot_prefix::hits);
    for (const hot_prefix& hot : prefixes) {
        if (moves.size() >= most)
            break;
        const auto target = std::ranges::max_element(staying, {},
            [&](const utils::server_id& server) { return utils::hash64(server.str(), hot.prefix); });
        moves.push_back({ hot.prefix, leaving, *target });
    }
    return moves;
}

} // namespace operations
