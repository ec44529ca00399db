#pragma once

#include "loadbound.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

namespace decisions {

/// Load of one backend server as its home counted it.
struct load_entry {
    utils::server_id server;
    /// home_ledger::ownInFlight of the holder, not its load(): the count that a new home inherits from server
    /// reports tends to be too high, which is safe for its own bound but not for the mean of the others.
    unsigned inFlight = 0;
    double slots = 1; ///< slots x ramp-up
    utils::time_point countedAt; ///< by the receiver's clock: arrival time minus the age sent with the entry
};

/// One node's view of the loads of a pool's servers, from its own counts, digests that arrive late, and the
/// loads in refusals. Keyed by server; the newest entry wins, so that two homes of one server during a
/// handover are not counted twice. Each server counts once, whatever the age of its entry: the newest entries
/// are those of busy servers, which admit, refuse and finish most requests, so a mean over them alone would
/// be too high. Not thread safe.
class load_view {
public:
    /// Stores an entry unless a newer one of the server is known.
    void merge(const load_entry& entry);
    /// Removes the entry of a server that left the pool or whose holder died. The holder's last count is
    /// stale, and the server counts as idle until a new home reports its load.
    void remove(const utils::server_id& server);
    /// Sets the sum of slots x ramp-up over the pool's servers that accept new requests. A server without an
    /// entry counts as idle: otherwise a node with few entries would compare its own servers only with
    /// themselves, and the bound would have no effect.
    void setPoolSlots(double slots) { m_poolSlots = slots; }
    /// Returns the pool's mean load; ignores entries older than `entryLifetime`.
    mean_load mean(utils::time_point now) const;
    /// As mean(), and fills in the lowest mean of the last `lowestWindow`. Call it at each decision.
    mean_load observe(utils::time_point now);
    /// Returns the `limit` newest entries, to be sent in a digest or along with a request.
    std::vector<load_entry> youngest(std::size_t limit) const;
    /// Returns the entry of a server, or null.
    const load_entry* find(const utils::server_id& server) const;
    std::size_t size() const { return m_entries.size(); }

    /// A server without a new entry for this time has no home or is gone, so its load is stale.
    static constexpr utils::duration entryLifetime = std::chrono::seconds(30);
    /// About the duration of a request: the requests admitted in a burst have ended by then.
    static constexpr utils::duration lowestWindow = std::chrono::seconds(10);

private:
    /// Lowest mean seen in one second.
    struct second_low {
        utils::time_point begin;
        double perSlot;
    };

    std::deque<second_low> m_lows;
    double m_poolSlots = 0;
    std::vector<load_entry> m_entries;
    std::unordered_map<utils::server_id, std::size_t> m_index;
};

} // namespace decisions
