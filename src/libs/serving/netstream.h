#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <memory>
#include <utility>

namespace serving {

/// A TCP connection with or without TLS behind one type, so that the code above is compiled once.
/// Models Asio's AsyncReadStream and AsyncWriteStream. Not thread safe.
class net_stream {
public:
    using tcp_socket = boost::asio::ip::tcp::socket;
    using tls_stream = boost::asio::ssl::stream<tcp_socket>;
    using executor_type = tcp_socket::executor_type;

    explicit net_stream(tcp_socket socket);
    /// Precondition: the context outlives the stream. TLS starts with handshake().
    net_stream(tcp_socket socket, boost::asio::ssl::context& tls);

    /// Does the TLS handshake; true at once without TLS.
    boost::asio::awaitable<bool> handshake(boost::asio::ssl::stream_base::handshake_type side);
    /// Completes once the other side has closed; never otherwise, so it is run beside the work with `||`.
    boost::asio::awaitable<void> untilClosed();
    /// Completes when bytes have arrived or the other side has closed. Only before the first byte of a
    /// request is read.
    boost::asio::awaitable<void> untilReadable();
    bool isOpen() const { return socket().is_open(); }
    void close();

    executor_type get_executor() { return socket().get_executor(); }

    template <class Buffers, class Token> auto async_read_some(const Buffers& buffers, Token&& token)
    {
        if (m_tls)
            return m_tls->async_read_some(buffers, std::forward<Token>(token));
        return m_plain.async_read_some(buffers, std::forward<Token>(token));
    }

    template <class Buffers, class Token> auto async_write_some(const Buffers& buffers, Token&& token)
    {
        if (m_tls)
            return m_tls->async_write_some(buffers, std::forward<Token>(token));
        return m_plain.async_write_some(buffers, std::forward<Token>(token));
    }

private:
    tcp_socket& socket() { return m_tls ? m_tls->next_layer() : m_plain; }
    const tcp_socket& socket() const { return m_tls ? m_tls->next_layer() : m_plain; }

    tcp_socket m_plain;
    std::unique_ptr<tls_stream> m_tls;
};

} // namespace serving
