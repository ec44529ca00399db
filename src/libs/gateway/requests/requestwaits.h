#pragma once

#include "attempt.h"
#include "flowresult.h"
#include "requestplan.h"
#include "steppedwait.h"

#include "decisions/rejectionlimiter.h"

#include <boost/asio/awaitable.hpp>

#include <set>
#include <vector>

namespace gateway {

/// What one request waits for between its attempts, and for how long. A request that has provably not run
/// mostly does not wait: its caller may send it again. Not thread safe.
class request_waits {
public:
    /// What the waits depend on. Precondition: all outlive them.
    struct dependencies {
        node_context& context;
        const request_plan& plan;
        const attempt_record& record;
        const flow_result& result;
    };
    /// What the caller has of the response.
    struct caller_state {
        bool hasBegun = false; ///< a part of it: nothing else can bring the rest
        bool hasFallback = false; ///< nothing, but an error response is kept for it
    };

    explicit request_waits(const dependencies& dependencies);

    /// Records that an attempt is made at the server.
    void tried(const utils::server_id& server) { m_triedServers.insert(server); }
    /// Records that a server that was tried may take the request later: it was not reached, or rests.
    void mayReturn(const utils::server_id& server) { m_returningServers.push_back(server); }
    /// The servers that are not to be chosen again for now.
    const std::set<utils::server_id>& triedServers() const { return m_triedServers; }
    /// Whether a server of the service takes requests of this node.
    bool hasServerWithoutRest() const;

    /// Whether to wait until this node may send to a server that announces how many rejections it bears.
    bool mayWaitForRoom() const;
    boost::asio::awaitable<void> forRoom() { return m_room.wait(); }
    /// Whether to wait until a server that is out of reach or rests takes requests again, or until this node
    /// knows that it has lost its path and peers have not.
    bool mayWaitForServer(const caller_state& caller) const;
    boost::asio::awaitable<void> forServer();
    /// Whether to wait for a retry of the budget: requests that arrive meanwhile earn some.
    bool mayWaitForRetry() const;
    boost::asio::awaitable<void> forRetry() { return m_retry.wait(); }
    /// Whether to wait on for the end of another request with the same suspect part.
    bool mayWaitForVerdict(const caller_state& caller) const;
    boost::asio::awaitable<void> forVerdict() { return m_verdict.wait(); }

private:
    utils::duration serverLimit(const caller_state& caller) const;
    /// Whether the server may take the request once it can be reached, or has rested.
    bool mayTakeLater(const catalogue::backend_server& server) const;

    dependencies m_dependencies;
    std::set<utils::server_id> m_triedServers;
    std::vector<utils::server_id> m_returningServers; ///< of these
    stepped_wait m_room;
    stepped_wait m_retry;
    stepped_wait m_server;
    stepped_wait m_verdict;
};

/// The failure that the caller of a request without a successful attempt is told. `salt` spreads the returns
/// of refused callers; `isWaitingForVerdict`: the request was held back for a suspect part.
utils::failure failureOf(
    const request_waits::dependencies& request, bool isWaitingForVerdict, std::uint64_t salt);

} // namespace gateway
