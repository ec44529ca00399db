#include "httpclient.h"

#include "gateway/clock.h"
#include "gateway/requests/headerlines.h"

#include "wire/connect.h"

#include <boost/asio/use_awaitable.hpp>

namespace gateway {

namespace asio = boost::asio;

namespace {

// A response has stopped arriving when no byte came for this long.
constexpr utils::duration stallTimeout = std::chrono::milliseconds(500);
constexpr std::size_t maxBodyBytes = 67'108'864; // far above what the store sends in an answer

} // namespace

http_client::http_client(asio::any_io_executor executor, const asio::ip::tcp::endpoint& server)
    : m_executor(std::move(executor))
    , m_server(server)
    , m_host(wire::toText(server))
    , m_timer(std::make_shared<asio::steady_timer>(m_executor))
{
}

http_client::~http_client()
{
    close();
}

void http_client::close()
{
    m_timer->cancel();
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

asio::awaitable<std::optional<call_response>> http_client::call(call_request request, utils::duration timeout)
{
    if (m_connection && !m_connection->isIdleAndOpen())
        close();
    const bool isNew = !m_connection;
    if (isNew)
        m_connection = std::make_shared<http_connection>(m_executor);
    const http_connection_ptr connection = m_connection;
    startTimeout(m_timer, connection, timeout);
    if (isNew) {
        const boost::system::error_code error = co_await connection->connect(m_server);
        if (error) {
            close();
            co_return std::nullopt;
        }
    }
    std::string head = headOf(request);
    auto body = std::make_shared<const std::string>(std::move(request.body));
    m_isCalling = true;
    m_calledAt = now();
    std::optional<call_response> response = co_await exchange(connection, std::move(head), std::move(body));
    m_isCalling = false;
    m_timer->cancel();
    if (!response || !connection->isReusable())
        close();
    co_return response;
}

bool http_client::isReceiving(utils::time_point now) const
{
    if (!m_isCalling || !m_connection || m_connection->lastReceivedAt < m_calledAt)
        return false;
    return now - m_connection->lastReceivedAt < stallTimeout;
}

void http_client::startTimeout(
    const timer_ptr& timer, const http_connection_ptr& connection, utils::duration limit)
{
    timer->expires_after(limit);
    timer->async_wait([timer, connection](const boost::system::error_code& error) {
        // A handler that was queued before the timer was restarted belongs to the previous call.
        if (error || timer->expiry() > std::chrono::steady_clock::now())
            return;
        const utils::duration idleTime = now() - connection->lastReceivedAt;
        if (idleTime < stallTimeout)
            startTimeout(timer, connection, stallTimeout - idleTime);
        else
            connection->abort();
    });
}

std::string http_client::headOf(const call_request& request) const
{
    std::string head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    appendHeader(head, "Host", m_host);
    if (!request.body.empty())
        appendHeader(head, "Content-Type", "application/json");
    if (request.method != "GET")
        appendHeader(head, "Content-Length", std::to_string(request.body.size()));
    return head + "\r\n";
}

asio::awaitable<std::optional<call_response>> http_client::exchange(
    http_connection_ptr connection, std::string head, std::shared_ptr<const std::string> body)
{
    connection->startWrite(std::move(head), std::move(body), false);
    boost::system::error_code error = co_await connection->readHead();
    if (error)
        co_return std::nullopt;
    call_response response;
    response.status = static_cast<int>(connection->head().result_int());
    while (!connection->isDone()) {
        error = co_await connection->readBody(response.body);
        if (error || response.body.size() > maxBodyBytes)
            co_return std::nullopt;
    }
    error = co_await connection->readBody(response.body);
    if (error)
        co_return std::nullopt;
    co_return response;
}

} // namespace gateway
