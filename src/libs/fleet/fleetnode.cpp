#include "fleetnode.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fleet {

namespace {

constexpr std::size_t maxNameLength = 64; // leaves room for the lists in a datagram
constexpr unsigned silenceMarginPeriods = 2; // T differs by up to one period between VM lists
constexpr utils::duration reviewInterval = std::chrono::milliseconds(200);
constexpr utils::duration confirmInterval = std::chrono::milliseconds(100);

void validateName(const std::string& name)
{
    if (name.empty() || name.size() > maxNameLength)
        throw std::invalid_argument("node name, address and data centre must each have 1 to 64 characters");
}

const fleet_settings& validated(const fleet_settings& settings)
{
    validateName(settings.id.str());
    validateName(settings.address);
    validateName(settings.dataCentre.str());
    return settings;
}

self_info selfOf(const fleet_settings& settings)
{
    // Seconds fit into 32 bits and increase with each start; each refutation adds one, which is much slower.
    constexpr std::uint64_t microsecondsPerSecond = 1'000'000;
    const auto incarnation = static_cast<std::uint32_t>(settings.bootId / microsecondsPerSecond);
    return { settings.id, settings.address, settings.dataCentre, std::max<std::uint32_t>(incarnation, 1) };
}

} // namespace

fleet_node::fleet_node(const fleet_settings& settings, const utils::state_chart& chart, std::uint64_t seed)
    : m_settings(validated(settings))
    , m_codec(wire::peer_keys(settings.currentKey, settings.previousKey), settings.id, settings.bootId)
    , m_membership(selfOf(settings), settings.membership, seed)
    , m_currency(settings.id, settings.currency)
    , m_digests(wire::tagOf(settings.id), settings.bootId, settings.digestLifetime)
    , m_spread({ settings.id, settings.dataCentre }, settings.spread, seed + 1)
    , m_handover({ settings.id, settings.dataCentre }, settings.handover)
    , m_position(chart)
{
}

void fleet_node::setListed(const std::vector<listed_vm>& list, utils::time_point now)
{
    beginEvent(now);
    m_membership.setListed(list, now);
    m_currency.setListed(list, now);
    m_isListedLeaving = std::ranges::any_of(
        list, [&](const listed_vm& vm) { return vm.id == m_settings.id && vm.isLeaving; });
    m_viewVersion = noVersion;
    updateViews(now);
    finishEvent(now);
}

void fleet_node::onDatagram(std::string_view bytes, const std::string& from, utils::time_point now)
{
    ++m_counters.datagramsReceived;
    m_counters.bytesReceived += bytes.size();
    const std::optional<wire::datagram> message = m_codec.decode(bytes);
    if (!message)
        return;
    beginEvent(now);
    const std::optional<probe_answer> answer = m_membership.onMessage(*message, from, now);
    m_membership.noteRevision(message->sender, message->revisionInForce.value);
    m_spread.onPeer(message->sender, message->revisionKnown.value, message->revisionInForce.value, now);
    if (answer)
        recordEvidence(*message, *answer);
    m_digests.merge(message->digests, now);
    if (!message->handovers.empty()) {
        const member* sender = m_membership.members().find(message->sender);
        const home_candidate from { message->sender, sender ? sender->dataCentre : utils::data_centre_id() };
        for (const wire::handover_item& item : message->handovers)
            m_handover.onItem(from, item, now);
    }
    finishEvent(now);
}

void fleet_node::onTick(utils::time_point now)
{
    beginEvent(now);
    m_membership.onTick(now);
    if (now >= m_nextReview) {
        m_nextReview = now + reviewInterval;
        updateViews(now);
        m_handover.onTick(now);
        m_spread.onTick(m_currency.hasMajority(now), now);
    }
    if (m_confirming != 0 && now >= m_nextConfirm)
        continueConfirming(now);
    finishEvent(now);
}

utils::time_point fleet_node::nextTick() const
{
    utils::time_point next = std::min(m_membership.nextTick(), m_nextReview);
    if (m_confirming != 0)
        next = std::min(next, m_nextConfirm);
    return next;
}

