#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gateway {

/// A short plain text answer.
struct text_answer {
    int status = 200;
    std::string body;
};

/// Answers GET requests of the load balancer and of the metrics collector. Not thread safe.
class text_server : public std::enable_shared_from_this<text_server> {
public:
    using answer_function = std::function<text_answer(std::string_view target)>;

    /// Precondition: all objects that the function refers to outlive the server.
    text_server(boost::asio::any_io_executor executor, answer_function answer);

    /// Throws boost::system::system_error.
    void listen(const boost::asio::ip::tcp::endpoint& address);

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor m_executor;
    answer_function m_answer;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace gateway
