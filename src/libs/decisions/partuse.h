#pragma once

#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace decisions {

/// The share that each prompt part has of this node's latest requests, to tell which parts are in much use.
///
/// Load: hundreds of requests a second with a part that had few a moment before. Each node sends some ten of
/// them a second and hears late or never what the others send, so that the loads of engines show a hot part
/// only once they are above the limit; its share of the node's own requests shows it at once. A session sends
/// its requests one after the other, most often to the same node: only a part of which two requests were in
/// progress at once counts. Not thread safe.
class part_use {
public:
    /// Requests that are looked at, none older than `lifetime`.
    static constexpr std::size_t maxRequests = 32;
    static constexpr utils::duration lifetime = std::chrono::seconds(5);
    /// Fewer requests than this count as this many: a part of a node's only two requests is not in much use.
    static constexpr std::size_t minRequests = 16;

    /// Records that a request with this part was sent.
    void started(std::uint64_t part, utils::time_point now);
    /// Records that it ended. Precondition: a matching started() came before.
    void ended(std::uint64_t part);
    /// Returns the share of the latest requests that have this part, one more that is about to be sent
    /// included; 0 unless two of them were in progress at once.
    double shareWithNext(std::uint64_t part, utils::time_point now) const;

private:
    struct use {
        std::uint64_t part = 0;
        utils::time_point at {};
        bool isBesideAnother = false; ///< another request with this part was in progress
    };
    std::deque<use> m_uses; ///< the oldest first
    std::unordered_map<std::uint64_t, unsigned> m_inProgress; ///< requests by part
};

} // namespace decisions
