#pragma once

#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace decisions {

/// Distributes the requests of all nodes with a shared part of a prompt over engines, at the node that is the
/// part's home.
///
/// Load: requests with one part that reach all nodes of a fleet within milliseconds. Each node has few of
/// them, and hears what the others put on an engine later than their requests arrive, so that each would
/// fill the whole room of the engine where all look for the part. The home sees all of them and gives out
/// places in the part's ranking of engines: the first engine until it has its share, then the next one. Not
/// thread safe.
class crowd_register {
public:
    /// A request counts for this time. Most have ended by then, or all nodes have heard of their load.
    static constexpr utils::duration window = std::chrono::seconds(1);
    /// A crowd that would fill this number of places is given twice as many: what else engines get by chance
    /// comes on top, and the more of them are full, the more of them exceed their bound.
    static constexpr double sparePlaces = 20;
    /// Parts with requests within the window, and requests of one part, that are counted.
    static constexpr std::size_t maxParts = 8192;
    static constexpr std::size_t maxRequests = 4096;

    /// Returns the place of the engine in the ranking, from 0, for a request with that part. `share`:
    /// requests of the part that an engine should get within the window; at least 1 counts.
    std::uint32_t place(std::uint64_t part, double share, utils::time_point now);
    /// Forgets parts without a request within the window.
    void expire(utils::time_point now);
    std::size_t size() const { return m_crowds.size(); }

private:
    struct placed_request {
        utils::time_point at {};
        std::uint32_t place = 0;
    };
    struct crowd {
        std::deque<placed_request> requests; ///< the oldest first
        std::vector<std::uint32_t> byPlace; ///< number of these
    };

    static void dropOld(crowd& crowd, utils::time_point now);

    std::unordered_map<std::uint64_t, crowd> m_crowds;
};

} // namespace decisions
