// Part of fleet_node that fills and encodes outgoing datagrams.

#include "fleetnode.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fleet {

namespace {

constexpr std::size_t digestBytes = 60;
constexpr std::size_t handoverBytes = 500;
constexpr std::size_t maxEvidence = 40;

bool carriesEvidence(wire::datagram_kind kind)
{
    return kind == wire::datagram_kind::Ack || kind == wire::datagram_kind::RelayedAck;
}

} // namespace

void fleet_node::sendHandovers()
{
    std::map<utils::node_id, wire::datagram> messages;
    std::map<utils::node_id, std::size_t> sizes;
    for (outgoing_handover& out : m_handover.takeItems()) {
        wire::datagram& message = messages[out.to];
        std::size_t& size = sizes[out.to];
        if (size + out.item.size() > handoverBytes) {
            message.kind = wire::datagram_kind::Announce;
            m_membership.send(out.to, std::exchange(message, {}));
            size = 0;
        }
        size += out.item.size();
        message.handovers.push_back(std::move(out.item));
    }
    for (auto& [to, message] : messages) {
        message.kind = wire::datagram_kind::Announce;
        m_membership.send(to, std::move(message));
    }
}

void fleet_node::announceRevision(const std::vector<utils::node_id>& peers)
{
    for (const utils::node_id& peer : peers) {
        wire::datagram announcement;
        announcement.kind = wire::datagram_kind::Announce;
        m_membership.send(peer, std::move(announcement));
    }
}

void fleet_node::encode(utils::time_point now)
{
    for (outgoing_message& out : m_membership.takeMessages()) {
        addPiggyback(out.message, now);
        std::string bytes = m_codec.encode(std::move(out.message), out.to);
        if (bytes.empty())
            continue;
        ++m_counters.datagramsSent;
        m_counters.bytesSent += bytes.size();
        m_datagrams.push_back({ std::move(out.address), std::move(bytes) });
    }
}

void fleet_node::addPiggyback(wire::datagram& message, utils::time_point now)
{
    message.revisionInForce.value = m_spread.inForce();
    message.revisionKnown.value = m_spread.known();
    if (carriesEvidence(message.kind))
        message.heard = collectEvidence(now);
    const bool hasRoom = message.briefs.empty() && message.handovers.empty();
    if (hasRoom && message.kind != wire::datagram_kind::ProbeRequest)
        message.digests = m_digests.take(digestBytes, now);
}

std::vector<wire::evidence> fleet_node::collectEvidence(utils::time_point now) const
{
    std::vector<wire::evidence> list;
    const wire::node_tag self = wire::tagOf(m_settings.id);
    for (const auto& [node, at] : m_currency.fresh(now)) {
        if (list.size() == maxEvidence || node == self) // the answer itself is evidence of this node
            continue;
        const auto units
            = (std::chrono::ceil<std::chrono::milliseconds>(now - at).count() + wire::evidence::ageUnitMs - 1)
            / wire::evidence::ageUnitMs;
        if (units > std::numeric_limits<std::uint8_t>::max())
            continue;
        const member* m = m_membership.members().find(node);
        const utils::config_revision known = m_spread.known();
        const utils::config_revision behind
            = m == nullptr ? wire::evidence::unknownLag : known - std::min(known, m->revisionInForce);
        list.push_back({ node, static_cast<std::uint8_t>(units),
            static_cast<std::uint8_t>(
                std::min<utils::config_revision>(behind, wire::evidence::unknownLag)) });
    }
    return list;
}

} // namespace fleet
