#pragma once

#include "attempt.h"
#include "attempttracker.h"
#include "flowresult.h"
#include "gateway/peers/peerforwarder.h"
#include "requestplan.h"
#include "stopscope.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gateway {

/// The next attempt of a request, with an open connection for it. Its retry is paid.
struct secured_attempt {
    std::optional<decisions::placement> placement; ///< at a backend server
    std::optional<forward_target> peer; ///< or by way of this peer
    http_connection_ptr connection;
};

/// Secures the attempt that replaces one which receives no data, before that one is ended: a server that is
/// likely to run and may take the request, a connection to it, and a retry of the budget. A silent server
/// may go on a moment later, so until then the attempt in flight stays. Not thread safe.
class replacement_search {
public:
    /// What the search depends on. Precondition: all outlive it.
    struct dependencies {
        node_context& context;
        peer_forwarder& forwarder;
        const client_request& request;
        const request_plan& plan;
        const attempt_record& record;
        const attempt_tracker& tracker;
        const flow_result& result;
        const std::set<utils::server_id>& triedServers;
        const std::set<std::string>& triedPeers;
        std::uint64_t number; ///< of the request on this node
    };

    explicit replacement_search(const dependencies& dependencies)
        : m_dependencies(dependencies)
    {
    }
    ~replacement_search() { attemptEnded(); }
    replacement_search(const replacement_search&) = delete;
    replacement_search& operator=(const replacement_search&) = delete;

    /// Returns when to look at the attempt again. `due`: when it has received no data for too long, as known
    /// at `now`. Returns `now` if the attempt is to be ended, since its replacement is secured.
    utils::time_point nextCheck(utils::time_point due, utils::time_point now);
    /// Whether the budget has a retry for this request, before others that wait for one. Until attemptEnded()
    /// the request counts among these.
    bool mayRetry(utils::time_point now);
    /// The attempt in flight has ended, or the wait for a retry. What was secured stays until takeSecured().
    void attemptEnded();
    /// Returns what was secured, once.
    std::optional<secured_attempt> takeSecured();

private:
    /// A connection that is being opened; the task that opens it may outlive the search.
    struct pending_connection {
        http_connection_ptr connection;
        std::shared_ptr<stop_scope> scope;
        utils::server_id server; ///< empty for a peer
        std::string error; ///< why it was not opened
        bool isDone = false;
        bool isAbandoned = false;
    };
    struct candidate {
        std::optional<decisions::placement> placement;
        std::optional<forward_target> peer;
    };

    using eligibility = bool (*)(const decisions::replacement_query& query);

    /// Returns nothing if a replacement is secured, else why not.
    std::optional<decisions::stall_reason> trySecure(utils::time_point now);
    /// Records that the request waits for a retry; returns nothing if it may have one, else why not.
    std::optional<decisions::stall_reason> awaitRetry(utils::time_point now);
    std::optional<decisions::stall_reason> chooseServerCandidate(utils::time_point now);
    std::optional<decisions::stall_reason> choosePeerCandidate(utils::time_point now);
    /// Opens a connection to the candidate, and commits once it is open.
    std::optional<decisions::stall_reason> connect(utils::time_point now);
    /// Asks again whether the candidate may take the request, and pays for the retry.
    std::optional<decisions::stall_reason> commit(utils::time_point now);
    /// Whether attempts get their time anew, after most servers of the service were silent.
    bool isSettling(utils::time_point now);
    /// Servers that were tried, and those that are not eligible.
    std::set<utils::server_id> excludedServers(eligibility isEligible, utils::time_point now) const;
    /// What is known of the servers besides the silent one, without a candidate.
    decisions::replacement_query querySilence(utils::time_point now) const;
    /// The same for this candidate.
    decisions::replacement_query queryFor(
        const utils::server_id& server, decisions::replacement_query query, utils::time_point now) const;
    bool isAdmitted(utils::time_point now) const;
    void record(decisions::stall_reason reason, utils::time_point now);
    /// The request no longer counts among those that wait for a retry.
    void leaveQueue();
    void abandonConnection();
    /// Opens a connection, and closes it again if it was abandoned meanwhile.
    static boost::asio::awaitable<void> open(node_context& context,
        std::shared_ptr<pending_connection> pending, boost::asio::ip::tcp::endpoint endpoint);

    // A retry of the budget comes back within some 100 ms where requests go on to arrive.
    static constexpr utils::duration checkInterval = std::chrono::milliseconds(100);
    static constexpr utils::duration connectCheckInterval = std::chrono::milliseconds(10);

    dependencies m_dependencies;
    bool m_isStalled = false; ///< recorded in node_context::stalls
    std::optional<decisions::stall_reason> m_lastReason; ///< that was logged for this attempt
    std::optional<candidate> m_candidate;
    std::shared_ptr<pending_connection> m_pending;
    std::set<utils::server_id> m_unreachable; ///< servers to which no connection could be opened
    std::optional<secured_attempt> m_secured;
};

} // namespace gateway
