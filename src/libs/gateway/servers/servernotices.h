#pragma once

#include "gateway/load/loadmessage.h"
#include "gateway/nodecontext.h"
#include "gateway/peers/peertable.h"
#include "gateway/peers/restmessage.h"
#include "gateway/requests/messages.h"

#include "decisions/loadnotices.h"

#include <functional>
#include <string>

namespace gateway {

/// The answer of a backend server whose head has just been read.
struct heard_answer {
    std::string requestId; ///< of the request that was sent
    std::string service;
    decisions::server_process server;
    utils::time_point sentAt {};
    bool isRetry = false;
    bool isOwn = true; ///< it answers that request, and no earlier one
};

/// Hears what backend servers say of themselves in the heads of their answers, whichever request these belong
/// to, and tells peers which servers have asked for rest. Not thread safe.
class server_notices {
public:
    using send_function = std::function<void(const std::string& address, const std::string& datagram)>;

    /// Precondition: both arguments outlive this object.
    server_notices(node_context& context, const peer_table& peers)
        : m_context(context)
        , m_peers(peers)
    {
    }

    /// Sets how datagrams are sent. To be called before anything else.
    void start(send_function send) { m_send = std::move(send); }

    /// Takes the head of an answer.
    void heard(const heard_answer& answer, const server_response& response, utils::time_point now);
    /// Takes what a server of the service says of its load, and tells all nodes if it is an engine that has
    /// more than it should.
    void heardLoad(const std::string& service, const utils::server_id& server, const reported_load& load,
        utils::time_point now);
    /// A server has said that it leaves, in an answer that came by way of that peer; empty: by itself.
    void heardLeaving(const heard_answer& answer, const std::string& peer, utils::time_point now);
    /// Handles a peer's datagram.
    void onMessage(const rest_message& message, utils::time_point now);
    void onMessage(const load_message& message, utils::time_point now);
    /// To be called at each heartbeat of this node.
    void tick(utils::time_point now);

private:
    void heardRest(const heard_answer& answer, utils::duration rest, utils::time_point now);

    /// All nodes hear of a rest at once: each would be turned away otherwise.
    void sendUpdates();

    node_context& m_context;
    const peer_table& m_peers;
    send_function m_send;
    decisions::load_notices m_loadNotices;
};

} // namespace gateway
