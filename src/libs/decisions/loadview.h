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
    /// home_ledger::ownInFlight of the holder. Not its load: what a new home takes over from reports is
    /// counted rather too high, which is safe in its bound and unsafe in the others' mean.
    unsigned inFlight = 0;
    double slots = 1; ///< slots x ramp-up
    utils::time_point countedAt; ///< by the reader's clock: time of arrival less the age that it came with
};

/// What one node knows of the loads of a pool's servers: its own counts, digests that arrive late, and the
/// loads named in refusals. Keyed by server, the youngest entry wins, so that two homes of one server during
/// a handover are not counted twice. Each server counts once, however old its entry: entries that are young
/// are those of busy servers, which admit, refuse and finish most, and a mean over them alone is too high.
/// Not thread safe.
class load_view {
public:
    /// Takes an entry unless a younger one of the server is known.
    void merge(const load_entry& entry);
    /// Forgets the load of a server that left the pool, or whose holder died: what the holder last counted
    /// says nothing any more, and as long as no new home counts, the server is taken for idle.
    void remove(const utils::server_id& server);
    /// Slots x ramp-up of all servers of the pool that take new requests. A server not heard of counts as
    /// idle: a node that has heard of few would else compare its own servers with themselves and know no
    /// bound.
    void setPoolSlots(double slots) { m_poolSlots = slots; }
    /// The pool's mean load; entries older than `entryLifetime` no longer count.
    mean_load mean(utils::time_point now) const;
    /// As mean, with the lowest mean of the last `lowestWindow` filled in. Call it at each decision.
    mean_load observe(utils::time_point now);
    /// The `limit` youngest entries, to be sent in a digest or along with a request.
    std::vector<load_entry> youngest(std::size_t limit) const;
    /// The entry of a server, or null.
    const load_entry* find(const utils::server_id& server) const;
    std::size_t size() const { return m_entries.size(); }

    /// A server not heard of for so long has no home or is gone: its load says nothing.
    static constexpr utils::duration entryLifetime = std::chrono::seconds(30);
    /// About the time that a request takes: what a burst let in is gone by then.
    static constexpr utils::duration lowestWindow = std::chrono::seconds(10);

private:
    /// The lowest mean seen in one second.
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
