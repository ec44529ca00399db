#pragma once

#include "callerconnection.h"
#include "messages.h"

#include "utils/errorkind.h"

#include <string>
#include <string_view>

namespace gateway {

/// Writes one response to a caller. Not thread safe.
class response_writer {
public:
    /// `idName`: the header that tells which request a response belongs to.
    response_writer(
        caller_connection& connection, std::string_view idName, std::string requestId, bool keepsAlive)
        : m_connection(connection)
        , m_idName(idName)
        , m_requestId(std::move(requestId))
        , m_keepsAlive(keepsAlive)
    {
    }

    /// A backend server's response whose body is known whole.
    boost::asio::awaitable<bool> writeWhole(const server_response& response, std::string body, bool hasBody);
    /// Begins a response whose length is not known, or goes on with it. `response` counts the first time.
    boost::asio::awaitable<bool> writePart(const server_response& response, std::string_view bytes);
    /// Ends a response that writePart() began.
    boost::asio::awaitable<bool> writeEnd();
    /// A response of this node's own; `retryAfter` as the failure tells.
    boost::asio::awaitable<bool> writeFailure(const utils::failure& failure);

    /// Whether bytes of a response went out.
    bool hasBegun() const { return m_hasBegun; }
    /// Whether a response of unknown length has begun.
    bool isStream() const { return m_isStream; }
    /// The connection ends after this response.
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
