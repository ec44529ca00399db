#pragma once

#include "answersink.h"
#include "netstream.h"

#include <string>

namespace serving {

/// Writes an answer to a caller as HTTP/1.1. A body without a stated length goes out chunked, and only a
/// whole answer gets the last chunk, so that a cut one never looks complete. Not thread safe.
class caller_writer {
public:
    /// Precondition: the stream outlives this. `keepAlive`: the caller may send another request.
    caller_writer(net_stream& stream, bool keepAlive, std::string requestId);

    boost::asio::awaitable<bool> head(const answer_head& value);
    boost::asio::awaitable<bool> body(std::string_view bytes);
    boost::asio::awaitable<bool> end();

    /// A complete answer of our own. Precondition: no head was written.
    boost::asio::awaitable<bool> whole(int status, std::string_view contentType, std::string body,
        const std::vector<wire::header_line>& extra = {});
    /// The failure as problem+json, or, once a head is out, as the error event that ends a stream; then the
    /// connection must be closed.
    boost::asio::awaitable<bool> failure(const utils::failure& f);

    bool hasHead() const { return m_hasHead; }
    /// Whether the connection can carry another request.
    bool canContinue() const { return m_keepAlive && m_isComplete; }
    std::uint64_t bytesWritten() const { return m_bytesWritten; }
    const std::string& requestId() const { return m_requestId; }
    /// When the head went out.
    utils::time_point headAt() const { return m_headAt; }

private:
    boost::asio::awaitable<bool> write(std::string bytes);

    net_stream& m_stream;
    std::string m_requestId;
    bool m_keepAlive;
    bool m_hasHead = false;
    bool m_isChunked = false;
    bool m_isEventStream = false;
    bool m_isComplete = false;
    std::uint64_t m_bytesWritten = 0;
    utils::time_point m_headAt;
};

} // namespace serving
