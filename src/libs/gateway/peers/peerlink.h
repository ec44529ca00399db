#pragma once

#include "crashmessages.h"
#include "peermessages.h"
#include "restmessage.h"
#include "streammessages.h"

#include "gateway/load/crowdmessage.h"
#include "gateway/load/loadmessage.h"
#include "gateway/load/workmessage.h"

#include "decisions/copygate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gateway {

/// How a copy between two nodes ended.
enum class copy_outcome {
    Done, ///< the asking node has received all of it
    Busy, ///< the holder is sending other copies; another node has to be asked
    NoAnswer, ///< timed out, or the bytes received are not a copy
    Count_
};

/// Name for logs, e.g. "no_answer". Thread safe.
std::string_view toString(copy_outcome outcome);

/// The result of asking a peer for a copy.
struct fetched_copy {
    copy_outcome outcome = copy_outcome::NoAnswer;
    view_copy view; ///< empty unless Done
    std::size_t bytes = 0; ///< received
};

/// Callbacks from a peer link to its node.
struct peer_events {
    std::function<void(const peer_heartbeat&)> onHeartbeat;
    std::function<void(const stream_message&)> onStreamMessage;
    std::function<void(const crash_message&)> onCrashMessage;
    std::function<void(const rest_message&)> onRestMessage;
    std::function<void(const work_message&)> onWorkMessage;
    std::function<void(const crowd_message&)> onCrowdMessage;
    std::function<void(const load_message&)> onLoadMessage;
    std::function<view_copy(const view_request&)> makeCopy;
};

/// Carries messages between nodes: heartbeats and messages about streams, crashes and rests as datagrams,
/// copies of the view of the store over TCP.
///
/// A copy is sent in chunks, each of which waits for the acknowledgement of the previous one. At most one
/// chunk of each copy is queued at a link, where it delays everything else that the node sends. Either side
/// gives up when there is no progress, not when a copy takes long. Not thread safe.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    /// Precondition: all objects that the callbacks refer to outlive the link.
    peer_link(boost::asio::any_io_executor executor, peer_events events);

    /// Listens on that address, TCP and UDP. Throws boost::system::system_error.
    void listen(const boost::asio::ip::tcp::endpoint& address);
    /// Sends an encoded heartbeat or message about streams or crashes to the node at that address, "ip:port".
    /// Lost datagrams are not reported.
    void sendDatagram(const std::string& address, const std::string& datagram);
    /// Asks the node at that address, "ip:port", for a copy.
    boost::asio::awaitable<fetched_copy> fetchView(std::string address, view_request request);
    /// Stops listening.
    void close();

private:
    boost::asio::awaitable<void> receiveDatagrams();
    boost::asio::awaitable<void> serveCopy(boost::asio::ip::tcp::socket socket);
    decisions::copy_gate& gateOf(view_part part);

    boost::asio::any_io_executor m_executor;
    peer_events m_events;
    boost::asio::ip::udp::socket m_datagrams;
    boost::asio::ip::tcp::acceptor m_acceptor;
    // Separate gates: changes of servers must not wait for a configuration that is being sent.
    decisions::copy_gate m_serverCopies;
    decisions::copy_gate m_configurationCopies;
};

} // namespace gateway
