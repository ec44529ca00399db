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
    unsigned slots = 8; ///< concurrent requests of the servers behind the queue
    std::size_t maxEntries = 512; ///< more would wait longer than any caller of a live chat
    admission_limits admission;
    /// Largest fraction of the slots that a class may occupy. Running requests are not preempted: without a
    /// ceiling for drafts, a status check would wait for the end of a long draft despite its higher class.
    std::array<double, static_cast<std::size_t>(priority_class::Count_)> ceiling { 1.0, 0.9, 0.6 };
    /// Smallest fraction of the work that a class gets while it has entries: drafts wait, but make
    /// progress.
    std::array<double, static_cast<std::size_t>(priority_class::Count_)> guarantee { 0.0, 0.15, 0.05 };
    bool isFair = true; ///< false: one queue in order of arrival (the benchmark shows the cost)
    bool hasPriorityClasses = true; ///< false: all entries in one class, without ceilings
    bool shedsLoad = true; ///< false: no admission by estimated wait
};

/// An entry that leaves the queue without having run, and the refusal for its caller.
struct refused_entry {
    queue_entry entry;
    refusal reason;
};

/// The fair queue in front of one set of backend servers (an engine or a pool's share) at its home node.
///
/// Load: bursts, few heavy teams, long requests among short ones, saturation. Without it, one team's burst
/// or a few long drafts delay all callers, and a full queue refuses the light team because of the heavy
/// team's backlog.
///  - Classes: the most urgent class goes first, except that each lower class is owed a small guaranteed
///    share of the work. Each class has a ceiling on the slots that it occupies.
///  - Teams: start-time fair queueing on expected work inside a class, by weight.
///  - Bound: when the queue is full, the newest entry of the team with the largest backlog is evicted in
///    favour of an entry of a lighter team.
///  - Deadlines: entries that can no longer end in time are returned by expire() at once.
///
/// Order of calls: push; then takeNext while requests can be dispatched; then expire for the entries to
/// refuse now; finished when a run ends. The caller checks the approval again right before dispatch.
/// Not thread safe.
class fair_queue {
public:
    explicit fair_queue(const fair_queue_limits& limits = {});

    /// Queues the entry, or returns the refusal. Precondition: the id is not queued or running here.
    std::optional<refusal> push(const queue_entry& entry, utils::time_point now);
    /// Returns the entry to dispatch now, which counts as running until finished(); nothing while all slots
    /// that its class may use are taken.
    std::optional<queue_entry> takeNext(utils::time_point now);
    /// Ends a run. `isComplete`: it ran to its end. An unknown id is ignored.
    void finished(entry_id id, utils::time_point now, bool isComplete = true);
    /// Undoes takeNext for an entry that could not be dispatched. The entry keeps its place in the queue
    /// and its latest start time, and is not subject to admission again. An unknown id is ignored.
    void putBack(entry_id id);
    /// Removes an entry whose caller has disconnected. Returns false if it was not queued (running or
    /// unknown).
    bool remove(entry_id id);
    /// Removes and returns the entries to refuse now: those that, as the queue stands, will not start in
    /// time for their deadline or within the longest wait of their class, and those that were evicted in
    /// favour of others. Call after push and takeNext, and at nextExpiry.
    std::vector<refused_entry> expire(utils::time_point now);
    /// Removes and returns the entries for which `isRevoked` holds: their approval is withdrawn, they must
    /// not run.
    std::vector<queue_entry> removeIf(const std::function<bool(const queue_entry&)>& isRevoked);
    /// Time by which expire must be called; time_point::max() when nothing is queued.
    utils::time_point nextExpiry() const;

    /// Sets the number of slots, which changes as servers join and leave. Running entries are not affected.
    void setSlots(unsigned slots) { m_limits.slots = slots; }
    /// Time until an entry would start if pushed now.
    utils::duration estimatedWait(const queue_entry& entry, utils::time_point now) const;
    /// Seconds of expected work that the servers complete per second, as measured.
    double drainRate(utils::time_point now) const;
    std::size_t size() const { return m_positions.size(); }
    std::size_t size(priority_class priority) const;
    unsigned running() const { return static_cast<unsigned>(m_running.size()); }

private:
    static constexpr std::size_t classes = static_cast<std::size_t>(priority_class::Count_);

    struct order_key {
        double start = 0; ///< start tag in the virtual time of the class, in seconds of weighted work
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
