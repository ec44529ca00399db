#pragma once

#include "answersink.h"

#include <string>

namespace serving {

/// An answer kept in memory, for an operation whose answer is stored before the caller gets it.
class collected_answer {
public:
    explicit collected_answer(std::size_t limit)
        : m_limit(limit)
    {
    }

    boost::asio::awaitable<bool> head(const answer_head& value)
    {
        m_head = value;
        co_return true;
    }

    boost::asio::awaitable<bool> body(std::string_view bytes)
    {
        if (m_body.size() + bytes.size() > m_limit) {
            m_isTooLarge = true;
            co_return false;
        }
        m_body.append(bytes);
        co_return true;
    }

    boost::asio::awaitable<bool> end()
    {
        m_isWhole = true;
        co_return true;
    }

    const answer_head& headValue() const { return m_head; }
    const std::string& bodyValue() const { return m_body; }
    bool isWhole() const { return m_isWhole; }
    /// Whether the answer went over the limit and the rest of it was not read.
    bool isTooLarge() const { return m_isTooLarge; }

private:
    std::size_t m_limit;
    answer_head m_head;
    std::string m_body;
    bool m_isWhole = false;
    bool m_isTooLarge = false;
};

} // namespace serving
