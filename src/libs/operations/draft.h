#pragma once

#include "actions.h"
#include "chartmachine.h"
#include "draftrecord.h"

#include "utils/statechart.h"
#include "utils/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace operations {

/// Limits, timeouts and backoff of drafts; docs/design/drafts.md gives the reasons.
struct draft_settings {
    unsigned totalSlots = 4096; ///< drafts stored in the platform for all calling teams together
    unsigned maxProbes = 6; ///< slots probed before all slots count as taken
    std::size_t maxBody = 64UL * 1024; ///< bytes
    std::size_t maxAnswer = 256UL * 1024; ///< bytes
    utils::duration acceptWindow
        = std::chrono::seconds(2); ///< timeout of the caller's wait for a durable write
    unsigned maxCrashes = 3; ///< failed runs after which the draft ends as failed
    unsigned maxClaims
        = 20; ///< ends a draft whose workers all die; higher, as nodes also restart for other reasons
    utils::duration restFirst = std::chrono::seconds(1); ///< first delay between runs; doubles
    utils::duration restMost = std::chrono::seconds(60); ///< upper bound of that delay
    utils::duration retryFirst
        = std::chrono::milliseconds(200); ///< first backoff of a platform call; doubles
    utils::duration retryMost = std::chrono::seconds(10); ///< upper bound of that backoff
};

/// Identifies a worker and the platform leases that its node holds.
struct draft_worker_identity {
    std::string nonce; ///< random, unique to one `draft` object
    std::int64_t sessionLease = 0; ///< kept alive by the node; the claims expire with it
    std::int64_t answerLease = 0; ///< its time to live is the retention of an answer
};

/// A draft that a caller submits.
struct draft_request {
    utils::team_id team;
    unsigned teamLimit = 100; ///< config::team_limits::drafts
    std::string model;
    std::string body;
    /// draftName of team and Idempotency-Key, so that a repeated request finds its draft; random without a
    /// key.
    std::string name;
};

/// The draft is durable; the caller gets status 202 with this id.
struct accept_draft {
    std::string id;
};

/// Run this request for its calling team with draft priority, then call answered, crashed, notRun or
/// rejected.
struct run_draft {
    draft_record record;
};

/// Stop the run that run_draft started; its outcome is ignored.
struct stop_draft { };

using draft_action = std::variant<kv_transact, accept_draft, refuse_caller, run_draft, stop_draft, set_timer>;
using draft_actions = std::vector<draft_action>;

/// The part of a draft's id that is a hash of calling team and idempotency key. Thread safe.
std::string draftName(const utils::team_id& team, std::string_view idempotencyKey);

/// State machine of one draft: accepts it, or adopts one whose worker is gone, and runs it to its final
/// answer. The states and transitions are in share/lycheefront/charts/draft.yaml.
///
/// A draft is accepted once one transaction has written its record and the marker of unfinished work to the
/// platform. The claim expires with its node's lease, so that another node adopts the draft. The record's
/// revision is the fencing token: each claim rewrites the record, so the compare of a worker that was paused
/// past its lease fails and its answer is dropped. Two workers may run a draft at the same time; drafts are
/// idempotent.
///
/// Load: long drafting requests that can wait but must not be lost. Costs two platform writes for each draft.
/// Without it the crash of a node loses every draft that it runs. Not thread safe.
class draft : public chart_machine<draft, draft_action> {
public:
    /// Preconditions: `chart` is draft.yaml, has passed checkChart and outlives this object.
    draft(const utils::state_chart& chart, const draft_settings& settings, draft_worker_identity identity);

    /// Accepts a new draft and runs it here if `claimNow`; otherwise a node's scan finds and adopts it.
    draft_actions submit(draft_request request, bool claimNow, utils::time_point now);
    /// Claims and runs the draft in `slot`, if it is still waiting and unclaimed.
    draft_actions adopt(unsigned slot, utils::time_point now);

    draft_actions onKvReply(std::uint64_t ticket, const keyvalue::kv_reply& reply, utils::time_point now);
    draft_actions onTimer(utils::time_point now);
    /// The run's answer has arrived completely.
    draft_actions answered(stored_answer answer, utils::time_point now);
    /// The connection to the backend server broke during the run. Counted, to stop a draft that crashes
    /// servers.
    draft_actions crashed(const utils::failure& why, utils::time_point now);
    /// Refused without running (load, no server); retried later and not counted as a crash.
    draft_actions notRun(utils::time_point now);
    /// A permanent error (bad request, approval revoked) becomes the final answer.
    draft_actions rejected(const utils::failure& why, utils::time_point now);
    /// The node's session lease has expired, or may have.
    draft_actions claimLost(utils::time_point now);
    /// The node is leaving: releases the claim so that another node adopts the draft at once.
    draft_actions leave(utils::time_point now);

    /// The draft's slot; keeps a scan from adopting a draft that runs here.
    unsigned slot() const { return m_slot; }

    static const action_table& table();

private:
    enum class pending {
        Nothing,
        Accept,
        Read,
        List,
        Claim,
        Progress,
        Finish,
        Seal,
        Release
    };

    // Actions named in the chart.
    void armAccept(utils::time_point now);
    void pickSlot(utils::time_point now);
    void writeDraft(utils::time_point now);
    void readDraft(utils::time_point now);
    void listTeam(utils::time_point now);
    void acceptDraft(utils::time_point now);
    void refuseQuota(utils::time_point now);
    void refuseTooLarge(utils::time_point now);
    void refusePlatformDown(utils::time_point now);
    void refuseUnclear(utils::time_point now);
    void writeClaim(utils::time_point now);
    void runDraft(utils::time_point now);
    void stopDraft(utils::time_point now);
    void writeProgress(utils::time_point now);
    void writeOutcome(utils::time_point now);
    void keepExhausted(utils::time_point now);
    void dropClaim(utils::time_point now);
    void sealSlot(utils::time_point now);
    void releaseClaim(utils::time_point now);
    void retryLater(utils::time_point now);
    void restLater(utils::time_point now);

    std::string_view eventOf(const keyvalue::kv_reply& reply);
    std::string_view eventOfWrite(pending what, const keyvalue::kv_reply& reply);
    bool isOwnWrite(pending what, const keyvalue::kv_reply& reply);
    std::string_view eventOfAccept(const keyvalue::kv_reply& reply);
    std::string_view eventOfDraft(const keyvalue::kv_reply& reply);
    std::string_view eventOfTeam(const keyvalue::kv_reply& reply);
    void transact(pending what, keyvalue::kv_transaction transaction);
    void refuse(utils::failure failure);
    void setTimer(utils::time_point at);
    void setFailure(const utils::failure& why);
    draft_actions handleEvent(std::string_view event, utils::time_point now);

    draft_settings m_settings;
    draft_worker_identity m_identity;
    draft_request m_request;
    draft_record m_record; ///< as last written or read
    unsigned m_slot = 0;
    unsigned m_probes = 0;
    bool m_claimNow = false;
    bool m_isWriteAmbiguous = false; ///< a write with unknown outcome may still take effect
    std::uint64_t m_lastTicket = 0;
    pending m_pending = pending::Nothing;
    std::int64_t m_revision = 0; ///< the record's last known revision
    utils::time_point m_acceptDeadline; ///< when the caller's wait for acceptance times out
    utils::time_point m_timerDue; ///< expiry of the timer set last
    utils::duration m_retryDelay;
    utils::duration m_restDelay;
};

} // namespace operations
