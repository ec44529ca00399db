#include "responsetimes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace decisions {

namespace {

constexpr double memoryTokens = 200000; // after so many tokens read a sample has lost 63% of its weight
constexpr std::uint32_t leastTokens = 500; // fewer tell more of the base than of the reading
constexpr double gain = 1.0 / 32; // of a new sample in the averages of base and deviation
constexpr double occupancyGain = 1.0 / 64; // answers of one service differ by a hundred times in length
constexpr unsigned reservedPart = 8; // one in so many slots is left to more urgent work
constexpr double workKept = 1 - 1.0 / 256; // of the work counted, with each request

} // namespace

void response_times::recordFirstByte(std::uint32_t tokens, utils::duration elapsed)
{
    const double seconds = utils::toSeconds(elapsed);
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

void response_times::recordOccupancy(int urgency, utils::duration occupied)
{
    const double seconds = utils::toSeconds(occupied);
    m_occupancy += occupancyGain * (seconds - m_occupancy);
    for (double& work : m_slotSeconds)
        work *= workKept;
    m_slotSeconds[urgencyIndex(urgency)] += seconds;
}

utils::duration response_times::slotWait(unsigned requests, unsigned slots, int urgency) const
{
    const auto own = m_slotSeconds.begin() + urgencyIndex(urgency);
    const double moreUrgent = std::accumulate(m_slotSeconds.begin(), own, 0.0);
    const unsigned usable = moreUrgent > 0 ? slots - slots / reservedPart : slots;
    if (requests < usable || slots == 0)
        return utils::duration::zero();
    const double all = std::accumulate(own, m_slotSeconds.end(), moreUrgent);
    const double ahead = all > 0 ? (moreUrgent + *own) / all : 1;
    return utils::fromSeconds(ahead * (requests + 1 - usable) * m_occupancy / slots);
}

} // namespace decisions
