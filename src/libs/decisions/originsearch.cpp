#include "originsearch.h"

#include <algorithm>
#include <array>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(origin_source::Count_)> sourceNames { "none",
    "own_node", "peer", "forwarding_node", "only_version", "unknown" };

} // namespace

std::string_view toString(origin_source source)
{
    return sourceNames.at(static_cast<std::size_t>(source));
}

void origin_answers::add(version_key version, std::uint64_t recordRevision)
{
    ++m_count;
    m_recordRevision = std::max(m_recordRevision, recordRevision);
    if (version == 0)
        return;
    m_isContradictory = m_isContradictory || (m_version != 0 && m_version != version);
    m_version = version;
}

std::optional<found_origin> findHere(const stream_origins& origins, const version_history& versions,
    const origin_query& query, utils::time_point now)
{
    if (query.isNamed) {
        if (const auto known = origins.find(query.stream, now)) {
            const origin_source source = known->isOwn ? origin_source::OwnNode : origin_source::Peer;
            return found_origin { source, known->version, known->age, {} };
        }
    }
    const auto only = versions.onlyVersion(query.service, now);
    if (only && query.isViewCurrent)
        return found_origin { origin_source::OnlyVersion, versionKey(*only), {}, {} };
    return std::nullopt;
}

found_origin findByAnswers(const version_history& versions, const origin_query& query,
    const origin_answers& answers, utils::time_point now)
{
    if (query.isNamed && answers.version() != 0)
        return { origin_source::Peer, answers.version(), {}, {} };
    const bool isConfirmed = (query.isViewCurrent || query.isAlone || answers.count() > 0)
        && answers.recordRevision() <= versions.recordRevision();
    const auto only = versions.onlyVersion(query.service, now);
    if (only && isConfirmed && !answers.isContradictory())
        return { origin_source::OnlyVersion, versionKey(*only), {}, {} };
    return {};
}

} // namespace decisions
