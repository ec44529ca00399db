#include "homemap.h"

#include "utils/hashing.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fleet {

namespace {

/// Keeps a server and a team of the same name apart.
constexpr std::uint64_t serverSeed = 1;
constexpr std::uint64_t teamSeed = 2;

std::uint64_t hashOf(const utils::node_id& node)
{
    return utils::hash64(node.str());
}

/// Larger comes first; the name breaks the tie of equal hashes.
using rank_key = std::tuple<bool, std::uint64_t, std::string_view>;

rank_key keyOf(const home_candidate& candidate, std::uint64_t nodeHash, std::uint64_t serverHash,
    const utils::data_centre_id& dataCentre)
{
    return { candidate.dataCentre == dataCentre, utils::combineHashes(nodeHash, serverHash),
        candidate.id.str() };
}

} // namespace

home_map::home_map(std::vector<home_candidate> candidates)
    : m_candidates(std::move(candidates))
{
    for (const home_candidate& candidate : m_candidates)
        m_hashes.push_back(hashOf(candidate.id));
}

std::optional<utils::node_id> home_map::homeOf(
    const utils::server_id& server, const utils::data_centre_id& dataCentre) const
{
    if (m_candidates.empty())
        return {};
    const std::uint64_t serverHash = utils::hash64(server.str(), serverSeed);
    std::size_t best = 0;
    rank_key bestKey = keyOf(m_candidates[0], m_hashes[0], serverHash, dataCentre);
    for (std::size_t i = 1; i < m_candidates.size(); ++i) {
        const rank_key key = keyOf(m_candidates[i], m_hashes[i], serverHash, dataCentre);
        if (key > bestKey) {
            best = i;
            bestKey = key;
        }
    }
    return m_candidates[best].id;
}

std::optional<utils::node_id> home_map::homeOf(const utils::team_id& team) const
{
    if (m_candidates.empty())
        return {};
    const std::uint64_t teamHash = utils::hash64(team.str(), teamSeed);
    std::size_t best = 0;
    for (std::size_t i = 1; i < m_candidates.size(); ++i) {
        if (utils::combineHashes(m_hashes[i], teamHash) > utils::combineHashes(m_hashes[best], teamHash))
            best = i;
    }
    return m_candidates[best].id;
}

std::vector<utils::node_id> home_map::ranking(std::span<const home_candidate> candidates,
    const utils::server_id& server, const utils::data_centre_id& dataCentre, std::size_t count)
{
    const std::uint64_t serverHash = utils::hash64(server.str(), serverSeed);
    std::vector<rank_key> keys;
    for (const home_candidate& candidate : candidates)
        keys.push_back(keyOf(candidate, hashOf(candidate.id), serverHash, dataCentre));
    const auto end = keys.begin() + static_cast<std::ptrdiff_t>(std::min(count, keys.size()));
    std::ranges::partial_sort(keys, end, std::greater<>());
    std::vector<utils::node_id> first;
    for (auto key = keys.begin(); key != end; ++key)
        first.emplace_back(std::string(std::get<2>(*key)));
    return first;
}

bool home_map::ranksAbove(const home_candidate& first, const home_candidate& second,
    const utils::server_id& server, const utils::data_centre_id& dataCentre)
{
    const std::uint64_t serverHash = utils::hash64(server.str(), serverSeed);
    return keyOf(first, hashOf(first.id), serverHash, dataCentre)
        > keyOf(second, hashOf(second.id), serverHash, dataCentre);
}

} // namespace fleet
