#include "framewriter.h"

namespace serving {

using wire::frame_type;

boost::asio::awaitable<bool> frame_writer::head(const answer_head& value)
{
    co_return co_await m_stream.write(frame_type::ForwardHead, wire::encode(value));
}

boost::asio::awaitable<bool> frame_writer::body(std::string_view bytes)
{
    co_return co_await m_stream.write(frame_type::ForwardChunk, bytes);
}

boost::asio::awaitable<bool> frame_writer::end()
{
    co_return co_await m_stream.write(frame_type::ForwardEnd, {});
}

} // namespace serving
