#include "textserver.h"

#include "gateway/servers/httpconnection.h"

#include "wire/acceptloop.h"
#include "wire/task.h"

#include "utils/readbuffer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>

namespace gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr utils::duration idleTimeout = std::chrono::seconds(3); // the load balancer asks once a second

std::string serializeResponse(const text_answer& answer)
{
    const auto status = http::int_to_status(static_cast<unsigned>(answer.status));
    std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + ' ';
    bytes += http::obsolete_reason(status);
    bytes += "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(answer.body.size());
    bytes += "\r\n\r\n" + answer.body;
    return bytes;
}

} // namespace

text_server::text_server(asio::any_io_executor executor, answer_function answer)
    : m_executor(std::move(executor))
    , m_answer(std::move(answer))
    , m_acceptor(m_executor)
{
}

void text_server::listen(const asio::ip::tcp::endpoint& address)
{
    m_acceptor = wire::listenOn(m_executor, address);
    wire::startTask(m_executor, "accept_text",
        wire::acceptLoop(
            m_acceptor,
            [self = shared_from_this()](
                asio::ip::tcp::socket socket) { return self->serve(std::move(socket)); },
            "serve_text"));
}

asio::awaitable<void> text_server::serve(asio::ip::tcp::socket socket)
{
    const auto self = shared_from_this();
    setTcpUserTimeout(socket, idleTimeout);
    boost::beast::flat_buffer buffer(utils::readBufferLimit(utils::defaultMaxHeadBytes));
    while (true) {
        http::request<http::empty_body> request;
        const auto [error, count] = co_await http::async_read(socket, buffer, request, asTuple);
        if (error)
            co_return;
        const text_answer answer = m_answer(request.target());
        const std::string bytes = serializeResponse(answer);
        const auto [writeError, written] = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        if (writeError || !request.keep_alive())
            co_return;
    }
}

} // namespace gateway
