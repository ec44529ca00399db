#pragma once

#include "actions.h"
#include "chartmachine.h"
#include "engineorder.h"

#include "utils/statechart.h"
#include "utils/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace operations {

/// Times and limits of the placers; docs/design/orders.md explains the values.
struct placer_settings {
    /// The holder sends no orders in this last part of its lease. Longer than orderTimeout, so that its last
    /// order has arrived or failed when its lease ends.
    utils::duration stopMargin = std::chrono::seconds(5);
    utils::duration orderTimeout = std::chrono::seconds(3); ///< then the daemon closes the order's connection
    /// How long a new holder waits before its first order if the engines ignore the fencing number.
    utils::duration newHolderDelay = std::chrono::seconds(5);
    utils::duration checkInterval = std::chrono::seconds(10); ///< between reads of what the engines run
    utils::duration retryInterval = std::chrono::seconds(3); ///< for claims, failed orders and permits
    unsigned weightSlots = 2; ///< concurrent weight fetches in the whole fleet
    std::int64_t weightSlotLeaseSeconds = 30; ///< lease of a slot; limits fetches to slots / lease
};

/// Identifies a placer and its engines.
struct placer_identity {
    /// The pool, or the model whose engines no other placer orders. Two placers of one engine would
    /// invalidate each other's fencing numbers.
    std::string scope;
    std::string nonce; ///< random and unique to this state machine
    bool honoursFencing = true; ///< config::server_pool::honoursFencing
    unsigned seed = 0; ///< spreads the choice of weight slots
};

/// Read what each of these engines runs; then call enginesRead.
struct read_engines {
    std::vector<utils::server_id> servers;
};

/// Connect, check maySend right before the first byte, send; then call orderDone, orderRefused or
/// orderFailed.
struct send_order {
    engine_order order;
};

/// Grant a lease of `seconds`; then call permitLease.
struct grant_lease {
    std::int64_t seconds = 0;
};

using placer_action = std::variant<kv_transact, read_engines, send_order, grant_lease, set_timer>;
using placer_actions = std::vector<placer_action>;

/// Orders the engines of one pool to run the models, versions, adapters and roles of the document. A claim in
/// the platform makes it the only placer of the pool. Steps: share/lycheefront/charts/order.yaml.
///
/// The claim is attached to the node's lease; its revision is the fencing number. Engines that honour the
/// number refuse a former holder. For engines that ignore it, the holder stops sending a margin before its
/// lease ends by its own clock, and checks the clock again right before each send; the next holder waits,
/// then reads what the engines run before it sends orders. If a process is paused between the clock check
/// and the send, its late order is not prevented: the next read of the engines detects and corrects it.
///
/// Load: restarts and pauses of nodes while models are rolled out. Without the claim, two nodes with
/// different revisions of the document switch engines back and forth. Not thread safe.
class model_placer : public chart_machine<model_placer, placer_action> {
public:
    /// Preconditions: `chart` is order.yaml, passed checkChart and outlives this object.
    model_placer(const utils::state_chart& chart, const placer_settings& settings, placer_identity identity);

    /// Starts with the node's lease. `leaseEnd` is by this node's clock, counted from sending the lease
    /// grant.
    placer_actions start(std::int64_t lease, utils::time_point leaseEnd, utils::time_point now);
    /// The lease was kept alive; `leaseEnd` is counted from sending the keep-alive call.
    void leaseKept(utils::time_point leaseEnd) { m_leaseEnd = leaseEnd; }
    /// The lease has ended or may have ended.
    placer_actions leaseLost(utils::time_point now);
    /// A new lease after leaseLost; the next claim attempt uses it.
    void leaseGranted(std::int64_t lease, utils::time_point leaseEnd);
    /// The setups that the document of `revision` wants. A revision lower than the last one seen is ignored:
    /// after a pause revisions may arrive in any order.
    placer_actions wantedChanged(
        engine_setups wanted, utils::config_revision revision, utils::time_point now);
    placer_actions onKvReply(std::uint64_t ticket, const keyvalue::kv_reply& reply, utils::time_point now);
    placer_actions onTimer(utils::time_point now);
    /// What the engines run, without the engines that did not answer.
    placer_actions enginesRead(engine_setups running, utils::time_point now);
    /// The lease requested by grant_lease; 0 if it was not granted.
    placer_actions permitLease(std::int64_t lease, utils::time_point now);
    placer_actions orderDone(utils::time_point now);
    /// The engine has seen a higher fencing number.
    placer_actions orderRefused(utils::time_point now);
    /// The connection broke, the order timed out, or it was not sent.
    placer_actions orderFailed(utils::time_point now);
    /// Whether an order may be sent now. Call with the connection open.
    bool maySend(utils::time_point now) const;
    /// The node is leaving: releases the claim.
    placer_actions leave(utils::time_point now);

    static const action_table& table();

private:
    enum class pending {
        Nothing,
        Claim,
        Permit,
        Release
    };

    // Actions of the state chart.
    void writeClaim(utils::time_point now);
    void waitOut(utils::time_point now);
    void readEngines(utils::time_point now);
    void askPermit(utils::time_point now);
    void writePermit(utils::time_point now);
    void sendOrder(utils::time_point now);
    void releaseClaim(utils::time_point now);
    void armRetry(utils::time_point now);
    void armCheck(utils::time_point now);

    std::string_view eventOf(const keyvalue::kv_reply& reply);
    std::string claimKey() const;
    void transact(pending what, keyvalue::kv_transaction transaction);
    void setTimer(utils::time_point at);
    placer_actions stepAndTakeActions(std::string_view event, utils::time_point now);

    placer_settings m_settings;
    placer_identity m_identity;
    std::int64_t m_lease = 0;
    utils::time_point m_leaseEnd;
    std::int64_t m_fencingNumber = 0;
    engine_setups m_wanted;
    utils::config_revision m_revision = 0;
    engine_setups m_running;
    utils::server_id m_target;
    std::int64_t m_permitLease = 0;
    unsigned m_permitAttempts = 0; ///< selects the next weight slot
    std::uint64_t m_lastTicket = 0;
    pending m_pending = pending::Nothing;
    utils::time_point m_timerDue;
};

} // namespace operations
