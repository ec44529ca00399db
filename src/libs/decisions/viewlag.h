#pragma once

#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace decisions {

/// Tracks how old a node's view of the backend servers is, and whether requests may be routed by it.
///
/// Load: servers leave one after another while a node's link is saturated or its connection to the store is
/// silent. Datagrams of peers still report that there are changes which the node does not have. It would go
/// on sending requests to servers that have left, while other nodes have a newer view.
/// While no source reports newer changes, as in an outage of the store for all nodes, the view is the best
/// one available, whatever its age. Changes are ordered by the revisions of the store. Not thread safe.
class view_lag {
public:
    /// This node has applied all changes up to that revision.
    void advance(std::uint64_t revision);
    /// A trusted source has all changes up to that revision.
    void observeRevision(std::uint64_t revision, utils::time_point now);

    /// Time since the first change that this node still lacks was reported; zero when it lacks no reported
    /// change, or when no missing change was reported for `reportLifetime`.
    utils::duration behindFor(utils::time_point now) const;
    /// Time since a source last reported that nothing was missing, or since the first missing change was
    /// reported; zero before the first report.
    utils::duration age(utils::time_point now) const;

    /// Limit of the missing revisions that are tracked with the time of their report. Beyond it, the last
    /// one stands for all newer revisions and keeps its own, earlier time.
    static constexpr std::size_t maxTrackedRevisions = 64;

    /// Missing revisions that no source has reported for this time do not count: the sources that had them
    /// are out of reach.
    static constexpr utils::duration reportLifetime = std::chrono::seconds(3);

private:
    struct reported_revision {
        std::uint64_t revision = 0;
        utils::time_point at {};
    };

    std::uint64_t m_appliedRevision = 0;
    std::deque<reported_revision> m_missing; ///< ordered by revision and by time of report
    utils::time_point m_reportedAt {}; ///< when a source last reported a missing change
    utils::time_point m_upToDateAt {}; ///< when a source last reported that nothing is missing
};

} // namespace decisions
