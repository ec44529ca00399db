#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Response of a scripted daemon to one request.
struct scripted_answer {
    unsigned status = 200;
    std::string body = "{}";
    bool isDropped = false; ///< reads the request, then closes the connection without a response
};

/// Answers an operator's requests as scripted, in its own thread, then refuses connections. Listens on a free
/// loopback port.
class scripted_daemon {
public:
    explicit scripted_daemon(std::vector<scripted_answer> script)
        : m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_port(m_acceptor.local_endpoint().port())
        , m_thread([this, script = std::move(script)] { serve(script); })
    {
    }

    ~scripted_daemon() { m_thread.join(); }

    std::string endpoint() const { return "127.0.0.1:" + std::to_string(m_port); }

    std::vector<std::string> targets; ///< not synchronized; read it only after the script has been served
    std::vector<std::string> keys; ///< Authorization headers; as `targets`

private:
    void serve(const std::vector<scripted_answer>& script)
    {
        namespace http = boost::beast::http;
        for (const scripted_answer& answer : script) {
            boost::asio::ip::tcp::socket socket = m_acceptor.accept();
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            http::read(socket, buffer, request);
            targets.emplace_back(request.target());
            keys.emplace_back(request[http::field::authorization]);
            if (answer.isDropped)
                continue;
            http::response<http::string_body> response(http::int_to_status(answer.status), 11, answer.body);
            response.prepare_payload();
            http::write(socket, response);
        }
        m_acceptor.close();
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::thread m_thread;
};
