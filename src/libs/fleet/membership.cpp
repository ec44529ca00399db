#include "membership.h"

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

constexpr std::size_t updateBytes = 240; // fits six joins or a dozen other changes
constexpr std::size_t briefsInAnswer = 50; // 450 bytes, in addition to the other lists
constexpr unsigned maxSyncRounds = 12; // in a fleet that starts at once, known members double each round

/// Returns whether a running node must refute this state.
bool needsRefutation(member_state believed)
{
    return believed == member_state::Suspect || believed == member_state::Dead
        || believed == member_state::Left;
}

} // namespace

membership::membership(self_info self, membership_options options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{
    m_updates.add(selfUpdate());
}

void membership::setListed(const std::vector<listed_vm>& list, utils::time_point now)
{
    std::vector<listed_vm> others;
    std::ranges::copy_if(
        list, std::back_inserter(others), [&](const listed_vm& vm) { return vm.id != m_self.id; });
    if (m_members.all().empty() && !others.empty())
        m_syncRounds = maxSyncRounds;
    m_members.setListed(others, now);
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_lastTick = now;
        // A random delay of up to one period prevents nodes that start together from probing in step.
        m_nextRound
            = now + utils::duration(m_random() % static_cast<std::uint64_t>(m_options.period.count()));
    }
}

std::optional<probe_answer> membership::onMessage(
    const wire::datagram& message, const std::string& from, utils::time_point now)
{
    applyPiggyback(message, from, now);
    switch (message.kind) {
    case wire::datagram_kind::Ping:
        onPing(message, from);
        return {};
    case wire::datagram_kind::ProbeRequest:
        onProbeRequest(message, now);
        return {};
    case wire::datagram_kind::Ack:
        return onAnswer(message, message.sender, now);
    case wire::datagram_kind::RelayedAck:
        return onAnswer(message, message.subject, now);
    case wire::datagram_kind::Announce:
    case wire::datagram_kind::Count_:
        return {};
    }
    return {};
}

void membership::onTick(utils::time_point now)
{
    if (!m_hasStarted || m_selfState == member_state::Left)
        return;
    if (wasPaused(now) && m_options.forgivesPause)
        resetAfterPause(now);
    m_lastTick = now;
    expireProbes(now);
    expireSuspicions(now);
    if (now < m_nextRound)
        return;
    startRound(now);
    m_nextRound = std::max(m_nextRound + m_options.period, now + m_options.period / 2);
}

utils::time_point membership::nextTick() const
{
    if (!m_hasStarted)
        return utils::time_point::max();
    utils::time_point next = m_nextRound;
    for (const pending_probe& probe : m_probes) {
        if (!probe.wasRepeated && probe.detects)
            next = std::min(next, probe.askedAt + m_options.answerTime);
    }
    return next;
}

void membership::probe(const utils::node_id& node, utils::time_point now)
{
    startProbe(pending_probe(node), false, 0, now);
}

void membership::send(const utils::node_id& to, wire::datagram message)
{
    const member* known = m_members.find(to);
    if (known != nullptr)
        sendTo(to, known->address, std::move(message));
}

void membership::announce(member_state state)
{
    m_selfState = state;
    ++m_self.incarnation;
    m_updates.add(selfUpdate());
    // Sent to a few nodes immediately, since this node may stop before its next probes.
    constexpr std::size_t announceFanout = 6;
    for (const utils::node_id& node : randomMembers(announceFanout)) {
        wire::datagram message;
        message.kind = wire::datagram_kind::Announce;
        send(node, std::move(message));
    }
}

std::vector<outgoing_message> membership::takeMessages()
{
    return std::exchange(m_outgoing, {});
}

void membership::noteRevision(const utils::node_id& node, utils::config_revision revision)
{
    if (member* known = m_members.find(node))
        known->revisionInForce = revision;
}

void membership::noteHeard(const utils::node_id& node, utils::time_point at)
{
    m_members.noteHeard(node, at);
}

std::vector<utils::node_id> membership::randomMembers(std::size_t count)
{
    std::vector<utils::node_id> live;
    for (const auto& [id, m] : m_members.all()) {
        if (m.isLive())
            live.push_back(id);
    }
    std::vector<utils::node_id> chosen;
    std::ranges::sample(live, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), m_random);
    return chosen;
}

bool membership::wasPaused(utils::time_point now) const
{
    return now - m_lastTick > 2 * m_options.period;
}

/// Restarts probes and suspicion timeouts after a pause. Otherwise a node that was stopped for seconds would
/// find its probes unanswered and its suspicions expired, and declare healthy nodes dead without giving them
/// time to answer.
void membership::resetAfterPause(utils::time_point now)
{
    m_probes.clear();
    std::vector<utils::node_id> suspects;
    for (const auto& [id, m] : m_members.all()) {
        if (m.state == member_state::Suspect)
            suspects.push_back(id);
    }
    for (const utils::node_id& id : suspects)
        m_members.find(id)->stateSince = now;
    m_nextRound = now;
}

