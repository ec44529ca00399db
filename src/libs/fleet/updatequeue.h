#pragma once

#include "wire/datagram.h"

#include <map>
#include <vector>

namespace fleet {

/// Changes of members that still travel on this node's probes. Each is sent a number of times that grows
/// with the logarithm of the fleet, so that it reaches everyone with high probability while the traffic
/// of a change does not grow with each node's fleet. Not thread safe.
class update_queue {
public:
    /// Replaces what is queued about the same node. A minor update, which others learn without it too, is
    /// sent a few times only.
    void add(wire::member_update update, bool isMinor = false);
    /// The least often sent updates that fit into `bytes`; each counts as sent once.
    std::vector<wire::member_update> take(std::size_t bytes, std::size_t fleetSize);
    bool empty() const { return m_updates.empty(); }

private:
    struct queued {
        wire::member_update update;
        bool isMinor = false;
        unsigned timesSent = 0;
    };

    std::map<utils::node_id, queued> m_updates;
};

} // namespace fleet
