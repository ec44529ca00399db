#include "socketpeek.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wire {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned char tlsAlertRecord = 21;

} // namespace

peek_result peekSocket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    return peekSocket(socket, error);
}

peek_result peekSocket(asio::ip::tcp::socket& socket, boost::system::error_code& error)
{
    unsigned char first = 0;
    socket.non_blocking(true, error);
    const std::size_t count = socket.receive(asio::buffer(&first, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        return peek_result::Nothing;
    if (error == asio::error::eof)
        error.clear();
    if (error || count == 0)
        return peek_result::Closed;
    return first == tlsAlertRecord ? peek_result::TlsAlert : peek_result::Bytes;
}

asio::awaitable<void> untilClosed(asio::ip::tcp::socket& socket, bool isTls)
{
    while (true) {
        const auto [error] = co_await socket.async_wait(asio::socket_base::wait_read, asTuple);
        if (error)
            co_return;
        const peek_result seen = peekSocket(socket);
        if (seen == peek_result::Closed || (seen == peek_result::TlsAlert && isTls))
            co_return;
        if (seen == peek_result::Nothing)
            continue;
        // Until the pending bytes are read, the socket cannot report a close. The concurrent work finishes
        // first and cancels this wait.
        asio::steady_timer forever(socket.get_executor(), asio::steady_timer::time_point::max());
        co_await forever.async_wait(asTuple);
        co_return;
    }
}

} // namespace wire
