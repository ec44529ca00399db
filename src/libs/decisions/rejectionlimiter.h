#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace decisions {

/// Keeps the requests that a backend server rejects for want of room, over all nodes, under the number a
/// second that it bears.
///
/// Load: a burst reaches servers that announce to fail when they have to reject too many requests in a
/// second. Each node sees its own rejections only, and the load of a server as of its peers' last heartbeats:
/// all nodes find the same free slot and send there, and all retry at the same full server.
///
/// While a service announces such a limit, time is divided into windows of the age of that knowledge. In each
/// window a node draws for each server whether it may send there, once, with a probability that lets about as
/// many nodes send as the server has free slots. If all that the fleet is expected to send in a window finds
/// room at one server, no draw is needed. What may not be sent anywhere waits here or is refused here.
/// Not thread safe.
class rejection_limiter {
public:
    /// An announcement counts for this time after the last answer that carried it.
    static constexpr utils::duration announcementLifetime = std::chrono::seconds(5);
    /// Length of a window: the time between two heartbeats.
    static constexpr utils::duration window = std::chrono::milliseconds(250);
    /// After a rejection a node sends nothing to that server for this time: a second, and the difference of
    /// the ways of two requests.
    static constexpr utils::duration pauseAfterRejection = std::chrono::milliseconds(1250);

    /// `startedAt`: start of this process. The one before it on the same node may have been rejected right
    /// before.
    explicit rejection_limiter(utils::time_point startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// Sets the number of nodes of the fleet, this one included. Before the first call this node sends
    /// nothing to servers that announce a limit.
    void setFleet(const std::string& ownAddress, std::size_t nodes);
    /// Records what an answer of the service announces: the rejections a second that each server bears;
    /// nothing if it announces no limit.
    void recordAnswer(
        const std::string& service, std::optional<unsigned> rejectionsPerSecond, utils::time_point now);
    /// Records a request for the service that this node has to send somewhere.
    void recordArrival(const std::string& service, utils::time_point now);
    /// Records that a request was sent to the server.
    void recordSent(const utils::server_id& server, utils::time_point now);
    /// Records that the server has rejected a request for want of room.
    void recordRejected(const utils::server_id& server, utils::time_point now);
    /// Whether the service has announced a limit lately.
    bool isLimited(const std::string& service, utils::time_point now) const;
    /// Whether this node may send a request to the server now. `requests`: those of all nodes that are known
    /// to be in progress there; `slots`: those that it runs at once.
    bool maySend(const std::string& service, const utils::server_id& server, double requests, unsigned slots,
        utils::time_point now) const;
    /// Drops what no longer matters.
    void expire(utils::time_point now);

private:
    struct announcement {
        unsigned rejectionsPerSecond = 0;
        utils::time_point at {};
    };
    struct arrival_rate {
        double arrivals = 0; ///< decayed count
        utils::time_point at {};
    };

    /// Requests for the service that all nodes are expected to send in a window.
    double fleetArrivals(const std::string& service, utils::time_point now) const;
    /// This node's draw for the server in the present window, 0 to 1.
    double drawFor(const utils::server_id& server, utils::time_point now) const;

    utils::time_point m_startedAt;
    std::string m_ownAddress;
    std::size_t m_nodes = 0; ///< 0: not known
    std::map<std::string, announcement> m_announcements; ///< by service
    std::map<std::string, arrival_rate> m_arrivals; ///< by service
    std::unordered_map<utils::server_id, utils::time_point> m_sentAt;
    std::unordered_map<utils::server_id, utils::time_point> m_rejectedAt;
};

} // namespace decisions