void membership::applyPiggyback(const wire::datagram& message, const std::string& from, utils::time_point now)
{
    for (const wire::member_update& update : message.updates)
        applyUpdate(update, now);
    for (const wire::member_brief& brief : message.briefs) {
        if (brief.node != wire::tagOf(m_self.id))
            m_members.apply(brief, now);
    }
    const member* sender = m_members.find(message.sender);
    if (sender != nullptr) {
        applyUpdate({ message.sender, message.senderState, message.incarnation, from, {} }, now);
        m_members.find(message.sender)->wasHeard = true;
    }
    refute(message.believedState, static_cast<std::uint32_t>(message.believedIncarnation.value));
}

void membership::applyUpdate(const wire::member_update& update, utils::time_point now)
{
    if (update.id == m_self.id) {
        refute(update.state, update.incarnation);
        return;
    }
    const member* before = m_members.find(update.id);
    const bool isFirstUpdate = before == nullptr || before->state == member_state::Listed;
    const bool isListed = before != nullptr && before->isListed;
    if (!m_members.apply(update, now))
        return;
    wire::member_update forwarded = update;
    const member* m = m_members.find(update.id);
    // Nodes that have the VM list know the address and detect the new node with their own probes. When a
    // whole fleet starts at once, hundreds of such updates would displace all others for minutes.
    const bool needsAddress = isFirstUpdate && !isListed;
    forwarded.address = needsAddress ? m->address : std::string();
    forwarded.dataCentre = needsAddress ? m->dataCentre.str() : std::string();
    m_updates.add(std::move(forwarded), isFirstUpdate && isListed);
}

void membership::refute(member_state believed, std::uint32_t incarnation)
{
    if (!needsRefutation(believed) || incarnation < m_self.incarnation || m_selfState == member_state::Left)
        return;
    m_self.incarnation = incarnation + 1;
    ++m_refutations;
    m_updates.add(selfUpdate());
}

void membership::onPing(const wire::datagram& message, const std::string& from)
{
    wire::datagram answer;
    answer.kind = wire::datagram_kind::Ack;
    answer.nonce = message.nonce;
    if (message.wantsMembers)
        fillBriefs(answer, static_cast<wire::node_tag>(message.memberCursor.value));
    sendTo(message.sender, from, std::move(answer));
}

void membership::onProbeRequest(const wire::datagram& message, utils::time_point now)
{
    if (m_members.find(message.subject) == nullptr)
        return;
    pending_probe probe(message.subject);
    probe.requester = message.sender;
    probe.requesterNonce = message.nonce;
    startProbe(std::move(probe), false, 0, now);
}

std::optional<probe_answer> membership::onAnswer(
    const wire::datagram& message, const utils::node_id& answerer, utils::time_point now)
{
    const auto found = std::ranges::find_if(m_probes,
        [&](const pending_probe& probe) { return probe.nonce == message.nonce && probe.target == answerer; });
    if (found == m_probes.end())
        return {};
    const pending_probe probe = *found;
    m_probes.erase(found);
    if (!probe.requester.isEmpty()) {
        wire::datagram relayed;
        relayed.kind = wire::datagram_kind::RelayedAck;
        relayed.nonce = probe.requesterNonce;
        relayed.subject = answerer;
        send(probe.requester, std::move(relayed));
    }
    if (message.briefs.size() == briefsInAnswer)
        startProbe(pending_probe(answerer), true, message.briefs.back().node, now);
    return probe_answer { answerer, probe.askedAt };
}

void membership::fillBriefs(wire::datagram& answer, wire::node_tag cursor) const
{
    std::vector<wire::member_brief> briefs;
    for (const auto& [id, m] : m_members.all()) {
        if (m.tag > cursor && m.state != member_state::Listed)
            briefs.push_back({ m.tag, m.state, m.incarnation });
    }
    std::ranges::sort(briefs, {}, &wire::member_brief::node);
    briefs.resize(std::min(briefs.size(), briefsInAnswer));
    answer.briefs = std::move(briefs);
}

void membership::sendTo(const utils::node_id& to, const std::string& address, wire::datagram message)
{
    message.incarnation = m_self.incarnation;
    message.senderState = m_selfState;
    message.updates = m_updates.take(updateBytes, m_members.all().size() + 1);
    const member* receiver = m_members.find(to);
    if (receiver != nullptr) {
        message.believedState = receiver->state;
        if (needsRefutation(receiver->state))
            message.believedIncarnation.value = receiver->incarnation;
    }
    const bool isKnownThere = receiver != nullptr && receiver->wasHeard;
    if (!isKnownThere)
        message.updates.push_back(selfUpdate());
    m_outgoing.push_back({ to, address, std::move(message) });
}

wire::member_update membership::selfUpdate() const
{
    return { m_self.id, m_selfState, m_self.incarnation, m_self.address, m_self.dataCentre.str() };
}

} // namespace fleet
