#include "workdirectory.h"

namespace gateway {

void work_directory::onMessage(const work_message& message, utils::time_point now)
{
    // What is not in the configuration needs no state here.
    if (!m_context.configuration || m_context.configuration->findService(message.service) == nullptr)
        return;
    m_context.overload[message.service].offered().updatePeer(
        utils::node_id(message.node), updateOf(message), now);
}

void work_directory::tick(utils::time_point now)
{
    m_context.peerCount = m_peers.knownNodes() - 1;
    if (now - m_sentAt < interval || m_context.peerCount == 0)
        return;
    m_sentAt = now;
    for (auto& [service, control] : m_context.overload) {
        if (control.fill() < minFill)
            continue;
        const std::string datagram
            = encodeWork(m_context.options.name, service, control.offered().update(now));
        if (datagram.empty())
            continue;
        for (const std::string& address : m_peers.targets())
            m_send(address, datagram);
    }
}

} // namespace gateway
