#pragma once

#include "workmessage.h"

#include "gateway/nodecontext.h"
#include "gateway/peers/peertable.h"

#include <functional>
#include <string>

namespace gateway {

/// Tells peers what work the callers of this node offer to each service, and takes their word in. What is
/// decided by it: decisions::overload_control. Not thread safe.
class work_directory {
public:
    using send_function = std::function<void(const std::string& address, const std::string& datagram)>;

    /// Precondition: both arguments outlive this object.
    work_directory(node_context& context, peer_table& peers)
        : m_context(context)
        , m_peers(peers)
    {
    }

    /// Sets how datagrams are sent. To be called before anything else.
    void start(send_function send) { m_send = std::move(send); }
    /// Handles a peer's datagram.
    void onMessage(const work_message& message, utils::time_point now);
    /// To be called at each heartbeat of this node.
    void tick(utils::time_point now);

private:
    /// While less than this share of the capacity is offered, nobody is told.
    static constexpr double minFill = 0.3;
    static constexpr utils::duration interval = std::chrono::milliseconds(250);

    node_context& m_context;
    peer_table& m_peers;
    send_function m_send;
    utils::time_point m_sentAt {};
};

} // namespace gateway
