#include "connect.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace wire {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    const std::string_view portText = address.substr(colon + 1);
    unsigned short port = 0;
    const auto [end, parseError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (parseError != std::errc() || end != portText.data() + portText.size())
        return std::nullopt;
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(std::string(host), error);
    if (error)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, port);
}

std::string toText(const asio::ip::tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

asio::awaitable<std::optional<asio::ip::tcp::socket>> connectTo(
    asio::any_io_executor executor, std::string_view address, std::chrono::milliseconds timeout)
{
    using namespace asio::experimental::awaitable_operators;
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        co_return std::nullopt;
    asio::ip::tcp::socket socket(executor);
    asio::steady_timer timer(executor, timeout);
    const auto outcome = co_await (socket.async_connect(*endpoint, asTuple) || timer.async_wait(asTuple));
    if (outcome.index() != 0 || std::get<0>(std::get<0>(outcome)))
        co_return std::nullopt;
    co_return socket;
}

} // namespace wire
