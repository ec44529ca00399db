#pragma once

#include "answersink.h"
#include "netstream.h"

#include "utils/readbuffer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace serving {

/// What a backend server is asked.
struct backend_request {
    std::string method;
    std::string target;
    std::string host;
    std::vector<wire::header_line> headers;
    std::string body;
};

/// A connection to a backend server with what was read ahead on it.
struct backend_connection {
    static constexpr std::size_t maxHeadBytes = 65536;

    explicit backend_connection(net_stream s)
        : stream(std::move(s))
    {
    }

    net_stream stream;
    boost::beast::flat_buffer buffer { utils::readBufferLimit(maxHeadBytes) };
    bool isReused = false;
};

/// One request and its answer on one connection. A silence longer than the limit closes the connection,
/// which shows as a failure of the call in progress. Not thread safe.
class backend_exchange {
public:
    backend_exchange(std::unique_ptr<backend_connection> connection, std::chrono::milliseconds silenceLimit);
    ~backend_exchange();
    backend_exchange(const backend_exchange&) = delete;
    backend_exchange& operator=(const backend_exchange&) = delete;

    /// Sends the request. Nothing: sent whole. A failure: an unknown part of it may have arrived.
    boost::asio::awaitable<std::optional<utils::failure>> send(const backend_request& request);
    /// Precondition: sent. The head of the final response, or nothing with failure() set. Interim responses
    /// are skipped, and fail where they are too many.
    boost::asio::awaitable<std::optional<answer_head>> readHead();
    /// Precondition: head read. The next bytes; empty at the whole answer's end; nothing with failure() set
    /// when it was cut.
    boost::asio::awaitable<std::optional<std::string_view>> readSome();

    const utils::failure& failure() const { return m_failure; }
    /// Whether the connection ended before any byte of the answer: the mark of a stale reused connection.
    bool hasEndedUnanswered() const { return m_hasEndedUnanswered; }
    /// The connection, if it can carry another request; null otherwise.
    std::unique_ptr<backend_connection> takeReusable();

private:
    void startResponse();
    void fail(const boost::system::error_code& error);

    std::unique_ptr<backend_connection> m_connection;
    std::chrono::milliseconds m_silenceLimit;
    struct watchdog;
    std::shared_ptr<watchdog> m_watchdog;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    std::array<char, 4096> m_chunk;
    utils::failure m_failure;
    bool m_isHeadMethod = false;
    bool m_isDone = false;
    bool m_hasEndedUnanswered = false;
};

} // namespace serving
