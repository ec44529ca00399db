#include "kvclient.h"

#include "kvjson.h"

namespace keyvalue {

namespace asio = boost::asio;

namespace {

/// Idle connections kept for reuse; further concurrent calls open new connections.
constexpr std::size_t maxIdleConnections = 16;

constexpr unsigned httpOk = 200;
constexpr unsigned httpClientErrors = 400;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpRequestTimeout = 408;
constexpr unsigned httpServerErrors = 500;

/// The gateway answers 4xx for a request that it rejects before execution (bad request, no space, too many
/// requests). 408 is a call cancelled in flight, and 5xx includes a leader that became disconnected after
/// it accepted the write: in both cases the outcome is unknown. So it is after any other status, which the
/// gateway does not give.
kv_status statusOfRefusal(unsigned httpStatus)
{
    const bool isRefused
        = httpStatus >= httpClientErrors && httpStatus < httpServerErrors && httpStatus != httpRequestTimeout;
    return isRefused ? kv_status::NotSent : kv_status::Unknown;
}

/// Maps an HTTP error to its kv_status and error text; a successful answer is returned unchanged.
kv_http_answer classified(kv_http_answer answer)
{
    if (answer.status != kv_status::Done || answer.httpStatus == httpOk)
        return answer;
    answer.status = statusOfRefusal(answer.httpStatus);
    answer.error = std::to_string(answer.httpStatus) + ": " + decodeError(answer.body);
    return answer;
}

kv_reply replyFrom(const kv_http_answer& answer, std::optional<kv_reply> (*decode)(std::string_view))
{
    kv_reply reply;
    reply.status = answer.status;
    reply.error = answer.error;
    if (answer.status != kv_status::Done)
        return reply;
    std::optional<kv_reply> decoded = decode(answer.body);
    if (decoded)
        return std::move(*decoded);
    reply.status = kv_status::Unknown;
    reply.error = "the answer is not the gateway's";
    return reply;
}

kv_lease_reply leaseFrom(
    const kv_http_answer& answer, std::optional<kv_lease_reply> (*decode)(std::string_view))
{
    if (answer.status != kv_status::Done)
        return { answer.status, 0, 0 };
    return decode(answer.body).value_or(kv_lease_reply { kv_status::Unknown, 0, 0 });
}

} // namespace

kv_client::kv_client(
    asio::any_io_executor executor, std::vector<asio::ip::tcp::endpoint> endpoints, utils::duration timeout)
    : m_executor(std::move(executor))
    , m_endpoints(std::move(endpoints))
    , m_timeout(timeout)
{
}

asio::awaitable<kv_reply> kv_client::transact(const kv_transaction& transaction)
{
    const kv_http_answer answer
        = co_await call("/v3/kv/txn", encodeTransaction(transaction), retry_rule::OnlyIfNotSent);
    co_return replyFrom(answer, decodeTransaction);
}

asio::awaitable<kv_reply> kv_client::get(const kv_get& range)
{
    const kv_http_answer answer = co_await call("/v3/kv/range", encodeRange(range), retry_rule::Always);
    co_return replyFrom(answer, decodeRange);
}

asio::awaitable<kv_lease_reply> kv_client::grantLease(std::int64_t ttlSeconds)
{
    const kv_http_answer answer
        = co_await call("/v3/lease/grant", encodeLeaseGrant(ttlSeconds), retry_rule::OnlyIfNotSent);
    co_return leaseFrom(answer, decodeLeaseGrant);
}

asio::awaitable<kv_lease_reply> kv_client::keepLease(std::int64_t id)
{
    const kv_http_answer answer = co_await call("/v3/lease/keepalive", encodeLeaseId(id), retry_rule::Always);
    co_return leaseFrom(answer, decodeLeaseKeep);
}

asio::awaitable<kv_lease_reply> kv_client::revokeLease(std::int64_t id)
{
    const kv_http_answer answer = co_await call("/v3/lease/revoke", encodeLeaseId(id), retry_rule::Always);
    const bool isGone = answer.status == kv_status::Done || answer.httpStatus == httpNotFound;
    co_return kv_lease_reply { isGone ? kv_status::Done : answer.status, id, 0 };
}

asio::awaitable<kv_http_answer> kv_client::call(std::string target, std::string body, retry_rule rule)
{
    kv_http_answer answer;
    const std::size_t first = m_preferred;
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        const std::size_t endpoint = (first + i) % m_endpoints.size();
        answer = classified(co_await attempt(endpoint, target, body));
        const bool isAnswered = answer.status == kv_status::Done || answer.httpStatus != 0;
        if (isAnswered) {
            m_preferred = endpoint;
            break;
        }
        if (answer.status == kv_status::Unknown && rule == retry_rule::OnlyIfNotSent)
            break;
    }
    count(answer);
    co_return answer;
}

asio::awaitable<kv_http_answer> kv_client::attempt(
    std::size_t endpoint, const std::string& target, const std::string& body)
{
    std::unique_ptr<kv_connection> connection = takeIdle(endpoint);
    if (!connection) {
        connection = std::make_unique<kv_connection>(m_executor, m_endpoints[endpoint]);
        kv_http_answer refused;
        if (!co_await connection->open(m_timeout, refused.error))
            co_return refused;
    }
    kv_http_answer answer = co_await connection->post(target, body, m_timeout);
    returnIdle(std::move(connection));
    co_return answer;
}

std::unique_ptr<kv_connection> kv_client::takeIdle(std::size_t endpoint)
{
    std::erase_if(m_idle, [](const auto& connection) { return !connection->isUsable(); });
    for (auto connection = m_idle.rbegin(); connection != m_idle.rend(); ++connection) {
        if ((*connection)->endpoint() != m_endpoints[endpoint])
            continue;
        std::unique_ptr<kv_connection> taken = std::move(*connection);
        m_idle.erase(std::next(connection).base());
        return taken;
    }
    return nullptr;
}

void kv_client::returnIdle(std::unique_ptr<kv_connection> connection)
{
    if (m_idle.size() < maxIdleConnections && connection->isUsable())
        m_idle.push_back(std::move(connection));
}

void kv_client::count(const kv_http_answer& answer)
{
    ++m_counters.calls;
    if (answer.status == kv_status::NotSent)
        ++m_counters.notSent;
    if (answer.status == kv_status::Unknown)
        ++m_counters.unknown;
}

std::vector<asio::ip::tcp::endpoint> toEndpoints(const std::vector<std::string>& addresses)
{
    std::vector<asio::ip::tcp::endpoint> endpoints;
    for (const std::string& text : addresses) {
        const std::size_t colon = text.rfind(':');
        std::string host = text.substr(0, colon);
        if (host.starts_with('['))
            host = host.substr(1, host.size() - 2);
        const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
        endpoints.emplace_back(asio::ip::make_address(host), port);
    }
    return endpoints;
}

} // namespace keyvalue
