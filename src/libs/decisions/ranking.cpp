#include "ranking.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace decisions {

namespace {

struct scored_index {
    double score;
    std::size_t index;
};

constexpr double healthSteps = 4;

double weightOf(const placement_server& server)
{
    if (server.isLeaving)
        return 0;
    const double health = std::ceil(std::clamp(server.health, 0.0, 1.0) * healthSteps) / healthSteps;
    return static_cast<double>(server.slots) * std::clamp(server.rampUp, 0.0, 1.0) * health;
}

std::vector<std::size_t> bestFirst(std::vector<scored_index> scored, std::size_t limit)
{
    const auto count = std::min(limit, scored.size());
    const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(scored.begin(), middle, scored.end(), [](const auto& a, const auto& b) {
        return a.score != b.score ? a.score > b.score : a.index < b.index;
    });
    std::vector<std::size_t> order;
    order.reserve(count);
    for (auto it = scored.begin(); it != middle; ++it)
        order.push_back(it->index);
    return order;
}

std::uint64_t homeScore(const utils::server_id& server, const utils::node_id& node)
{
    return utils::hash64(node.str(), utils::hash64(server.str()));
}

} // namespace

std::uint64_t chatKey(const utils::pool_id& pool, const utils::team_id& team, std::string_view chat)
{
    return utils::hash64(chat, utils::combineHashes(utils::hash64(pool.str()), utils::hash64(team.str())));
}

std::vector<std::size_t> rankServers(
    std::uint64_t chat, std::span<const placement_server> servers, std::size_t limit)
{
    std::vector<scored_index> scored;
    scored.reserve(servers.size());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const double weight = weightOf(servers[i]);
        if (weight <= 0)
            continue;
        const double draw = utils::toUnitInterval(utils::hash64(servers[i].id.str(), chat));
        scored.push_back({ -weight / std::log(draw), i });
    }
    return bestFirst(std::move(scored), limit);
}

std::vector<std::size_t> rankHomes(
    const utils::server_id& server, std::span<const utils::node_id> nodes, std::size_t limit)
{
    std::vector<std::size_t> order(nodes.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    const auto count = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
        [&](std::size_t a, std::size_t b) { return outranks(server, nodes[a], nodes[b]); });
    order.resize(count);
    return order;
}

std::optional<utils::node_id> homeOf(const utils::server_id& server, std::span<const utils::node_id> nodes)
{
    const auto order = rankHomes(server, nodes, 1);
    if (order.empty())
        return std::nullopt;
    return nodes[order.front()];
}

bool outranks(const utils::server_id& server, const utils::node_id& first, const utils::node_id& second)
{
    const auto firstScore = homeScore(server, first);
    const auto secondScore = homeScore(server, second);
    return firstScore != secondScore ? firstScore > secondScore : first < second;
}

} // namespace decisions
