#pragma once

#include "decisions/fairqueue.h"
#include "decisions/homeledger.h"
#include "decisions/poisonregister.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <vector>

namespace serving {

/// A request that waits for a slot; lives in the waiting coroutine's frame.
struct slot_waiter {
    explicit slot_waiter(const boost::asio::any_io_executor& executor)
        : wake(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    boost::asio::steady_timer wake;
    bool isAdmitted = false;
    bool mustRunAlone = false; ///< a poison suspect
    std::optional<utils::failure> refusal;
};

/// What a home node keeps for one backend server: the exact count, the queue, and who waits.
struct home_slot {
    home_slot(const utils::node_id& self, unsigned slots, decisions::fair_queue_limits limits)
        : ledger(self, slots)
        , queue(limits)
    {
    }

    decisions::home_ledger ledger;
    decisions::fair_queue queue;
    std::map<decisions::entry_id, slot_waiter*> waiters;
    /// Requests whose connection broke a moment ago: if the server turns out to have crashed, suspects.
    std::vector<decisions::body_digest> brokenLately;
    bool isProbingCrash = false;
    std::vector<boost::asio::steady_timer*> probeWaiters; ///< in the frames of those who wait for the probe
    std::uint64_t lastCrash = 0; ///< names the crash that the last probe found; 0: the server was up
    bool wasAloneInCrash = false;
    std::optional<decisions::entry_id> aloneFor; ///< a poison suspect has the server to itself
};

/// Takes a waiter out of its slot's list, whichever way the wait ends.
class waiter_registration {
public:
    waiter_registration(home_slot& slot, decisions::entry_id id, slot_waiter& waiter)
        : m_slot(slot)
        , m_id(id)
    {
        slot.waiters[id] = &waiter;
    }
    ~waiter_registration() { m_slot.waiters.erase(m_id); }
    waiter_registration(const waiter_registration&) = delete;
    waiter_registration& operator=(const waiter_registration&) = delete;

private:
    home_slot& m_slot;
    decisions::entry_id m_id;
};

} // namespace serving
