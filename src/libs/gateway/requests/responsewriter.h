#pragma once

#include "callerconnection.h"
#include "messages.h"

#include "utils/errorkind.h"

#include <string>
#include <string_view>

namespace gateway {

/// Writes one response to a caller. The write functions return whether the write succeeded. Not thread safe.
class response_writer {
public:
    /// `idName`: name of the header that carries the request id.
    response_writer(
        caller_connection& connection, std::string_view idName, std::string requestId, bool keepsAlive)
        : m_connection(connection)
        , m_idName(idName)
        , m_requestId(std::move(requestId))
        , m_keepsAlive(keepsAlive)
    {
    }

    /// Writes a backend server's response whose body is complete.
    boost::asio::awaitable<bool> writeWhole(const server_response& response, std::string body, bool hasBody);
    /// Begins a chunked response, or continues it with `bytes`. Only the first call uses the head of
    /// `response`.
    boost::asio::awaitable<bool> writePart(const server_response& response, std::string_view bytes);
    /// Ends a response that writePart() began.
    boost::asio::awaitable<bool> writeEnd();
    /// Writes an error response of this node. `failure.retryAfter` sets the Retry-After header.
    boost::asio::awaitable<bool> writeFailure(const utils::failure& failure);

    /// Whether a response has begun.
    bool hasBegun() const { return m_hasBegun; }
    /// Whether a chunked response has begun.
    bool isStream() const { return m_isStream; }
    /// Closes the connection after this response.
    void closeAfterResponse() { m_keepsAlive = false; }
    bool keepsAlive() const { return m_keepsAlive; }

private:
    std::string failureBytes(const utils::failure& failure) const;
    std::string headOf(int status, const std::vector<header_line>& headers) const;
    boost::asio::awaitable<bool> write(std::string bytes);

    caller_connection& m_connection;
    std::string m_idName;
    std::string m_requestId;
    bool m_keepsAlive;
    bool m_hasBegun = false;
    bool m_isStream = false;
};

} // namespace gateway
