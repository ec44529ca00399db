#include "modelplacer.h"

namespace operations {

model_placer::model_placer(
    const utils::state_chart& chart, const placer_settings& settings, placer_identity identity)
    : chart_machine(chart)
    , m_settings(settings)
    , m_identity(std::move(identity))
{
}

const model_placer::action_table& model_placer::table()
{
    static const action_table actions {
        { "writeClaim", &model_placer::writeClaim },
        { "waitOut", &model_placer::waitOut },
        { "readEngines", &model_placer::readEngines },
        { "askPermit", &model_placer::askPermit },
        { "writePermit", &model_placer::writePermit },
        { "sendOrder", &model_placer::sendOrder },
        { "releaseClaim", &model_placer::releaseClaim },
        { "armRetry", &model_placer::armRetry },
        { "armCheck", &model_placer::armCheck },
    };
    return actions;
}

placer_actions model_placer::stepAndTakeActions(std::string_view event, utils::time_point now)
{
    step(event, now);
    return takeActions();
}

placer_actions model_placer::start(std::int64_t lease, utils::time_point leaseEnd, utils::time_point now)
{
    leaseGranted(lease, leaseEnd);
    return stepAndTakeActions("start", now);
}

void model_placer::leaseGranted(std::int64_t lease, utils::time_point leaseEnd)
{
    m_lease = lease;
    m_leaseEnd = leaseEnd;
}

placer_actions model_placer::leaseLost(utils::time_point now)
{
    m_leaseEnd = now;
    return stepAndTakeActions("lease_lost", now);
}

placer_actions model_placer::wantedChanged(
    engine_setups wanted, utils::config_revision revision, utils::time_point now)
{
    if (revision < m_revision)
        return {};
    m_revision = revision;
    m_wanted = std::move(wanted);
    return stepAndTakeActions("wanted_changed", now);
}

placer_actions model_placer::onKvReply(
    std::uint64_t ticket, const keyvalue::kv_reply& reply, utils::time_point now)
{
    if (ticket != m_lastTicket || m_pending == pending::Nothing)
        return {};
    return stepAndTakeActions(eventOf(reply), now);
}

placer_actions model_placer::onTimer(utils::time_point now)
{
    if (now < m_timerDue)
        return {};
    return stepAndTakeActions("timer", now);
}

placer_actions model_placer::enginesRead(engine_setups running, utils::time_point now)
{
    m_running = std::move(running);
    const std::vector<utils::server_id> servers = enginesToOrder(m_wanted, m_running);
    if (servers.empty())
        return stepAndTakeActions("engines_match", now);
    m_target = servers.front();
    const bool isFetch = needsWeights(m_running.at(m_target), m_wanted.at(m_target));
    return stepAndTakeActions(isFetch ? "weights_needed" : "engines_differ", now);
}

placer_actions model_placer::permitLease(std::int64_t lease, utils::time_point now)
{
    m_permitLease = lease;
    return stepAndTakeActions(lease == 0 ? "permit_taken" : "permit_lease", now);
}

placer_actions model_placer::orderDone(utils::time_point now)
{
    return stepAndTakeActions("order_done", now);
}

placer_actions model_placer::orderRefused(utils::time_point now)
{
    return stepAndTakeActions("order_refused", now);
}

placer_actions model_placer::orderFailed(utils::time_point now)
{
    return stepAndTakeActions("order_failed", now);
}

bool model_placer::maySend(utils::time_point now) const
{
    return state() == "ordering" && now + m_settings.stopMargin < m_leaseEnd;
}

placer_actions model_placer::leave(utils::time_point now)
{
    return stepAndTakeActions("leave", now);
}

std::string_view model_placer::eventOf(const keyvalue::kv_reply& reply)
{
    const pending what = std::exchange(m_pending, pending::Nothing);
    if (reply.status != keyvalue::kv_status::Done)
        return "kv_failed";
    if (what == pending::Release)
        return "released";
    if (what == pending::Permit)
        return reply.succeeded ? "permit_granted" : "permit_taken";
    const bool isOwn = !reply.entries.empty() && reply.entries.front().value == m_identity.nonce
        && reply.entries.front().lease == m_lease;
    if (!reply.succeeded && !isOwn)
        return "found_other";
    m_fencingNumber = reply.succeeded ? reply.revision : reply.entries.front().modRevision;
    return m_identity.honoursFencing ? "claimed_fenced" : "claimed";
}

std::string model_placer::claimKey() const
{
    return "placers/" + m_identity.scope;
}

void model_placer::transact(pending what, keyvalue::kv_transaction transaction)
{
    m_pending = what;
    emit(kv_transact { ++m_lastTicket, std::move(transaction), false });
}

void model_placer::setTimer(utils::time_point at)
{
    m_timerDue = at;
    emit(set_timer { at });
}

void model_placer::writeClaim(utils::time_point /*now*/)
{
    keyvalue::kv_transaction transaction;
    transaction.compares.push_back({ claimKey(), 0 });
    transaction.onSuccess.emplace_back(keyvalue::kv_put { claimKey(), m_identity.nonce, m_lease });
    transaction.onFailure.emplace_back(keyvalue::kv_get { claimKey(), {}, 0 });
    transact(pending::Claim, std::move(transaction));
}

void model_placer::waitOut(utils::time_point now)
{
    setTimer(now + m_settings.newHolderDelay);
}

void model_placer::readEngines(utils::time_point /*now*/)
{
    read_engines action;
    for (const auto& [server, setup] : m_wanted)
        action.servers.push_back(server);
    emit(std::move(action));
}

void model_placer::askPermit(utils::time_point /*now*/)
{
    emit(grant_lease { m_settings.weightSlotLeaseSeconds });
}

void model_placer::writePermit(utils::time_point /*now*/)
{
    // Only the end of the lease frees the slot, so the platform's clock enforces the rate even if nodes
    // crash.
    const unsigned slot = (m_identity.seed + m_permitAttempts++) % m_settings.weightSlots;
    const std::string key = "weightslots/" + std::to_string(slot);
    keyvalue::kv_transaction transaction;
    transaction.compares.push_back({ key, 0 });
    transaction.onSuccess.emplace_back(keyvalue::kv_put { key, m_identity.nonce, m_permitLease });
    transact(pending::Permit, std::move(transaction));
}

void model_placer::sendOrder(utils::time_point /*now*/)
{
    emit(send_order { { m_target, m_fencingNumber, m_wanted.at(m_target) } });
}

void model_placer::releaseClaim(utils::time_point /*now*/)
{
    keyvalue::kv_transaction transaction;
    transaction.compares.push_back({ claimKey(), m_fencingNumber });
    transaction.onSuccess.emplace_back(keyvalue::kv_delete { claimKey() });
    transact(pending::Release, std::move(transaction));
}

void model_placer::armRetry(utils::time_point now)
{
    setTimer(now + m_settings.retryInterval);
}

void model_placer::armCheck(utils::time_point now)
{
    setTimer(now + m_settings.checkInterval);
}

} // namespace operations
