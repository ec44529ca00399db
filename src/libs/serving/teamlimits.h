#pragma once

#include "livefleet.h"
#include "nodecontext.h"
#include "peerpool.h"

#include "decisions/quotalender.h"
#include "decisions/teamlimiter.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <set>

namespace serving {

/// Limits of calling teams over the whole fleet: borrows from the homes of the teams, lends as their home.
/// The rules are decisions::team_limiter's and quota_lender's; this class carries their messages.
/// On the node's one thread.
class team_limits {
public:
    /// Preconditions: all outlive this.
    team_limits(node_context& context, live_fleet& fleet, peer_pool& peers);

    /// A request let in; ends its count when destroyed.
    class ticket {
    public:
        ticket() = default;
        ticket(team_limits& owner, utils::team_id team);
        ticket(ticket&& other) noexcept;
        ticket& operator=(ticket&& other) noexcept;
        ~ticket();

    private:
        team_limits* m_owner = nullptr;
        utils::team_id m_team;
    };

    /// Lets a request of the team in, or says why not. Waits a round trip to the team's home at most.
    boost::asio::awaitable<std::optional<utils::failure>> admit(
        utils::team_id team, std::uint64_t hash, ticket& held);
    void applyDocument(const config::document& document, utils::time_point now);
    /// Follows membership and homes, and sends what is due; call about every 100 ms.
    void tick(utils::time_point now);
    /// Answers a borrower.
    wire::peer_reply onCall(const wire::peer_call& call);

private:
    void followFleet(utils::time_point now);
    void send(utils::time_point now);
    boost::asio::awaitable<void> ask(utils::node_id home, decisions::quota_lease_request request);
    void wakeWaiters();

    /// Takes a waiter's timer out of the set, whichever way the wait ends.
    struct waiter_guard {
        std::set<boost::asio::steady_timer*>& waiters;
        boost::asio::steady_timer* timer;
        ~waiter_guard() { waiters.erase(timer); }
    };

    node_context& m_context;
    live_fleet& m_fleet;
    peer_pool& m_peers;
    decisions::team_limiter m_limiter;
    decisions::quota_lender m_lender;
    std::map<utils::team_id, std::optional<utils::node_id>> m_homes;
    std::set<boost::asio::steady_timer*> m_waiters; ///< in the frames of those who wait for a lump
};

} // namespace serving
