#pragma once

#include "keyvalue.h"
#include "kvconnection.h"

#include "utils/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace keyvalue {

/// Number of calls to the service and of those that ended with NotSent or Unknown, for metrics.
struct kv_client_counters {
    std::uint64_t calls = 0;
    std::uint64_t notSent = 0;
    std::uint64_t unknown = 0;
};

/// Client of the platform's key-value service over etcd's v3 JSON gateway, with kept-alive connections.
/// Endpoints are tried in turn, beginning with the one that answered last. A request is retried on the next
/// endpoint only if this cannot run a non-idempotent write twice: it is a read or an idempotent call, or the
/// previous endpoint cannot have executed it.
/// Not thread safe: use it on one executor that runs one handler at a time.
class kv_client {
public:
    /// `timeout` bounds each attempt. Precondition: `endpoints` is not empty.
    kv_client(boost::asio::any_io_executor executor, std::vector<boost::asio::ip::tcp::endpoint> endpoints,
        utils::duration timeout);

    /// Runs a transaction. After Unknown it may have taken effect or may do so later.
    boost::asio::awaitable<kv_reply> transact(const kv_transaction& transaction);
    /// Reads a key or a range. Without side effects, so a caller may retry after any status.
    boost::asio::awaitable<kv_reply> get(const kv_get& range);
    /// Grants a lease. After Unknown a lease without keys may remain, which expires on its own.
    boost::asio::awaitable<kv_lease_reply> grantLease(std::int64_t ttlSeconds);
    /// Renews a lease. Done with ttlSeconds 0: the lease has expired or was revoked. After Unknown assume
    /// that its TTL counts from the last answered renewal.
    boost::asio::awaitable<kv_lease_reply> keepLease(std::int64_t id);
    /// Revokes a lease and deletes its keys. Done with ttlSeconds 0 also if the lease no longer existed.
    boost::asio::awaitable<kv_lease_reply> revokeLease(std::int64_t id);

    const kv_client_counters& counters() const { return m_counters; }
    const std::vector<boost::asio::ip::tcp::endpoint>& endpoints() const { return m_endpoints; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }

private:
    /// When a call may be retried on the next endpoint.
    enum class retry_rule {
        Always, ///< the call is idempotent
        OnlyIfNotSent
    };
    boost::asio::awaitable<kv_http_answer> call(std::string target, std::string body, retry_rule rule);
    boost::asio::awaitable<kv_http_answer> attempt(
        std::size_t endpoint, const std::string& target, const std::string& body);
    std::unique_ptr<kv_connection> takeIdle(std::size_t endpoint);
    void returnIdle(std::unique_ptr<kv_connection> connection);
    void count(const kv_http_answer& answer);

    boost::asio::any_io_executor m_executor;
    std::vector<boost::asio::ip::tcp::endpoint> m_endpoints;
    utils::duration m_timeout;
    std::size_t m_preferred = 0;
    std::vector<std::unique_ptr<kv_connection>> m_idle;
    kv_client_counters m_counters;
};

static_assert(key_value<kv_client>);

/// Parses "ip:port" texts. Precondition: each is well formed, which the settings check ensures. Throws
/// boost::system::system_error for an invalid IP address. Thread safe.
std::vector<boost::asio::ip::tcp::endpoint> toEndpoints(const std::vector<std::string>& addresses);

} // namespace keyvalue
