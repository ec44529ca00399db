#include "draft.h"

#include "utils/crypto.h"
#include "utils/hashing.h"

#include <algorithm>
#include <set>

namespace operations {

namespace {

const keyvalue::kv_entry* findEntry(const keyvalue::kv_reply& reply, const std::string& key)
{
    const auto found = std::ranges::find(reply.entries, key, &keyvalue::kv_entry::key);
    return found == reply.entries.end() ? nullptr : &*found;
}

} // namespace

std::string draftName(const utils::team_id& team, std::string_view idempotencyKey)
{
    constexpr std::size_t nameLength = 32;
    const std::string teamPart = utils::sha256Hex(team.str());
    return utils::sha256Hex(teamPart + std::string(idempotencyKey)).substr(0, nameLength);
}

draft::draft(const utils::state_chart& chart, const draft_settings& settings, draft_worker_identity identity)
    : chart_machine(chart)
    , m_settings(settings)
    , m_identity(std::move(identity))
    , m_acceptDeadline(utils::time_point::max())
    , m_retryDelay(settings.retryFirst)
    , m_restDelay(settings.restFirst)
{
}

const draft::action_table& draft::table()
{
    static const action_table actions {
        { "armAccept", &draft::armAccept },
        { "pickSlot", &draft::pickSlot },
        { "writeDraft", &draft::writeDraft },
        { "readDraft", &draft::readDraft },
        { "listTeam", &draft::listTeam },
        { "acceptDraft", &draft::acceptDraft },
        { "refuseQuota", &draft::refuseQuota },
        { "refuseTooLarge", &draft::refuseTooLarge },
        { "refusePlatformDown", &draft::refusePlatformDown },
        { "refuseUnclear", &draft::refuseUnclear },
        { "writeClaim", &draft::writeClaim },
        { "runDraft", &draft::runDraft },
        { "stopDraft", &draft::stopDraft },
        { "writeProgress", &draft::writeProgress },
        { "writeOutcome", &draft::writeOutcome },
        { "keepExhausted", &draft::keepExhausted },
        { "dropClaim", &draft::dropClaim },
        { "sealSlot", &draft::sealSlot },
        { "releaseClaim", &draft::releaseClaim },
        { "retryLater", &draft::retryLater },
        { "restLater", &draft::restLater },
    };
    return actions;
}

draft_actions draft::handleEvent(std::string_view event, utils::time_point now)
{
    step(event, now);
    return takeActions();
}

draft_actions draft::submit(draft_request request, bool claimNow, utils::time_point now)
{
    m_request = std::move(request);
    m_claimNow = claimNow && m_identity.sessionLease != 0;
    if (m_request.teamLimit == 0)
        return handleEvent("over_quota", now);
    if (m_request.body.size() > m_settings.maxBody)
        return handleEvent("too_large", now);
    m_record.nonce = m_identity.nonce;
    m_record.team = m_request.team;
    m_record.teamSlot = static_cast<unsigned>(utils::hash64(m_request.name) % m_request.teamLimit);
    m_record.model = m_request.model;
    m_record.body = m_request.body;
    if (m_claimNow) {
        m_record.claims = 1;
        m_record.claimNonce = m_identity.nonce;
    }
    return handleEvent("submit", now);
}

draft_actions draft::adopt(unsigned slot, utils::time_point now)
{
    m_slot = slot;
    return handleEvent("adopt", now);
}

draft_actions draft::onKvReply(std::uint64_t ticket, const keyvalue::kv_reply& reply, utils::time_point now)
{
    if (ticket != m_lastTicket || m_pending == pending::Nothing)
        return {};
    return handleEvent(eventOf(reply), now);
}

draft_actions draft::onTimer(utils::time_point now)
{
    if (now < m_timerDue)
        return {};
    return handleEvent(now >= m_acceptDeadline ? "limit" : "retry", now);
}

draft_actions draft::answered(stored_answer answer, utils::time_point now)
{
    if (state() != "running")
        return {};
    if (answer.body.size() > m_settings.maxAnswer) {
        setFailure({ utils::error_kind::ServerFailed, "it ran; its answer was too large to keep",
            utils::run_state::Ran, {} });
        return handleEvent("rejected", now);
    }
    m_record.state = draft_state::Done;
    m_record.answer = std::move(answer);
    return handleEvent("answered", now);
}

draft_actions draft::crashed(const utils::failure& why, utils::time_point now)
{
    if (state() != "running")
        return {};
    ++m_record.crashes;
    if (m_record.crashes < m_settings.maxCrashes)
        return handleEvent("crashed", now);
    setFailure(why);
    return handleEvent("crashed_last", now);
}

draft_actions draft::notRun(utils::time_point now)
{
    return handleEvent("not_run", now);
}

draft_actions draft::rejected(const utils::failure& why, utils::time_point now)
{
    if (state() != "running")
        return {};
    setFailure(why);
    return handleEvent("rejected", now);
}

draft_actions draft::claimLost(utils::time_point now)
{
    return handleEvent("claim_lost", now);
}

draft_actions draft::leave(utils::time_point now)
{
    return handleEvent("leave", now);
}

std::string_view draft::eventOf(const keyvalue::kv_reply& reply)
{
    const pending what = std::exchange(m_pending, pending::Nothing);
    m_isWriteAmbiguous
        = m_isWriteAmbiguous || (what == pending::Accept && reply.status == keyvalue::kv_status::Unknown);
    if (reply.status != keyvalue::kv_status::Done) {
        // After an earlier write with unknown outcome, even NotSent does not prove that there is no draft.
        const bool isCertainlyNotSent = reply.status == keyvalue::kv_status::NotSent && !m_isWriteAmbiguous;
        return isCertainlyNotSent ? "kv_not_sent" : "kv_unknown";
    }
    m_retryDelay = m_settings.retryFirst;
    if (what == pending::List)
        return eventOfTeam(reply);
    const bool isSealed = what == pending::Seal && reply.succeeded;
    if (what == pending::Accept || state() == "reading_back" || (what == pending::Seal && !isSealed))
        return eventOfAccept(reply);
    if (what == pending::Read)
        return eventOfDraft(reply);
    return eventOfWrite(what, reply);
}

std::string_view draft::eventOfAccept(const keyvalue::kv_reply& reply)
{
    const std::string_view accepted = m_claimNow ? "accepted_claimed" : "accepted";
    const keyvalue::kv_entry* entry = findEntry(reply, draftKey(m_slot));
    if (reply.succeeded && state() == "accepting") {
        m_revision = reply.revision;
        return accepted;
    }
    if (entry == nullptr)
        return findEntry(reply, draftTeamKey(m_request.team, m_record.teamSlot)) == nullptr ? "found_absent"
                                                                                            : "team_taken";
    const std::optional<draft_record> found = decodeDraftRecord(entry->value);
    const bool isOwnNonce = found && found->nonce == m_identity.nonce;
    const bool isSealed = found && found->state == draft_state::Sealed;
    if (isSealed && isOwnNonce && state() == "sealing")
        return "written";
    if (!found || found->id != m_record.id || isSealed)
        return m_probes >= m_settings.maxProbes ? "slots_full" : "slot_taken";
    if (!isOwnNonce)
        return "found_earlier";
    if (found->state != draft_state::Waiting)
        return "accepted";
    m_revision = entry->modRevision;
    // Another node may have adopted the draft in the meantime.
    return found->claimNonce == m_record.claimNonce ? accepted : "accepted";
}

std::string_view draft::eventOfTeam(const keyvalue::kv_reply& reply)
{
    std::set<std::string> taken;
    for (const keyvalue::kv_entry& entry : reply.entries)
        taken.insert(entry.key);
    for (unsigned i = 1; i <= m_request.teamLimit; ++i) {
        const unsigned candidate = (m_record.teamSlot + i) % m_request.teamLimit;
        if (taken.contains(draftTeamKey(m_request.team, candidate)))
            continue;
        m_record.teamSlot = candidate;
        return "team_listed";
    }
    return m_isWriteAmbiguous ? "limit" : "team_full";
}

std::string_view draft::eventOfDraft(const keyvalue::kv_reply& reply)
{
    const keyvalue::kv_entry* entry = findEntry(reply, draftKey(m_slot));
    if (entry == nullptr)
        return "found_absent";
    std::optional<draft_record> found = decodeDraftRecord(entry->value);
    if (!found || found->state != draft_state::Waiting)
        return "found_final";
    m_record = *std::move(found);
    m_revision = entry->modRevision;
    if (m_record.claimNonce == m_identity.nonce)
        return "found_mine";
    if (findEntry(reply, draftClaimKey(m_slot)) != nullptr)
        return "found_claimed";
    return m_record.claims >= m_settings.maxClaims ? "found_exhausted" : "found_waiting";
}

std::string_view draft::eventOfWrite(pending what, const keyvalue::kv_reply& reply)
{
    if (reply.succeeded) {
        m_revision = reply.revision;
        if (what == pending::Claim) {
            ++m_record.claims;
            m_record.claimNonce = m_identity.nonce;
        }
        return "written";
    }
    return isOwnWrite(what, reply) ? "written" : "compare_failed";
}

/// Whether the compare failed because an earlier attempt of the same write took effect.
bool draft::isOwnWrite(pending what, const keyvalue::kv_reply& reply)
{
    const keyvalue::kv_entry* entry = findEntry(reply, draftKey(m_slot));
    if (entry == nullptr || what != pending::Progress)
        return false;
    const std::optional<draft_record> found = decodeDraftRecord(entry->value);
    if (!found || found->state != draft_state::Waiting || found->claimNonce != m_identity.nonce)
        return false;
    m_revision = entry->modRevision;
    return found->crashes == m_record.crashes;
}

void draft::transact(pending what, keyvalue::kv_transaction transaction)
{
    transaction.onFailure.emplace_back(keyvalue::kv_get { draftKey(m_slot), {}, 0 });
    m_pending = what;
    emit(kv_transact { ++m_lastTicket, std::move(transaction), false });
    // The retry timer has replaced the accept timeout; set it again.
    if (m_acceptDeadline != utils::time_point::max())
        setTimer(m_acceptDeadline);
}

void draft::setTimer(utils::time_point at)
{
    m_timerDue = at;
    emit(set_timer { at });
}

void draft::armAccept(utils::time_point now)
{
    m_acceptDeadline = now + m_settings.acceptWindow;
    setTimer(m_acceptDeadline);
}

void draft::pickSlot(utils::time_point /*now*/)
{
    m_slot = static_cast<unsigned>(utils::hash64(m_request.name, ++m_probes) % m_settings.totalSlots);
    m_record.id = std::to_string(m_slot) + "-" + m_request.name;
}

void draft::writeDraft(utils::time_point /*now*/)
{
    const std::string teamKey = draftTeamKey(m_request.team, m_record.teamSlot);
    keyvalue::kv_transaction transaction;
    transaction.compares = { { draftKey(m_slot), 0 }, { teamKey, 0 } };
    transaction.onSuccess.emplace_back(keyvalue::kv_put { draftKey(m_slot), encode(m_record), 0 });
    transaction.onSuccess.emplace_back(keyvalue::kv_put { teamKey, m_record.id, 0 });
    transaction.onSuccess.emplace_back(keyvalue::kv_put { draftWorkKey(m_slot), m_record.id, 0 });
    if (m_claimNow)
        transaction.onSuccess.emplace_back(
            keyvalue::kv_put { draftClaimKey(m_slot), m_identity.nonce, m_identity.sessionLease });
    transaction.onFailure.emplace_back(keyvalue::kv_get { teamKey, {}, 0 });
    transact(pending::Accept, std::move(transaction));
}

void draft::readDraft(utils::time_point /*now*/)
{
    keyvalue::kv_transaction transaction;
    transaction.onSuccess.emplace_back(keyvalue::kv_get { draftKey(m_slot), {}, 0 });
    transaction.onSuccess.emplace_back(keyvalue::kv_get { draftClaimKey(m_slot), {}, 0 });
    transact(pending::Read, std::move(transaction));
}

void draft::listTeam(utils::time_point /*now*/)
{
    const std::string prefix = draftTeamPrefix(m_request.team);
    keyvalue::kv_transaction transaction;
    transaction.onSuccess.emplace_back(keyvalue::kv_get { prefix, endOfPrefix(prefix), 0 });
    transact(pending::List, std::move(transaction));
}

void draft::acceptDraft(utils::time_point /*now*/)
{
    m_acceptDeadline = utils::time_point::max();
    emit(accept_draft { m_record.id });
}

void draft::refuseQuota(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::DraftQuota, {}, {}, std::chrono::minutes(1) });
}

