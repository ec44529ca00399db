#include "eventscanner.h"

#include <charconv>

namespace gateway {

namespace {

constexpr std::string_view boundary = "\n\n";

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
        std::size_t end = event.find('\n', at);
        if (end == std::string_view::npos)
            end = event.size();
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [stop, status] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (status == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string event_scanner::take(std::string_view bytes)
{
    m_partial += bytes;
    std::string whole;
    std::size_t at = 0;
    while (m_fault == stream_fault::None) {
        const std::size_t end = m_partial.find(boundary, at);
        if (end == std::string::npos)
            break;
        const std::string_view event = std::string_view(m_partial).substr(at, end + boundary.size() - at);
        if (accept(event))
            whole += event;
        at = end + boundary.size();
    }
    m_partial.erase(0, at);
    if (m_partial.size() > maxEventBytes && m_fault == stream_fault::None)
        m_fault = stream_fault::TooLong;
    return whole;
}

bool event_scanner::accept(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (!id && m_count > 0 && m_lastId) {
        m_fault = stream_fault::NoId;
        return false;
    }
    if (id && m_lastId) {
        if (*id <= *m_lastId)
            return false;
        if (*id != *m_lastId + 1) {
            m_fault = stream_fault::Gap;
            return false;
        }
    }
    if (id)
        m_lastId = id;
    ++m_count;
    return true;
}

} // namespace gateway
