#pragma once

#include "streamorigins.h"
#include "versionhistory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace decisions {

/// How the software version that began a stream became known.
enum class origin_source {
    None, ///< the request resumes no stream
    OwnNode, ///< this node has forwarded events of the stream
    Peer, ///< a peer has reported it
    ForwardingNode, ///< the node that has forwarded the request says so
    OnlyVersion, ///< streams of the service can have begun at one version only
    Unknown,
    Count_
};

/// Name for logs and metrics. Thread safe.
std::string_view toString(origin_source source);

/// The software version that began a stream, and how it became known.
struct found_origin {
    origin_source source = origin_source::Unknown;
    version_key version = 0; ///< 0: unknown
    utils::duration age {}; ///< since the origin was last reported
    utils::duration took {}; ///< for asking peers
};

/// A stream that a caller resumes, at a node.
struct origin_query {
    stream_key stream = 0;
    bool isNamed = false; ///< the caller names the request that began the stream
    std::string service;
    bool isViewCurrent = false; ///< the node's view of the servers was confirmed lately
    bool isAlone = false; ///< the node knows of no other node
};

/// What peers have answered to a node that looks for an origin.
class origin_answers {
public:
    /// Adds an answer: version 0 if the peer does not know the stream, and the revision of the record of
    /// software versions that the peer has.
    void add(version_key version, std::uint64_t recordRevision);
    std::size_t count() const { return m_count; }
    /// The version that the peers have named; 0 if they named none, or different ones.
    version_key version() const { return m_isContradictory ? 0 : m_version; }
    bool isContradictory() const { return m_isContradictory; }
    /// The highest one among the answers.
    std::uint64_t recordRevision() const { return m_recordRevision; }

private:
    std::size_t m_count = 0;
    version_key m_version = 0;
    bool m_isContradictory = false;
    std::uint64_t m_recordRevision = 0;
};

/// Finds the origin by what the node knows itself; nothing if it has to ask peers. A node whose view is not
/// current may have missed a version, so it asks even where it knows of a single one. Thread safe.
std::optional<found_origin> findHere(const stream_origins& origins, const version_history& versions,
    const origin_query& query, utils::time_point now);
/// Finds the origin by the answers of peers. A single version counts only where no peer knows a newer record
/// and either the view is current, or a peer has answered, or there are no peers. Thread safe.
found_origin findByAnswers(const version_history& versions, const origin_query& query,
    const origin_answers& answers, utils::time_point now);

} // namespace decisions
