#include "usagescan.h"

#include <charconv>

namespace serving {

namespace {

constexpr std::size_t tailSize = 512; ///< the usage of an answer takes about 150 bytes

std::optional<std::uint64_t> numberAfter(std::string_view text, std::string_view name)
{
    const std::size_t at = text.rfind(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = text.substr(at + name.size());
    while (rest.starts_with(' '))
        rest.remove_prefix(1);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), number);
    if (error != std::errc())
        return std::nullopt;
    return number;
}

} // namespace

void usage_scan::feed(std::string_view bytes)
{
    if (bytes.size() >= tailSize) {
        m_tail.assign(bytes.substr(bytes.size() - tailSize));
        return;
    }
    m_tail.append(bytes);
    if (m_tail.size() > 2 * tailSize)
        m_tail.erase(0, m_tail.size() - tailSize);
}

std::optional<prompt_usage> usage_scan::find() const
{
    const auto prompt = numberAfter(m_tail, "\"prompt_tokens\":");
    if (!prompt)
        return std::nullopt;
    return prompt_usage { *prompt, numberAfter(m_tail, "\"cached_tokens\":").value_or(0) };
}

} // namespace serving
