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

/// Keys of the fleet as read from the settings' files; the first signs, each verifies.
using fleet_keys = std::vector<std::string>;

/// An authenticated stream of frames between two nodes over one TCP connection. One request travels on it
/// at a time, so TCP's own flow control is the backpressure from a slow caller to its engine.
/// All functions run on the socket's executor; not thread safe.
class frame_stream {
public:
    explicit frame_stream(boost::asio::ip::tcp::socket socket);

    /// Opens the conversation as the side that connected. False when the peer does not hold the key.
    boost::asio::awaitable<bool> connect(const fleet_keys& keys);
    /// Opens the conversation as the side that accepted. False when the peer does not hold a key.
    boost::asio::awaitable<bool> accept(const fleet_keys& keys);

    /// The next frame; nothing when the connection ended or the bytes fail authentication.
    boost::asio::awaitable<std::optional<frame>> read();
    /// False when the connection ended.
    boost::asio::awaitable<bool> write(frame_type type, std::string_view payload);

    /// Completes once the peer has closed; never otherwise. Reads nothing.
    boost::asio::awaitable<void> untilClosed();
    /// Whether bytes failed authentication, as against a plain end.
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
