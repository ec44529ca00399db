#include "rawreplica.h"

#include "standins_common/httplistener.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace platform_standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t bodyLimit = 64U << 20U;

/// Reads until the other side closes.
asio::awaitable<void> drain(tcp::socket& socket)
{
    std::string bytes(65536, '\0');
    while (true) {
        const auto [error, count] = co_await socket.async_read_some(asio::buffer(bytes), asTuple);
        if (error)
            co_return;
    }
}

void reset(tcp::socket& socket)
{
    boost::system::error_code ignored; // the other side may have closed before
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

raw_replica::raw_replica(standin_thread& thread, std::string id)
    : m_state(std::make_shared<state>())
{
    m_state->id = std::move(id);
    auto acceptor
        = std::make_shared<tcp::acceptor>(thread.io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    m_port = acceptor->local_endpoint().port();
    asio::co_spawn(thread.io(), acceptAll(std::move(acceptor), m_state), asio::detached);
}

void raw_replica::setAnswer(raw_answer answer)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->answer = std::move(answer);
}

asio::awaitable<void> raw_replica::acceptAll(std::shared_ptr<tcp::acceptor> acceptor, state_ptr state)
{
    while (true) {
        auto [error, socket] = co_await acceptor->async_accept(asTuple);
        if (error)
            continue;
        asio::co_spawn(acceptor->get_executor(), serve(std::move(socket), state), asio::detached);
    }
}

asio::awaitable<void> raw_replica::serve(tcp::socket socket, state_ptr state)
{
    boost::beast::flat_buffer buffer;
    bool goesOn = true;
    while (goesOn) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        const auto [error, count] = co_await http::async_read_header(socket, buffer, parser, asTuple);
        if (error)
            co_return;
        ++state->requests;
        raw_answer answer;
        {
            const std::lock_guard lock(state->mutex);
            answer = state->answer;
        }
        if (!answer.isEarly) {
            const auto [bodyError, bodyCount] = co_await http::async_read(socket, buffer, parser, asTuple);
            if (bodyError)
                co_return;
        }
        boost::algorithm::replace_all(
            answer.bytes, "{id}", std::string(parser.get()["Lycheefront-Attempt-Id"]));
        if (!co_await standins_common::sendBytes(socket, answer.bytes))
            co_return;
        goesOn = co_await end(socket, answer);
    }
}

asio::awaitable<bool> raw_replica::end(tcp::socket& socket, const raw_answer& answer)
{
    if (answer.end == raw_end::KeepOpen)
        co_return true;
    co_await standins_common::pauseFor(answer.pause);
    boost::system::error_code ignored; // the other side may have closed before
    if (answer.end != raw_end::Reset)
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    switch (answer.end) {
    case raw_end::KeepOpen:
        break;
    case raw_end::Finish:
        co_await drain(socket);
        break;
    case raw_end::Hold:
        co_await socket.async_wait(tcp::socket::wait_error, asTuple);
        break;
    case raw_end::Reset:
        reset(socket);
        break;
    case raw_end::FinishThenReset:
        co_await standins_common::pauseFor(answer.pause);
        reset(socket);
        break;
    }
    co_return false;
}

} // namespace platform_standin
