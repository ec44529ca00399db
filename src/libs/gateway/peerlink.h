#pragma once

#include "peermessages.h"

#include "decisions/copygate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gateway {

/// What came of a copy.
enum class copy_outcome {
    Done, ///< the one who asked has all of it
    Busy, ///< the holder hands out others just now; another node is to be asked
    NoAnswer, ///< nothing more came in time, or what came is no copy
    Count_
};

/// Name for logs, e.g. "no_answer". Thread safe.
std::string_view toString(copy_outcome end);

/// A copy that a peer was asked for.
struct fetched_copy {
    copy_outcome outcome = copy_outcome::NoAnswer;
    view_copy view; ///< empty unless Done
    std::size_t bytes = 0; ///< that came
};

/// What a peer link asks of its node.
struct peer_events {
    std::function<void(const peer_heartbeat&)> onHeartbeat;
    std::function<view_copy(const view_request&)> makeCopy;
};

/// Sends and receives what nodes tell each other: beats as datagrams, copies of the store's view over TCP.
///
/// A copy goes in pieces, each of which waits until the one before it is acknowledged: of no copy more than a
/// piece lies in the queue of a link, where all else that the node sends would wait behind it. Either side
/// gives up when nothing moves, not when a copy takes long. Not thread safe.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    /// Precondition: what the events refer to outlives the link.
    peer_link(boost::asio::any_io_executor executor, peer_events events);

    /// Listens on that address, TCP and UDP. Throws boost::system::system_error.
    void listen(const boost::asio::ip::tcp::endpoint& address);
    void sendHeartbeat(const std::string& address, const std::string& beat);
    /// Asks the node at that address, "ip:port", for a copy.
    boost::asio::awaitable<fetched_copy> fetchView(std::string address, view_request request);
    void close();

private:
    boost::asio::awaitable<void> receiveHeartbeats();
    boost::asio::awaitable<void> serveCopy(boost::asio::ip::tcp::socket socket);
    decisions::copy_gate& gateOf(view_part part);

    boost::asio::any_io_executor m_executor;
    peer_events m_events;
    boost::asio::ip::udp::socket m_datagrams;
    boost::asio::ip::tcp::acceptor m_acceptor;
    // News of servers must not wait until a configuration is out.
    decisions::copy_gate m_serverCopies;
    decisions::copy_gate m_configurationCopies;
};

} // namespace gateway
