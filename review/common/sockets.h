#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace review {

using steady_clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// An open TCP connection with blocking calls; closed with this object. Not thread safe.
class stream_socket {
public:
    stream_socket() = default;
    explicit stream_socket(int descriptor);
    ~stream_socket();
    stream_socket(stream_socket&& other) noexcept;
    stream_socket& operator=(stream_socket&& other) noexcept;

    /// Connects to a loopback address; the result is not open if that fails.
    static stream_socket connectTo(const std::string& ip, std::uint16_t port);

    bool isOpen() const { return m_descriptor >= 0; }
    /// Differs from that of all other connections of this process.
    std::uint64_t number() const { return m_number; }
    /// Sends all bytes; false if the connection has ended.
    bool send(const std::string& bytes) const;
    /// Reads up to and without the next line end; nothing at the end of the connection or after `timeout`.
    std::optional<std::string> readLine(milliseconds timeout);
    /// Reads exactly that many bytes; nothing as for readLine().
    std::optional<std::string> readBytes(std::size_t count, milliseconds timeout);
    /// Closes with a reset.
    void reset();
    void close();

private:
    bool receive(steady_clock::time_point until);

    int m_descriptor = -1;
    std::uint64_t m_number = 0;
    std::string m_received;
};

/// The head of an HTTP message, and its body if that has a length or comes in chunks.
struct http_message {
    std::string startLine;
    std::map<std::string, std::string> headers; ///< by name in lower case
    std::string body;

    std::string header(const std::string& name) const;
    int status() const; ///< of a response; 0 if the start line has none
};

/// Reads one message; nothing if the connection ends first or the bytes are no message. `hasBody`: false for
/// the response to a HEAD request.
std::optional<http_message> readMessage(stream_socket& socket, milliseconds timeout, bool hasBody = true);

/// Accepts connections on a loopback address and runs a thread for each. The threads end with the process.
class listener {
public:
    using session = std::function<void(stream_socket&)>;

    /// Listens on that port, or on a free one. Throws std::runtime_error if that fails.
    explicit listener(const std::string& ip, std::uint16_t port = 0);
    void start(session run);
    std::uint16_t port() const { return m_port; }

private:
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
};

/// A port of that address that is free at the moment, and whose successors up to `count` are free too.
std::uint16_t freePorts(const std::string& ip, std::uint16_t count);
/// A loopback address that no other run is likely to use.
std::string loopbackAddress();

} // namespace review
