#pragma once

#include "httpconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>

namespace gateway {

/// A request to another process.
struct call_request {
    std::string method;
    std::string target;
    std::string body; ///< JSON; may be empty

    /// A GET request without a body.
    static call_request get(std::string target) { return { "GET", std::move(target), {} }; }
    /// A POST request with a JSON body.
    static call_request post(std::string target, std::string body)
    {
        return { "POST", std::move(target), std::move(body) };
    }
};

/// The response to a call.
struct call_response {
    int status = 0;
    std::string body;
};

/// An HTTP client for one other process: one call at a time, over a connection that it keeps open. Not thread
/// safe.
class http_client {
public:
    http_client(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and returns the response; nullopt when no response began within `timeout`, or when its
    /// bytes stopped arriving. The connection is closed then, since a late response would be taken for that
    /// of the next call.
    boost::asio::awaitable<std::optional<call_response>> call(call_request request, utils::duration timeout);
    /// Whether bytes of a response are arriving at `now`.
    bool isReceiving(utils::time_point now) const;
    void close();

private:
    using timer_ptr = std::shared_ptr<boost::asio::steady_timer>;

    std::string headOf(const call_request& request) const;
    /// Resets the connection after `limit`, or later as soon as no bytes arrive any more. Over a slow link a
    /// large response takes longer than a sensible timeout for its beginning.
    static void startTimeout(
        const timer_ptr& timer, const http_connection_ptr& connection, utils::duration limit);
    boost::asio::awaitable<std::optional<call_response>> exchange(
        http_connection_ptr connection, std::string head, std::shared_ptr<const std::string> body);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    std::string m_host;
    http_connection_ptr m_connection;
    timer_ptr m_timer;
    bool m_isCalling = false;
    utils::time_point m_calledAt {}; ///< start of the call in progress
};

} // namespace gateway
