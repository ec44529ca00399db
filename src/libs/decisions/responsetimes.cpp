#include "responsetimes.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

constexpr double memoryTokens = 200000; // after so many tokens read a sample has lost 63% of its weight
constexpr std::uint32_t leastTokens = 500; // fewer tell more of the base than of the reading
constexpr double gain = 1.0 / 32; // of a new sample in the averages of base and deviation

} // namespace

void response_times::began(std::uint32_t tokens, utils::duration took)
{
    const double seconds = utils::toSeconds(took);
    const double read = tokens;
    m_deviation += gain * (std::abs(seconds - utils::toSeconds(forecast(tokens).expected())) - m_deviation);
    if (tokens >= leastTokens) {
        const double kept = std::exp(-read / memoryTokens);
        m_tokenSquares = kept * m_tokenSquares + read * read;
        m_tokenSeconds = kept * m_tokenSeconds + read * std::max(0.0, seconds - m_base);
    }
    m_base += gain * (std::max(0.0, seconds - read * secondsPerToken()) - m_base);
}

response_forecast response_times::forecast(std::uint32_t tokens) const
{
    return { utils::fromSeconds(tokens * secondsPerToken()), utils::fromSeconds(m_base),
        utils::fromSeconds(m_deviation) };
}

} // namespace decisions
