// Probing part of membership: chooses targets and handles probe timeouts.

#include "membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace fleet {

namespace {

constexpr std::size_t syncDoneDivisor = 10; // ends when less than a tenth of the list is unheard
constexpr unsigned relayedProbePeriods = 2;

} // namespace

void membership::startRound(utils::time_point now)
{
    ++m_round;
    const utils::node_id target = nextTarget();
    if (!target.isEmpty())
        startProbe(pending_probe(target, true), false, 0, now);
    if (m_syncRounds > 0)
        syncMembers(now);
    if (m_round % m_options.deadProbeRounds == 0) {
        // Probing dead nodes is the only way to detect that a network partition has healed.
        std::vector<utils::node_id> dead;
        for (const auto& [id, m] : m_members.all()) {
            if (m.state == member_state::Dead && m.isListed)
                dead.push_back(id);
        }
        if (!dead.empty())
            probe(dead[m_random() % dead.size()], now);
        m_members.forgetOld(now, m_options.forgetAfter);
    }
}

void membership::startProbe(
    pending_probe probe, bool wantsMembers, wire::node_tag cursor, utils::time_point now)
{
    probe.nonce = m_random();
    probe.askedAt = now;
    wire::datagram ping;
    ping.kind = wire::datagram_kind::Ping;
    ping.nonce = probe.nonce;
    ping.wantsMembers = wantsMembers;
    ping.memberCursor.value = cursor;
    send(probe.target, std::move(ping));
    m_probes.push_back(std::move(probe));
}

void membership::repeatProbe(pending_probe& probe)
{
    probe.wasRepeated = true;
    wire::datagram ping;
    ping.kind = wire::datagram_kind::Ping;
    ping.nonce = probe.nonce;
    send(probe.target, std::move(ping));
    if (m_options.usesRelays)
        askRelays(probe);
}

void membership::askRelays(const pending_probe& probe)
{
    std::vector<utils::node_id> relays = randomMembers(m_options.relays + 1);
    std::erase(relays, probe.target);
    relays.resize(std::min<std::size_t>(relays.size(), m_options.relays));
    for (const utils::node_id& relay : relays) {
        wire::datagram request;
        request.kind = wire::datagram_kind::ProbeRequest;
        request.nonce = probe.nonce;
        request.subject = probe.target;
        send(relay, std::move(request));
    }
}

void membership::expireProbes(utils::time_point now)
{
    std::vector<pending_probe> kept;
    for (pending_probe& probe : std::exchange(m_probes, {})) {
        const utils::duration age = now - probe.askedAt;
        if (!probe.detects) {
            if (age < relayedProbePeriods * m_options.period)
                kept.push_back(std::move(probe));
            continue;
        }
        if (age >= m_options.period) {
            const member* m = m_members.find(probe.target);
            if (m != nullptr && m->isLive())
                applyUpdate({ probe.target, member_state::Suspect, m->incarnation, {}, {} }, now);
            continue;
        }
        if (age >= m_options.answerTime && !probe.wasRepeated)
            repeatProbe(probe);
        kept.push_back(std::move(probe));
    }
    m_probes = std::move(kept);
}

void membership::expireSuspicions(utils::time_point now)
{
    std::vector<wire::member_update> deaths;
    for (const auto& [id, m] : m_members.all()) {
        if (m.state == member_state::Suspect && now - m.stateSince >= suspicionTime())
            deaths.push_back({ id, member_state::Dead, m.incarnation, {}, {} });
    }
    for (const wire::member_update& death : deaths)
        applyUpdate(death, now);
}

void membership::syncMembers(utils::time_point now)
{
    std::vector<utils::node_id> reachable;
    std::size_t unheard = 0;
    for (const auto& [id, m] : m_members.all()) {
        if (m.isLive() || m.state == member_state::Listed)
            reachable.push_back(id);
        unheard += m.state == member_state::Listed ? 1 : 0;
    }
    --m_syncRounds;
    if (unheard * syncDoneDivisor < m_members.all().size())
        m_syncRounds = 0;
    if (m_syncRounds > 0 && !reachable.empty())
        startProbe(pending_probe(reachable[m_random() % reachable.size()]), true, 0, now);
}

/// Returns each node in turn, reshuffled for each pass; this bounds the time until a failed node is probed.
utils::node_id membership::nextTarget()
{
    const auto isTarget = [](const member& m) { return m.isLive() || m.state == member_state::Listed; };
    for (int pass = 0; pass < 2; ++pass) {
        while (!m_order.empty()) {
            utils::node_id id = m_order.back();
            m_order.pop_back();
            const member* m = m_members.find(id);
            if (m != nullptr && isTarget(*m))
                return id;
        }
        for (const auto& [id, m] : m_members.all()) {
            if (isTarget(m))
                m_order.push_back(id);
        }
        std::ranges::shuffle(m_order, m_random);
    }
    return {};
}

utils::duration membership::suspicionTime() const
{
    const auto rounds = m_options.suspicionRounds + std::bit_width(m_members.all().size() + 1);
    return rounds * m_options.period;
}

} // namespace fleet
