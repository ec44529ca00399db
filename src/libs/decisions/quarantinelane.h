#pragma once

#include "queueentry.h"
#include "refusal.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace decisions {

/// Settings of the lane for suspects.
struct lane_limits {
    double serverShare = 0.125; ///< servers lent to suspects at once: one in eight, at least one
    std::size_t maxWaiting = 64;
    utils::duration maxWait = std::chrono::seconds(60);
};

/// What a server runs now.
struct lane_server {
    utils::server_id server;
    unsigned inFlight = 0;
    bool isUsable = true; ///< neither leaving nor ejected
};

/// A suspect to dispatch to this server now.
struct lane_start {
    queue_entry entry;
    utils::server_id server;
};

/// Runs suspects of the poison register one at a time, each alone on a server.
///
/// Load: a crashing request among innocent ones. Without it suspects are retried among others, each crash
/// cuts innocent streams again and makes more suspects. A server is reserved, receives nothing new, and
/// once its last request has ended it runs suspects one by one until none waits. Not thread safe.
class quarantine_lane {
public:
    explicit quarantine_lane(const lane_limits& limits = {});

    /// Queues a suspect, or refuses it at once when the lane is full.
    std::optional<refusal> push(const queue_entry& entry, utils::time_point now);
    /// A suspect to start now, if any. Call when servers' in-flight counts change.
    std::optional<lane_start> next(const std::vector<lane_server>& servers);
    /// The suspect has ended, whole or with a crash.
    void finished(entry_id id);
    /// Takes out one whose caller has gone.
    bool remove(entry_id id);
    /// Takes out what has waited too long or would end too late.
    std::vector<queue_entry> expire(utils::time_point now);
    /// Whether other work must keep off the server.
    bool isReserved(const utils::server_id& server) const { return m_reserved.contains(server); }
    std::size_t size() const { return m_waiting.size(); }

private:
    struct waiting_entry {
        queue_entry entry;
        utils::time_point startBy;
    };
    void reserve(const std::vector<lane_server>& servers);
    void release(const std::vector<lane_server>& servers);
    bool isFree(const lane_server& server) const;

    lane_limits m_limits;
    std::deque<waiting_entry> m_waiting;
    std::map<utils::server_id, std::optional<entry_id>> m_reserved; ///< with the suspect that runs there
};

} // namespace decisions