void fleet_node::onHead(utils::config_revision revision, utils::time_point startedAt, utils::time_point now)
{
    beginEvent(now);
    m_currency.onHeadRead(startedAt);
    m_spread.onHead(revision, now);
    finishEvent(now);
}

void fleet_node::onDocumentInForce(utils::config_revision revision, utils::time_point now)
{
    beginEvent(now);
    announceRevision(m_spread.onInForce(revision, now));
    finishEvent(now);
}

void fleet_node::onFetchFailed(const utils::node_id& peer, utils::time_point now)
{
    beginEvent(now);
    m_spread.onFetchFailed(peer, now);
    finishEvent(now);
}

void fleet_node::confirm(utils::config_revision revision, utils::time_point now)
{
    beginEvent(now);
    m_confirming = std::max(m_confirming, revision);
    continueConfirming(now);
    finishEvent(now);
}

acknowledgement fleet_node::acknowledged(utils::config_revision revision, utils::time_point now) const
{
    acknowledgement known;
    const std::set<wire::node_tag> witnesses = m_currency.witnesses(now);
    const bool hasSelf = m_spread.inForce() >= revision;
    known.witnessesListed = witnesses.size();
    known.witnesses = hasSelf && witnesses.contains(wire::tagOf(m_settings.id)) ? 1 : 0;
    known.nodesLive = 1;
    known.nodes = hasSelf ? 1 : 0;
    for (const auto& [id, m] : m_membership.members().all()) {
        const bool has = m.revisionInForce >= revision;
        known.witnesses += has && witnesses.contains(m.tag) ? 1 : 0;
        known.nodesLive += m.isLive() ? 1 : 0;
        known.nodes += has && m.isLive() ? 1 : 0;
    }
    return known;
}

void fleet_node::setServers(const std::vector<homed_server>& servers, utils::time_point now)
{
    beginEvent(now);
    m_handover.setServers(servers, now);
    finishEvent(now);
}

void fleet_node::setInFlight(const utils::server_id& server, unsigned count, utils::time_point now)
{
    m_handover.setInFlight(server, count, now);
    sendHandovers();
    encode(now);
}

void fleet_node::publish(
    wire::digest_kind kind, const std::string& key, const std::string& value, utils::time_point now)
{
    m_digests.publish(kind, key, value, now);
}

void fleet_node::leave(utils::time_point now)
{
    beginEvent(now);
    m_leaveDeadline = now + m_settings.leaveTime;
    handleStateEvent("leave_requested");
    updateViews(now);
    finishEvent(now);
}

double fleet_node::shareOf(const utils::server_id& server, utils::time_point now) const
{
    return m_handover.share(server, m_currency.capEvidence(now));
}

std::vector<outgoing_datagram> fleet_node::takeDatagrams()
{
    return std::exchange(m_datagrams, {});
}

std::vector<fleet_action> fleet_node::takeActions()
{
    return std::exchange(m_actions, {});
}

/// Updates the handover's evidence before an event is handled: a share that expired during a pause must not
/// appear uninterrupted because the first datagram after the pause renews the evidence.
void fleet_node::beginEvent(utils::time_point now)
{
    m_handover.observe(m_currency.capEvidence(now), silence(), now);
    updateState(now);
}

void fleet_node::finishEvent(utils::time_point now)
{
    m_currency.onRevisions(m_spread.known(), m_spread.inForce(), now);
    m_handover.observe(m_currency.capEvidence(now), silence(), now);
    updateState(now);
    for (spread_action& action : m_spread.takeActions())
        std::visit([&](auto& each) { m_actions.emplace_back(std::move(each)); }, action);
    sendHandovers();
    encode(now);
}

void fleet_node::recordEvidence(const wire::datagram& message, const probe_answer& answer)
{
    m_currency.onEvidence(wire::tagOf(answer.node), answer.askedAt);
    m_currency.onEvidence(wire::tagOf(message.sender), answer.askedAt);
    for (const wire::evidence& heard : message.heard) {
        const auto age = std::chrono::milliseconds(heard.age * wire::evidence::ageUnitMs);
        m_currency.onEvidence(heard.node, answer.askedAt - age);
        const member* m = m_membership.members().find(heard.node);
        if (m == nullptr)
            continue;
        // A third node may reach two nodes that cannot reach each other. Without this, each of the two
        // considers the other dead, waits for T, and both become home of the same server with a full share.
        if (m_settings.handover.heedsOthers)
            m_membership.noteHeard(m->id, answer.askedAt - age);
        const utils::config_revision known = message.revisionKnown.value;
        if (heard.revisionLag != wire::evidence::unknownLag && known >= heard.revisionLag
            && known - heard.revisionLag > m->revisionInForce)
            m_membership.noteRevision(m->id, known - heard.revisionLag);
    }
}

