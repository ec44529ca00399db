#pragma once

#include "answersink.h"

#include "wire/framestream.h"

namespace serving {

/// Sends an answer to the entry node that forwarded the request. Not thread safe.
class frame_writer {
public:
    /// Precondition: the stream outlives this.
    explicit frame_writer(wire::frame_stream& stream)
        : m_stream(stream)
    {
    }

    boost::asio::awaitable<bool> head(const answer_head& value);
    boost::asio::awaitable<bool> body(std::string_view bytes);
    boost::asio::awaitable<bool> end();

private:
    wire::frame_stream& m_stream;
};

} // namespace serving
