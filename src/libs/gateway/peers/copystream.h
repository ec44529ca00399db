#pragma once

#include "utils/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace gateway {

/// One copy in transfer over a connection between two nodes, at either end.
///
/// On the wire: the request, the size of the copy in 4 bytes (0: the holder is busy), then chunks. The
/// receiver acknowledges each chunk with one byte before the next is sent. An abandoned connection is reset,
/// so that the kernel does not go on to send data that nobody reads. Not thread safe.
class copy_stream : public std::enable_shared_from_this<copy_stream> {
public:
    explicit copy_stream(boost::asio::ip::tcp::socket socket);

    /// "ip:port" of the other node; empty if the connection is closed.
    std::string peerAddress() const;
    /// Connects to the other node; false on an error or time-out.
    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint endpoint);

    /// Sends a request and reads the size of the copy; nothing on a time-out.
    boost::asio::awaitable<std::optional<std::size_t>> requestCopy(std::string request);
    /// Reads a copy of that size; fewer bytes on a time-out.
    boost::asio::awaitable<std::string> receive(std::size_t size);

    /// Reads a request of that size; empty on a time-out.
    boost::asio::awaitable<std::string> readRequest(std::size_t size);
    /// Sends a copy. Returns the number of bytes that the other node acknowledged.
    boost::asio::awaitable<std::size_t> send(std::string copy);
    /// Answers that no copy is available now.
    boost::asio::awaitable<void> refuse();

private:
    /// Resets the connection if the next step does not complete in time.
    void startStepTimer();
    boost::asio::awaitable<bool> readAll(char* bytes, std::size_t size);
    boost::asio::awaitable<bool> writeAll(const char* bytes, std::size_t size);
    boost::asio::awaitable<bool> writeSize(std::size_t size);
    void reset();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
};

} // namespace gateway
