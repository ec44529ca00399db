#include "streamorigins.h"

#include "utils/hashing.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace decisions {

stream_key streamKey(std::string_view requestId, std::string_view workspace, std::string_view service)
{
    const std::uint64_t scope = utils::combineHashes(utils::hash64(workspace), utils::hash64(service));
    return utils::hash64(requestId, scope);
}

version_key versionKey(std::string_view softwareVersion)
{
    return std::max<version_key>(1, utils::hash64(softwareVersion));
}

void stream_origins::record(const stream_origin& origin, bool isOwn, utils::time_point now)
{
    const auto [found, isNew] = m_streams.try_emplace(origin.stream, entry { origin.version, now, isOwn });
    entry& known = found->second;
    if (!isNew && known.version != origin.version)
        known.version = 0;
    known.isOwn = known.isOwn || isOwn;
    if (!isNew && known.at == now)
        return;
    known.at = now;
    m_order.push_back({ now, origin.stream });
    while (m_streams.size() > maxStreams)
        m_dropped += dropOldest() ? 1 : 0;
}

std::optional<stream_origins::known_origin> stream_origins::find(
    stream_key stream, utils::time_point now) const
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.version == 0 || now - found->second.at > lifetime)
        return std::nullopt;
    return known_origin { found->second.version, now - found->second.at, found->second.isOwn };
}

std::vector<stream_origin> stream_origins::ownSince(utils::duration age, utils::time_point now) const
{
    std::vector<stream_origin> origins;
    for (const auto& [stream, known] : m_streams) {
        if (known.isOwn && known.version != 0 && now - known.at <= age)
            origins.push_back({ stream, known.version });
    }
    return origins;
}

void stream_origins::expire(utils::time_point now)
{
    while (!m_order.empty() && now - m_order.front().at > lifetime)
        dropOldest();
}

bool stream_origins::dropOldest()
{
    const recorded oldest = m_order.front();
    m_order.pop_front();
    const auto found = m_streams.find(oldest.stream);
    if (found == m_streams.end() || found->second.at != oldest.at)
        return false;
    m_streams.erase(found);
    return true;
}

std::vector<std::size_t> rankHolders(
    stream_key stream, const std::vector<holder_candidate>& candidates, std::size_t limit)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        ranked.emplace_back(utils::hash64(candidates[i].address, stream), i);
    std::ranges::sort(ranked);
    // The number of better candidates in the same data centre comes first.
    std::map<std::string_view, std::size_t> better;
    std::vector<std::tuple<std::size_t, std::uint64_t, std::size_t>> ordered;
    ordered.reserve(candidates.size());
    for (const auto& [hash, index] : ranked)
        ordered.emplace_back(better[candidates[index].dataCentre]++, hash, index);
    const std::size_t count = std::min(limit, ordered.size());
    std::ranges::partial_sort(ordered, ordered.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < count; ++i)
        holders.push_back(std::get<2>(ordered[i]));
    return holders;
}

} // namespace decisions
