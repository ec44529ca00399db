#pragma once

#include "actions.h"
#include "chartmachine.h"
#include "operationrecord.h"

#include "utils/ids.h"
#include "utils/statechart.h"
#include "utils/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace operations {

/// Time and size limits of an operation; docs/design/at-most-once.md explains the defaults.
struct operation_settings {
    /// Maximum time from sending the claim to sending the request. A payment that cannot start within it is
    /// refused while its caller still waits.
    utils::duration dispatchWindow = std::chrono::seconds(2);
    /// How long a refusal may be delayed to close the record first; after that the answer is may_have_run.
    utils::duration closeWindow = std::chrono::seconds(1);
    /// How long writes that close the record or store the outcome are retried after the caller was answered.
    utils::duration recordWriteWindow = std::chrono::seconds(60);
    utils::duration retryFirst = std::chrono::milliseconds(50); ///< doubles after each platform failure
    utils::duration retryMost = std::chrono::seconds(5);
    /// How long a second sending waits for the answer of the first, and its longest polling interval.
    utils::duration followWindow = std::chrono::seconds(2);
    utils::duration followInterval = std::chrono::milliseconds(250);
    /// First polling interval; doubles up to followInterval. A caller that retries right after its answer
    /// finds a record whose outcome is stored one batch window later. With followInterval as the first
    /// interval it waited that long for it.
    utils::duration followFirstInterval = std::chrono::milliseconds(30);
    /// Largest stored body in bytes: in base64 and with its headers it stays below the platform's limit of
    /// one megabyte.
    std::size_t maxKeptBody = 640UL * 1024;
};

/// One sending of a non-idempotent request.
struct operation_request {
    utils::team_id team;
    std::string idempotencyKey; ///< sent by the caller, or generated for this sending
    std::string bodyDigest; ///< utils::sha256Hex of method, path and body
    std::string nonce; ///< random and unique to this sending
    utils::node_id node;
    std::uint64_t boot = 0;
    std::int64_t wallSeconds = 0; ///< current UTC time
    utils::duration runTimeout = std::chrono::seconds(10); ///< run timeout of the route
    std::int64_t lease = 0; ///< platform lease; the record is removed when it ends
};

using operation_action
    = std::variant<kv_transact, reach_server, send_request, answer_caller, refuse_caller, set_timer>;
using operation_actions = std::vector<operation_action>;

/// Runs one sending of a non-idempotent request so that its idempotency key runs at most once, whichever node
/// receives the caller's next sending. Steps: share/lycheefront/charts/operation.yaml.
///
/// A record is created in the platform before the request may be sent, and only the state machine whose nonce
/// is in the record sends the request, once. No other state machine runs a claimed record, however old, so
/// that no clock error, process pause or expired lease can make it run twice. If a record may exist,
/// "not_run" is answered only after a compare-and-swap has closed it, so that the next sending may run.
///
/// Load: two platform writes per payment. Without the record, a caller that retries on another node after a
/// broken connection pays twice. Not thread safe.
class operation : public chart_machine<operation, operation_action> {
public:
    /// Preconditions: `chart` is operation.yaml, passed checkChart and outlives this object; the request was
    /// admitted and holds its slot, since the dispatch window begins with start().
    operation(const utils::state_chart& chart, const operation_settings& settings, operation_request request);

    operation_actions start(utils::time_point now);
    /// The reply to a kv_transact. Only the reply to the latest ticket is used; others are ignored.
    operation_actions onKvReply(std::uint64_t ticket, const keyvalue::kv_reply& reply, utils::time_point now);
    operation_actions onTimer(utils::time_point now);
    /// Call with the connection open, right before the first byte is sent. `refusal` is the reason why the
    /// request must not be sent (node not current, approval revoked), or empty if it may. Returns
    /// send_request, or closes the record.
    operation_actions readyToSend(const std::optional<utils::failure>& refusal, utils::time_point now);
    /// No byte of the request was sent, and none will be.
    operation_actions serverNotReached(const utils::failure& why, utils::time_point now);
    /// The complete answer has arrived.
    operation_actions serverAnswered(stored_answer answer, utils::time_point now);
    /// The connection broke, or the route's run timeout expired, after send_request and before the complete
    /// answer.
    operation_actions serverCut(const utils::failure& why, utils::time_point now);
    /// The caller's connection is closed: an unsent request is not sent, but the outcome of a sent one is
    /// recorded.
    operation_actions callerGone(utils::time_point now);

    static const action_table& table();

private:
    enum class pending {
        Nothing,
        Claim,
        Close,
        Store,
        Read
    };

    // Actions of the state chart.
    void armWindow(utils::time_point now);
    void writeClaim(utils::time_point now);
    void readBack(utils::time_point now);
    void reachServer(utils::time_point now);
    void sendRequest(utils::time_point now);
    void closeRecord(utils::time_point now);
    void noteTooLate(utils::time_point now);
    void armClose(utils::time_point now);
    void storeOutcome(utils::time_point now);
    void armStore(utils::time_point now);
    void retryLater(utils::time_point now);
    void armFollow(utils::time_point now);
    void pollLater(utils::time_point now);
    void answerCaller(utils::time_point now);
    void answerStored(utils::time_point now);
    void refuseNotRun(utils::time_point now);
    void refuseMayHaveRun(utils::time_point now);
    void refuseCut(utils::time_point now);
    void refusePlatformDown(utils::time_point now);
    void refuseUnknown(utils::time_point now);
    void refuseInProgress(utils::time_point now);
    void refuseKeyReused(utils::time_point now);

    std::string_view eventOf(const keyvalue::kv_reply& reply);
    std::string_view eventOfEntry(const keyvalue::kv_entry& entry);
    std::string_view eventOfOwn(record_state state) const;
    void putRecord(pending what, const operation_record& record, bool canWait);
    operation_record makeRecord(record_state state) const;
    void refuse(utils::failure failure);
    void setLimit(utils::time_point limit, utils::time_point now);

    operation_settings m_settings;
    operation_request m_request;
    std::string m_key;
    std::uint64_t m_lastTicket = 0;
    pending m_pending = pending::Nothing;
    std::int64_t m_seenRevision = 0; ///< of the record's last known write; 0: no record
    std::optional<operation_record> m_found; ///< record of another sending
    std::optional<stored_answer> m_answer;
    utils::failure m_refusal;
    utils::time_point m_limit; ///< when the wait of the current state ends
    utils::duration m_retryDelay;
    utils::duration m_followDelay {};
};

} // namespace operations
