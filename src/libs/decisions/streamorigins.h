#pragma once

#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace decisions {

/// Identifies a stream by the request that brought its first event, and by the request's workspace and
/// service: a caller that names a request of another workspace finds nothing.
using stream_key = std::uint64_t;
/// Identifies a software version of a service. Versions have no order. Never 0.
using version_key = std::uint64_t;

/// Thread safe.
stream_key streamKey(std::string_view requestId, std::string_view workspace, std::string_view service);
/// Thread safe.
version_key versionKey(std::string_view softwareVersion);

/// The software version that began a stream.
struct stream_origin {
    stream_key stream = 0;
    version_key version = 0;
};

/// Remembers the software version that began each stream, from this node and from peers.
///
/// Load: backend servers of several software versions serve side by side, and what they write does not fit
/// together. Connections break and nodes are killed in series, and callers resume their streams at other
/// nodes, several times. A stream that was reported with two versions counts as unknown. Not thread safe.
class stream_origins {
public:
    /// Longer than callers wait for a stream, over all their requests.
    static constexpr utils::duration lifetime = std::chrono::seconds(30);
    /// Bounds the memory to about two megabytes; the oldest streams are dropped first.
    static constexpr std::size_t maxStreams = 20000;

    /// An origin that is known here.
    struct known_origin {
        version_key version = 0;
        utils::duration age {}; ///< since it was last reported
        bool isOwn = false; ///< this node has forwarded events of the stream
    };

    /// Records an origin. `isOwn`: this node forwards the stream's events.
    void record(const stream_origin& origin, bool isOwn, utils::time_point now);
    /// Returns the origin; nothing if it is unknown.
    std::optional<known_origin> find(stream_key stream, utils::time_point now) const;
    /// Returns the streams of this node that were recorded within `age`.
    std::vector<stream_origin> ownSince(utils::duration age, utils::time_point now) const;
    /// Drops what is older than `lifetime`. Call it periodically.
    void expire(utils::time_point now);

    std::size_t size() const { return m_streams.size(); }
    /// Streams that were dropped before their time because of `maxStreams`.
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct entry {
        version_key version = 0; ///< 0: reports contradict each other
        utils::time_point at {};
        bool isOwn = false;
    };
    struct recorded {
        utils::time_point at {};
        stream_key stream = 0;
    };
    /// Drops the oldest record; returns whether it was the last one of its stream.
    bool dropOldest();

    std::unordered_map<stream_key, entry> m_streams;
    std::deque<recorded> m_order; ///< by time; an older record of a stream stays until it is reached
    std::uint64_t m_dropped = 0;
};

/// A node that may hold origins for its peers.
struct holder_candidate {
    std::string_view address;
    std::string_view dataCentre;
};

/// Peers that are told the origin of a stream.
inline constexpr std::size_t originHolders = 3;
/// Peers that are asked for the origin of a stream. More than the holders, since nodes know different peers
/// and rank without themselves.
inline constexpr std::size_t askedHolders = 6;

/// Ranks the candidates as holders of a stream's origin: by rendezvous hashing, with the best of each data
/// centre before the second of any, so that the holders survive the loss of a data centre. Returns indices,
/// at most `limit`. Nodes that know the same peers compute the same ranking. Thread safe.
std::vector<std::size_t> rankHolders(
    stream_key stream, const std::vector<holder_candidate>& candidates, std::size_t limit);

} // namespace decisions
