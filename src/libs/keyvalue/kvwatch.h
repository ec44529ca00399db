#pragma once

#include "kvtypes.h"

#include "utils/readbuffer.h"
#include "utils/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace keyvalue {

/// Keys and timeouts of a watch.
struct kv_watch_options {
    std::string key;
    std::string rangeEnd; ///< empty: this key only
    std::int64_t fromRevision = 0; ///< first revision to report; 0: from now on
    utils::duration connectTimeout = std::chrono::seconds(2);
    /// Idle time after which the stream is reopened: a service that is paused or whose VM is lost leaves the
    /// connection open, and a stream without changes cannot be told from a dead one.
    utils::duration silence = std::chrono::seconds(30);
};

/// Watches a key or range for changes. A broken stream is reopened on the next endpoint with exponential
/// backoff, from the revision after the last one seen, so that no change is missed or reported twice.
/// Not thread safe: use it on one executor, with one next() at a time.
class kv_watch {
public:
    kv_watch(boost::asio::any_io_executor executor, std::vector<boost::asio::ip::tcp::endpoint> endpoints,
        kv_watch_options options);

    /// Waits for the next changes, without a time limit while the service is unavailable. `compactedTo` is
    /// set in one batch if changes may have been missed; `isCancelled` only after cancel().
    boost::asio::awaitable<kv_watch_batch> next();
    /// Completes a pending next() and all later ones with `isCancelled`.
    void cancel();
    /// Whether the stream is established, for /readyz and metrics.
    bool isConnected() const { return m_parser != nullptr; }

private:
    using stream_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> readSome();
    boost::asio::awaitable<void> backOff();
    void disconnect();
    std::optional<std::string> takeLine();
    /// Decodes one message and advances the revision to resume from. Nothing when there is no change to
    /// report.
    std::optional<kv_watch_batch> handleMessage(const std::string& line);

    boost::asio::any_io_executor m_executor;
    std::vector<boost::asio::ip::tcp::endpoint> m_endpoints;
    kv_watch_options m_options;
    boost::asio::steady_timer m_backoffTimer;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    std::unique_ptr<stream_parser> m_parser;
    boost::beast::flat_buffer m_buffer { utils::readBufferLimit(utils::defaultMaxHeadBytes) };
    std::string m_chunk;
    std::string m_received;
    std::size_t m_endpoint = 0;
    unsigned m_failures = 0;
    bool m_isCancelled = false;
};

} // namespace keyvalue
