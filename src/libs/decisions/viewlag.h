#pragma once

#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace decisions {

/// How old a node's view of the backend servers is, and whether requests may be sent by it.
///
/// Load: servers leave one after the other while a node's link is full or its connection to the store is
/// silent. Datagrams of peers still tell it that there are changes which it does not have. It would go on
/// sending to servers that have left, where other nodes know better. While nobody tells of more, as when the
/// store is away for all, the view is the best there is, whatever its age. Revisions of the store order
/// everything. Not thread safe.
class view_lag {
public:
    /// This node has taken all changes up to that revision.
    void advance(std::uint64_t revision);
    /// A source whose word counts has all changes up to that revision.
    void observeRevision(std::uint64_t revision, utils::time_point now);

    /// Since this node was told of the first change that it still lacks; zero when it lacks none that it was
    /// told of, or when nobody has told of one for `reportLifetime`.
    utils::duration behindFor(utils::time_point now) const;
    /// Since a source last told that nothing was missing, or since the first missing change was told of;
    /// zero before any source was heard.
    utils::duration age(utils::time_point now) const;

    /// Revisions that are remembered with the time at which they were told. Beyond it the last one stands for
    /// all newer ones, with its own, earlier time.
    static constexpr std::size_t maxTrackedRevisions = 64;

    /// A revision that nobody has told of for so long does not count: whoever knew it is out of touch.
    static constexpr utils::duration reportLifetime = std::chrono::seconds(3);

private:
    struct reported_revision {
        std::uint64_t revision = 0;
        utils::time_point at {};
    };

    std::uint64_t m_appliedRevision = 0;
    std::deque<reported_revision> m_missing; ///< by revision and by time
    utils::time_point m_reportedAt {}; ///< when a source last told of something that is missing
    utils::time_point m_upToDateAt {}; ///< when a source last told of nothing that is missing
};

} // namespace decisions
