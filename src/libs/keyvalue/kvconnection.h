#pragma once

#include "kvtypes.h"

#include "utils/readbuffer.h"
#include "utils/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

namespace keyvalue {

/// Result of one POST request.
struct kv_http_answer {
    kv_status status = kv_status::NotSent;
    unsigned httpStatus = 0;
    std::string body;
    std::string error;
};

/// One kept-alive HTTP connection to an endpoint of the service. Not thread safe: one call at a time.
class kv_connection {
public:
    kv_connection(const boost::asio::any_io_executor& executor, boost::asio::ip::tcp::endpoint endpoint);

    /// Connects within `timeout`. Returns false, with the reason in `error`, on failure.
    boost::asio::awaitable<bool> open(utils::duration timeout, std::string& error);
    /// Sends one request and reads the whole answer within `timeout`. NotSent when the service cannot have
    /// received the whole request, Unknown once it may have. Preconditions: open() returned true, and
    /// isUsable() returns true.
    boost::asio::awaitable<kv_http_answer> post(
        const std::string& target, const std::string& body, utils::duration timeout);
    /// Whether the connection can carry another request: neither failed nor closed by the service.
    bool isUsable();

    const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer { utils::readBufferLimit(utils::defaultMaxHeadBytes) };
    boost::asio::ip::tcp::endpoint m_endpoint;
    bool m_isBroken = false;
};

} // namespace keyvalue