void fleet_node::updateViews(utils::time_point now)
{
    const std::uint64_t version = m_membership.members().version();
    if (version == m_viewVersion)
        return;
    m_viewVersion = version;
    std::vector<home_candidate> candidates;
    std::vector<spread_peer> peers;
    handover_view view;
    if (m_membership.selfState() == member_state::Alive && !m_isListedLeaving)
        candidates.push_back({ m_settings.id, m_settings.dataCentre });
    for (const auto& [id, m] : m_membership.members().all()) {
        if (m.isLive())
            peers.push_back({ id, m.dataCentre });
        if (m.mayBeHome()) {
            candidates.push_back({ id, m.dataCentre });
            view.arrivals.push_back({ { id, m.dataCentre }, m.liveSince });
        } else if (m.state != member_state::Left)
            view.formers.push_back({ { id, m.dataCentre }, m.isLive(), m.silentSince });
        if (m.state == member_state::Left)
            m_currency.onLeft(m.tag);
        else if (m.isLive())
            m_currency.onBack(m.tag);
    }
    m_spread.setPeers(std::move(peers));
    if (candidates != m_homes.candidates())
        m_homes = home_map(std::move(candidates));
    view.homes = m_homes;
    m_handover.setView(std::move(view), now);
}

void fleet_node::updateState(utils::time_point now)
{
    const bool isCurrent = m_currency.isCurrent(now);
    if (isCurrent != m_wasCurrent) {
        m_wasCurrent = isCurrent;
        handleStateEvent(isCurrent ? "evidence_gained" : "evidence_lost");
    }
    if (now >= m_leaveDeadline)
        handleStateEvent("leave_timeout");
    else if (m_leaveDeadline != utils::time_point::max() && m_handover.isHandedOver())
        handleStateEvent("handed_over");
}

void fleet_node::continueConfirming(utils::time_point now)
{
    m_nextConfirm = now + confirmInterval;
    const std::set<wire::node_tag> witnesses = m_currency.witnesses(now);
    std::vector<utils::node_id> missingWitnesses;
    std::vector<utils::node_id> missing;
    for (const auto& [id, m] : m_membership.members().all()) {
        if (m.isLive() && m.revisionInForce < m_confirming)
            (witnesses.contains(m.tag) ? missingWitnesses : missing).push_back(id);
    }
    if (missing.empty() && missingWitnesses.empty()) {
        m_confirming = 0;
        return;
    }
    // Witnesses determine whether a majority has the revision; other nodes are probed at a bounded rate.
    constexpr unsigned witnessProbeInterval = 2;
    if (++m_confirmTurn % witnessProbeInterval == 1) {
        for (const utils::node_id& node : missingWitnesses)
            m_membership.probe(node, now);
    }
    if (!missing.empty())
        m_membership.probe(missing[m_confirmTurn % missing.size()], now);
}

void fleet_node::handleStateEvent(std::string_view event)
{
    const std::vector<std::string>& actions = m_position.take(event);
    if (actions.empty())
        return;
    for (const std::string& action : actions) {
        if (action == "becomeReady")
            m_actions.emplace_back(become_ready {});
        else if (action == "becomeUnready")
            m_actions.emplace_back(become_unready {});
        else if (action == "announceLeaving")
            m_membership.announce(member_state::Leaving);
        else if (action == "announceLeft") {
            m_membership.announce(member_state::Left);
            m_actions.emplace_back(has_left {});
        }
    }
    m_viewVersion = noVersion;
}

utils::duration fleet_node::silence() const
{
    return m_currency.window() + silenceMarginPeriods * m_settings.membership.period;
}

} // namespace fleet
