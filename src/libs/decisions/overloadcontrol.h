#pragma once

#include "offeredwork.h"
#include "urgency.h"

#include "utils/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace decisions {

/// A request of which it is decided whether it is admitted.
struct work_query {
    std::uint64_t workspace = 0; ///< hash of the workspace's name; 0: none, which is never bound to a part
    int urgency = 0; ///< 0 is the most urgent
    double work = 0; ///< slot seconds that it is expected to take
    std::uint64_t hash = 0; ///< of the request
};

/// What the servers of a service can do, as far as this node knows.
struct service_room {
    double slots = 0; ///< of all servers that may get requests
    double requests = 0; ///< of all nodes, in progress there
    std::size_t livePeers = 0; ///< other nodes that send requests to the service
    double patience = 1; ///< time within which answers should begin, as a multiple of the work of a request
};

/// What bounds the share of requests that are admitted.
enum class admission_bound {
    None, ///< there is room for all
    Urgency, ///< more urgent requests and those with less work take the room
    Workspace, ///< the workspace offers more than its part of the room
    Count_
};

/// Returns "none", "urgency" or "workspace". Thread safe.
std::string_view toString(admission_bound bound);

/// The share of requests like this one that are admitted.
struct admission_share {
    double share = 1; ///< 0 to 1
    admission_bound bound = admission_bound::None;
    bool isShared = false; ///< the room is shared out, also where all requests like this one are admitted
    double offered = 0; ///< slot seconds a second, of all nodes
    double capacity = 0; ///< slot seconds a second
};

/// Decides which share of the requests of a service is admitted while callers offer more work than its
/// servers can do.
///
/// Load: more work than room at model engines, for seconds or minutes, with long requests of low urgency that
/// hold the slots for which urgent ones are turned away, and with one workspace that sends many times its
/// usual. What a request costs when it is refused, per slot second, orders the refusals:
///  - A workspace that offers far more than its even part of the room is bound to that part; what others
///    leave free is shared out, so that no slot stays idle for it.
///  - Within that, more urgent requests come first; among equally urgent ones, those that need less work.
///  - Each urgency keeps a share of the room, and longer requests of one urgency are refused at most about
///    twice as often as others, so that none is shut out.
/// The share is computed from the work offered to all nodes, not from queues: a queue shows too much load
/// only when it is long, and each node sees it late. The queues correct the estimate of what the servers can
/// do. Not thread safe.
class overload_control {
public:
    /// A workspace that offers more than its even part of the room, and more than this multiple of what
    /// workspaces offer in the median, is bound to that part.
    static constexpr double heavyFactor = 2;
    /// Least share of an urgency, as a fraction of the share of all requests that is admitted.
    static constexpr double leastShare = 0.3;
    /// Bounds of the exponent by which the work of a request, relative to others of its urgency, changes its
    /// share.
    static constexpr double minWorkExponent = 0.7;
    static constexpr double maxWorkExponent = 1.5;
    /// Bounds of that change, as factors.
    static constexpr double minWorkFactor = 0.65;
    static constexpr double maxWorkFactor = 1.2;
    /// Wait in the queues of the servers that keeps all slots in use although nodes do not fill the servers
    /// evenly, as a fraction of the time within which answers should begin; with requests of several
    /// urgencies, of which the less urgent wait longer, and of one.
    static constexpr double mixedQueueShare = 0.22;
    static constexpr double evenQueueShare = 0.7;
    /// Change of the capacity for a load off by one times the slots: at once, and for each second that it
    /// lasts.
    static constexpr double loadGain = 0.6;
    static constexpr double correctionPerSecond = 0.2;
    static constexpr double minCorrection = 0.5;
    static constexpr double maxCorrection = 1.5;
    /// Less offered work than this fraction of the slots is no shortage, however long the queues are: those
    /// shrink by themselves, and a late answer is better than none.
    static constexpr double shortageSlots = 0.85;
    /// The same where fewer requests are in progress than this fraction of the slots, whatever is offered.
    static constexpr double idleLoad = 0.55;
    /// Interval at which the shares are computed anew.
    static constexpr utils::duration updateInterval = std::chrono::milliseconds(100);

    /// Forgets the shares if they were not computed for long: nobody offers anything any more.
    void expire(utils::time_point now);
    /// Records a request on arrival, before it is decided on, and also if it is not.
    void record(const work_query& query, utils::time_point now);
    /// Whether the shares are so old that update() should be called before they are asked for.
    bool isDue(utils::time_point now) const
    {
        return m_updatedAt == utils::time_point() || now - m_updatedAt >= updateInterval;
    }
    /// Computes the shares anew.
    void update(const service_room& room, utils::time_point now);
    /// Returns the share of requests like this one that are admitted, as of the last update.
    admission_share shareOf(const work_query& query) const;
    /// Whether a request is among the share that is admitted. Thread safe.
    static bool isAdmitted(const admission_share& share, std::uint64_t hash);

    offered_work& offered() { return m_offered; }
    /// Work offered by all nodes as a multiple of the capacity, as of the last update; 0 before.
    double fill() const { return m_capacity > 0 ? m_offeredWork / m_capacity : 0; }
    /// Both in slot seconds a second, as of the last update.
    double offeredWork() const { return m_offeredWork; }
    double capacity() const { return m_capacity; }
    /// Workspaces that are bound to their part of the room.
    std::size_t heavyWorkspaces() const { return m_heavy.size(); }

private:
    using urgency_values = std::array<double, urgencyLevels>;
    /// The shares of a group of workspaces that has a part of the room.
    struct group_shares {
        urgency_values byUrgency {};
        bool isBound = false;
    };

    /// The part of the room that each workspace gets while others want more.
    struct even_part {
        double work = 0; ///< slot seconds a second
        double heavyWork = 0; ///< a workspace that offers more is bound to its part
    };

    void observeLoad(const service_room& room, utils::time_point now);
    /// Requests in progress, as a multiple of the slots, that the servers should have.
    static double fullLoad(const work_total& total, const service_room& room);
    static even_part evenPart(const work_total& total, double capacity);
    /// Shares the capacity out by urgency. `work`: offered by urgency.
    group_shares shareOut(const urgency_values& work, double capacity) const;
    /// The shares by urgency if each gets at least `least`, and what is left goes to the more urgent ones.
    static urgency_values sharesAbove(double least, const urgency_values& work, double capacity);
    double meanWork(std::size_t urgency) const;
    double shareFor(const group_shares& group, std::size_t urgency, double work) const;

    offered_work m_offered;
    urgency_values m_work {}; ///< slot seconds of requests at this node, decayed by request
    urgency_values m_requests {};
    double m_correction = 1; ///< of the capacity
    double m_fullLoad = 1; ///< requests in progress that servers should have, as a multiple of the slots
    double m_load = 0; ///< requests in progress as a multiple of the slots, smoothed
    double m_offeredWork = 0; ///< by all nodes, slot seconds a second
    double m_capacity = 0;
    utils::time_point m_updatedAt {};
    group_shares m_others; ///< the workspaces within their parts
    std::unordered_map<std::uint64_t, group_shares> m_heavy;
};

} // namespace decisions
