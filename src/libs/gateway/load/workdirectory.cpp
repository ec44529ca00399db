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
    m_context.peerCount = m_peers.livePeers(now).size();
    for (auto& [service, control] : m_context.overload)
        control.expire(now);
    if (now - m_sentAt < interval || m_context.peerCount == 0)
        return;
    m_sentAt = now;
    std::vector<std::string> datagrams;
    for (auto& [service, control] : m_context.overload) {
        // Whoever tells something has to hear of those who offer nothing, too.
        if (control.fill() < minFill && !control.offered().hasHeard(now))
            continue;
        datagrams.push_back(encodeWork(m_context.options.name, service, control.offered().update(now)));
    }
    if (datagrams.empty())
        return;
    for (const std::string& address : m_peers.sampleTargets()) {
        for (const std::string& datagram : datagrams) {
            if (!datagram.empty())
                m_send(address, datagram);
        }
    }
}

} // namespace gateway
