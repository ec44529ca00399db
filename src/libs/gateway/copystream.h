#pragma once

#include "utils/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace gateway {

/// One copy on its way over a connection between two nodes, at either end.
///
/// On the wire: the request, the size of the copy in 4 bytes (0: the holder is busy), then pieces. The
/// receiver acknowledges each piece with one byte before the next is sent. The connection is reset when it is
/// given up, so that the kernel does not go on to send what nobody waits for. Not thread safe.
class copy_stream : public std::enable_shared_from_this<copy_stream> {
public:
    explicit copy_stream(boost::asio::ip::tcp::socket socket);

    /// "ip:port" of the other node; empty when the connection is gone.
    std::string peerAddress() const;
    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint endpoint);

    /// Asks, and reads the size of what will come; nothing when it did not come in time.
    boost::asio::awaitable<std::optional<std::size_t>> requestCopy(std::string request);
    /// Reads a copy of that size; less of it when nothing more came in time.
    boost::asio::awaitable<std::string> receive(std::size_t size);

    /// Reads a request of that size; less of it when nothing more came in time.
    boost::asio::awaitable<std::string> readRequest(std::size_t size);
    /// Sends a copy; the bytes that the other node has acknowledged.
    boost::asio::awaitable<std::size_t> send(std::string copy);
    /// Tells that no copy can be had now.
    boost::asio::awaitable<void> refuse();

private:
    /// Gives the connection up when the next step is not done in time.
    void startStepTimer();
    boost::asio::awaitable<bool> readAll(char* bytes, std::size_t size);
    boost::asio::awaitable<bool> writeAll(const char* bytes, std::size_t size);
    boost::asio::awaitable<bool> writeSize(std::size_t size);
    void reset();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
};

} // namespace gateway
