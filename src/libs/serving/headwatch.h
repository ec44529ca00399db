#pragma once

#include "answersink.h"

namespace serving {

/// Passes an answer on and remembers whether its head went out, for an attempt that is cancelled.
template <answer_sink Sink> class head_watch {
public:
    /// Precondition: the sink outlives this.
    explicit head_watch(Sink& sink)
        : m_sink(sink)
    {
    }

    boost::asio::awaitable<bool> head(const answer_head& value)
    {
        m_hasHead = true;
        return m_sink.head(value);
    }
    boost::asio::awaitable<bool> body(std::string_view bytes) { return m_sink.body(bytes); }
    boost::asio::awaitable<bool> end() { return m_sink.end(); }

    bool hasHead() const { return m_hasHead; }

private:
    Sink& m_sink;
    bool m_hasHead = false;
};

} // namespace serving
