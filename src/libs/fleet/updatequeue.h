#pragma once

#include "wire/datagram.h"

#include <map>
#include <vector>

namespace fleet {

/// Member updates to be piggybacked on this node's datagrams. The number of times that an update is sent
/// grows with the logarithm of the fleet size, so that it reaches all nodes with high probability while the
/// traffic of a change stays small in a large fleet. Not thread safe.
class update_queue {
public:
    /// Replaces a queued update about the same node. A minor update, which other nodes also learn by other
    /// means, is sent only a few times.
    void add(wire::member_update update, bool isMinor = false);
    /// Returns the least often sent updates that fit into `bytes` and counts each as sent.
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