void draft::refuseTooLarge(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::BodyTooLarge,
        "a draft's body may have " + std::to_string(m_settings.maxBody) + " bytes", {}, {} });
}

void draft::refusePlatformDown(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::PlatformUnavailable, {}, {}, {} });
}

void draft::refuseUnclear(utils::time_point /*now*/)
{
    m_isWriteAmbiguous = true;
    refuse({ utils::error_kind::PlatformUnavailable, "the draft may have been accepted", {}, {} });
}

void draft::refuse(utils::failure failure)
{
    if (m_isWriteAmbiguous)
        failure.run = utils::run_state::MayHaveRun;
    emit(refuse_caller { std::move(failure) });
}

void draft::writeClaim(utils::time_point /*now*/)
{
    draft_record claimed = m_record;
    ++claimed.claims;
    claimed.claimNonce = m_identity.nonce;
    keyvalue::kv_transaction transaction;
    transaction.compares = { { draftKey(m_slot), m_revision }, { draftClaimKey(m_slot), 0 } };
    transaction.onSuccess.emplace_back(keyvalue::kv_put { draftKey(m_slot), encode(claimed), 0 });
    transaction.onSuccess.emplace_back(
        keyvalue::kv_put { draftClaimKey(m_slot), m_identity.nonce, m_identity.sessionLease });
    transact(pending::Claim, std::move(transaction));
}

