#pragma once

#include "admission.h"
#include "queueentry.h"
#include "refusal.h"
#include "servicerate.h"
#include "slotforecast.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace decisions {

/// Settings of a fair queue.
struct fair_queue_limits {
    unsigned slots = 8; ///< requests that the servers behind the queue run at once
    std::size_t maxEntries = 512; ///< more would wait longer than any caller of a live chat does
    admission_limits admission;
    /// Largest part of the slots that a class may occupy. Work is not preempted, so without a ceiling for
    /// drafts a status check waits for the end of a long draft however high its class.
    std::array<double, static_cast<std::size_t>(priority_class::Count_)> ceiling { 1.0, 0.9, 0.6 };
    /// Part of the work that a class gets at least while it has entries: drafts wait, but go on.
    std::array<double, static_cast<std::size_t>(priority_class::Count_)> guarantee { 0.0, 0.15, 0.05 };
    bool isFair = true; ///< false: one queue in order of arrival (the bench shows what that costs)
    bool hasPriorityClasses = true; ///< false: all entries as if of one class, no ceilings
    bool shedsLoad = true; ///< false: no admission by estimated wait
};

/// An entry that leaves the queue without having run.
struct refused_entry {
    queue_entry entry;
    refusal reason;
};

/// The queue before one set of backend servers (an engine or a pool's share) at its home node.
///
/// Load: burst, few heavy teams, long work among short, saturation. Without it, one team's burst or a few
/// long drafts delay everyone, and a full queue refuses the light team for the heavy one's backlog.
///  - Classes: the most urgent class goes first, except that a class below is owed a small guaranteed
///    share of the work; each class has a ceiling on the slots it occupies.
///  - Teams: start-time fair queueing on expected work inside a class, by weight.
///  - Bound: when full, the newest entry of the team with the largest backlog makes room for a lighter one.
///  - Deadlines: what can no longer end in time is handed back by expire() at once.
///
/// The daemon calls push; then takeNext while it can dispatch; then expire for what must be refused now;
/// finished when a run ends. The approval is checked again by the caller right before dispatch.
/// Not thread safe.
class fair_queue {
public:
    explicit fair_queue(const fair_queue_limits& limits = {});

    /// Queues the entry, or tells why not. Precondition: the id is not queued or running here.
    std::optional<refusal> push(const queue_entry& entry, utils::time_point now);
    /// The entry to dispatch now, counted as running until finished(); nothing while all slots that its
    /// class may use are taken.
    std::optional<queue_entry> takeNext(utils::time_point now);
    /// A run has ended, whole or not. An unknown id is ignored.
    void finished(entry_id id, utils::time_point now, bool isComplete = true);
    /// Undoes takeNext for an entry that could not be dispatched after all: it waits on in its old place and
    /// with its old limit, without being asked in again. An unknown id is ignored.
    void putBack(entry_id id);
    /// Takes out an entry whose caller has gone. False when it was not queued (running or unknown).
    bool remove(entry_id id);
    /// Takes out what must be refused now: what will not start in time for its deadline or its class's
    /// longest wait as the queue now stands, and what made room for others. Call after push and takeNext, and
    /// at nextExpiry.
    std::vector<refused_entry> expire(utils::time_point now);
    /// Takes out the entries that `isRevoked` names: their approval is gone, they must not run.
    std::vector<queue_entry> removeIf(const std::function<bool(const queue_entry&)>& isRevoked);
    /// When expire has something to do at the latest; time_point::max() when nothing is queued.
    utils::time_point nextExpiry() const;

    /// Slots change as servers join and leave; running entries stay.
    void setSlots(unsigned slots) { m_limits.slots = slots; }
    /// Time until an entry would start if pushed now.
    utils::duration estimatedWait(const queue_entry& entry, utils::time_point now) const;
    /// Seconds of expected work that the servers finish in a second, as measured.
    double drainRate(utils::time_point now) const;
    std::size_t size() const { return m_positions.size(); }
    std::size_t size(priority_class priority) const;
    unsigned running() const { return static_cast<unsigned>(m_running.size()); }

private:
    static constexpr std::size_t classes = static_cast<std::size_t>(priority_class::Count_);

    struct order_key {
        double start = 0; ///< start tag in the class's virtual time, seconds of weighted work
        std::uint64_t sequence = 0;
        bool operator<(const order_key& other) const
        {
            return start < other.start || (start == other.start && sequence < other.sequence);
        }
    };
    struct item {
        queue_entry entry;
        utils::time_point startBy;
    };
    struct class_queue {
        std::map<order_key, item> items;
        std::map<utils::team_id, double> finishTags;
        double virtualTime = 0;
        double owed = 0; ///< seconds of work that the guarantee owes the class
    };
    struct running_entry {
        std::size_t queue = 0;
        order_key key;
        item queued;
    };
    struct queue_position {
        std::size_t queue = 0;
        order_key key;
    };
    struct evicted_entry {
        queue_entry entry;
        utils::error_kind kind = utils::error_kind::QueueFull;
    };

    std::size_t classOf(const queue_entry& entry) const;
    order_key keyFor(const queue_entry& entry) const;
    utils::time_point startBy(const queue_entry& entry, utils::time_point now) const;
    void insert(const queue_entry& entry, utils::time_point now);
    bool hasRoom(std::size_t queue) const;
    std::optional<std::size_t> nextClass() const;
    void updateGuarantees(std::size_t served, double work);
    bool makeRoom(const queue_entry& entry);
    std::optional<entry_id> evictionCandidate(const queue_entry& entry) const;
    queue_entry takeOut(entry_id id);
    std::vector<entry_id> findLateEntries(utils::time_point now) const;
    slot_forecast forecastNow(utils::time_point now) const;
    admission_query queryFor(const queue_entry& entry, utils::time_point now) const;

    fair_queue_limits m_limits;
    admission m_admission;
    service_rate m_rate;
    std::array<class_queue, classes> m_queues;
    std::unordered_map<entry_id, queue_position> m_positions;
    std::map<entry_id, running_entry> m_running;
    std::vector<evicted_entry> m_evicted;
    std::uint64_t m_sequence = 0;
};

} // namespace decisions
