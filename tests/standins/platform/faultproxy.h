#pragma once

#include "standinthread.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace platform_standin {

/// What a proxy does with the connections through it.
enum class link_state {
    Open,
    Slow, ///< each piece is held for `slowBy`
    CutToServer, ///< what the caller sends is lost; answers still come
    CutToCaller, ///< what the server sends is lost
    Silent, ///< nothing passes either way, connections stay open
    Refusing, ///< open connections are reset, and new ones too
    ClosedToNew, ///< new connections are refused, open ones live on
    Lost, ///< as behind a partition: open connections are silent, new ones are never accepted
};

/// A TCP proxy on loopback that misbehaves when told to. What was lost stays lost: a connection that was cut
/// or silent is never whole again, as behind a partition. Thread safe.
class fault_proxy {
public:
    /// `host`: the loopback address to listen on. A proxy that closes and opens its port again needs one that
    /// no outgoing connection takes its port at, see nodeAddress().
    fault_proxy(standin_thread& thread, unsigned short target, const std::string& host = "127.0.0.1");

    unsigned short port() const { return m_port; }
    /// The address that callers connect to, "ip:port".
    std::string address() const { return m_host.to_string() + ':' + std::to_string(m_port); }
    void set(link_state state);

private:
    using socket = boost::asio::ip::tcp::socket;
    struct link {
        explicit link(boost::asio::io_context& io)
            : caller(io)
            , server(io)
        {
        }
        socket caller;
        socket server;
        bool isBroken = false; ///< bytes were lost on it
        int openWays = 2;
    };

    /// Opens, closes or blocks the listener as the state asks for.
    void listenAs(link_state state);
    /// Fills the queue of the listener, so that the kernel accepts no connection any more.
    void blockListener();
    boost::asio::awaitable<void> acceptAll(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
    boost::asio::awaitable<void> serve(std::shared_ptr<link> link);
    boost::asio::awaitable<void> pump(std::shared_ptr<link> link, bool isToServer);
    bool loses(bool isToServer) const;
    static void reset(link& link);

    standin_thread& m_thread;
    unsigned short m_target;
    boost::asio::ip::address m_host;
    unsigned short m_port = 0;
    std::atomic<link_state> m_state { link_state::Open };
    std::set<std::shared_ptr<link>> m_links; ///< of the proxy's thread
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor; ///< of the proxy's thread; null: closed
    std::vector<socket> m_fillers; ///< connections that nobody accepts
};

} // namespace platform_standin
