#pragma once

#include "framecipher.h"
#include "frametypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wire {

/// Keys of the fleet from the key files in the settings. The first signs; all of them verify.
using fleet_keys = std::vector<std::string>;

/// An authenticated stream of frames between two nodes over one TCP connection. It carries one request at a
/// time, so that TCP flow control provides the backpressure from a slow caller to its backend server.
/// All functions run on the socket's executor; not thread safe.
class frame_stream {
public:
    explicit frame_stream(boost::asio::ip::tcp::socket socket);

    /// Performs the handshake as the connecting side. False when the connection ended or the peer does not
    /// hold the key.
    boost::asio::awaitable<bool> connect(const fleet_keys& keys);
    /// Performs the handshake as the accepting side. False when the connection ended or the peer does not
    /// hold one of the keys.
    boost::asio::awaitable<bool> accept(const fleet_keys& keys);

    /// Reads the next frame. Returns std::nullopt when the connection ended or authentication failed.
    boost::asio::awaitable<std::optional<frame>> read();
    /// Writes one frame. False when the connection ended.
    boost::asio::awaitable<bool> write(frame_type type, std::string_view payload);

    /// Completes only when the peer has closed the connection. Consumes no data.
    boost::asio::awaitable<void> untilClosed();
    /// Whether the stream ended because authentication failed, not because the connection was closed.
    bool hasFailedAuthentication() const { return m_hasFailedAuthentication; }
    void close();

private:
    boost::asio::awaitable<std::optional<std::string>> readRaw(std::size_t size);
    boost::asio::awaitable<bool> writeRaw(std::string bytes);

    boost::asio::ip::tcp::socket m_socket;
    std::optional<frame_cipher> m_reader;
    std::optional<frame_cipher> m_writer;
    std::string m_readBuffer;
    bool m_hasFailedAuthentication = false;
};

} // namespace wire