void draft::runDraft(utils::time_point /*now*/)
{
    emit(run_draft { m_record });
}

void draft::stopDraft(utils::time_point /*now*/)
{
    emit(stop_draft {});
}

void draft::writeProgress(utils::time_point /*now*/)
{
    keyvalue::kv_transaction transaction;
    transaction.compares = { { draftKey(m_slot), m_revision } };
    transaction.onSuccess.emplace_back(keyvalue::kv_put { draftKey(m_slot), encode(m_record), 0 });
    transact(pending::Progress, std::move(transaction));
}

void draft::writeOutcome(utils::time_point /*now*/)
{
    transact(pending::Finish, draftFinish(m_record, m_revision, m_identity.answerLease));
}

void draft::keepExhausted(utils::time_point /*now*/)
{
    setFailure({ utils::error_kind::ServerFailed, "every node that ran it went away", {}, {} });
}

void draft::setFailure(const utils::failure& why)
{
    m_record.state = draft_state::Failed;
    m_record.failure = why;
}

void draft::dropClaim(utils::time_point /*now*/)
{
    m_claimNow = false;
    m_record.claims = 0;
    m_record.claimNonce.clear();
}

void draft::sealSlot(utils::time_point /*now*/)
{
    m_acceptDeadline = utils::time_point::max();
    draft_record sealed = m_record;
    sealed.state = draft_state::Sealed;
    sealed.body.clear();
    keyvalue::kv_transaction transaction;
    transaction.compares = { { draftKey(m_slot), 0 } };
    transaction.onSuccess.emplace_back(
        keyvalue::kv_put { draftKey(m_slot), encode(sealed), m_identity.answerLease });
    transact(pending::Seal, std::move(transaction));
}

void draft::releaseClaim(utils::time_point /*now*/)
{
    draft_record released = m_record;
    released.claimNonce.clear();
    keyvalue::kv_transaction transaction;
    transaction.compares = { { draftKey(m_slot), m_revision } };
    transaction.onSuccess.emplace_back(keyvalue::kv_put { draftKey(m_slot), encode(released), 0 });
    transaction.onSuccess.emplace_back(keyvalue::kv_delete { draftClaimKey(m_slot) });
    transact(pending::Release, std::move(transaction));
}

void draft::retryLater(utils::time_point now)
{
    setTimer(std::min(now + m_retryDelay, m_acceptDeadline));
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.retryMost);
}

void draft::restLater(utils::time_point now)
{
    setTimer(now + m_restDelay);
    m_restDelay = std::min(m_restDelay * 2, m_settings.restMost);
}

} // namespace operations
