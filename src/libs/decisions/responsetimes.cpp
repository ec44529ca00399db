#include "responsetimes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace decisions {

namespace {

constexpr double decayTokens = 200000; // a sample's weight falls by 63 % in this number of prefilled tokens
constexpr std::uint32_t minSampleTokens = 500; // with fewer tokens the base time outweighs the prefill
constexpr double baseSmoothing = 1.0 / 32; // weight of a new sample in the averages of base and deviation
constexpr double occupancySmoothing = 1.0 / 64; // answer lengths of one service vary by a factor of 100
constexpr unsigned slotsPerReserved = 8; // one of these slots is reserved for more urgent work
constexpr double slotTimeDecay = 1 - 1.0 / 256; // per request, of the slot time by urgency

// More urgent requests that arrive while another waits go before it; bounds their share of the slots.
constexpr double maxOvertaking = 0.8;

} // namespace

void response_times::recordFirstByte(std::uint32_t tokens, utils::duration elapsed)
{
    const double seconds = utils::toSeconds(elapsed);
    const double prefilled = tokens;
    m_deviation
        += baseSmoothing * (std::abs(seconds - utils::toSeconds(forecast(tokens).expected())) - m_deviation);
    if (tokens >= minSampleTokens) {
        const double decay = std::exp(-prefilled / decayTokens);
        m_tokenSquares = decay * m_tokenSquares + prefilled * prefilled;
        m_tokenSeconds = decay * m_tokenSeconds + prefilled * std::max(0.0, seconds - m_base);
    }
    m_base += baseSmoothing * (std::max(0.0, seconds - prefilled * secondsPerToken()) - m_base);
}

response_forecast response_times::forecast(std::uint32_t tokens) const
{
    return { utils::fromSeconds(tokens * secondsPerToken()), utils::fromSeconds(m_base),
        utils::fromSeconds(m_deviation) };
}

void response_times::recordOccupancy(int urgency, utils::duration occupied)
{
    const double seconds = utils::toSeconds(occupied);
    m_occupancy += occupancySmoothing * (seconds - m_occupancy);
    for (double& slotTime : m_slotSeconds)
        slotTime *= slotTimeDecay;
    m_slotSeconds[urgencyIndex(urgency)] += seconds;
}

utils::duration response_times::slotWait(unsigned requests, unsigned slots, int urgency, double fill) const
{
    const auto own = m_slotSeconds.begin() + urgencyIndex(urgency);
    const double moreUrgent = std::accumulate(m_slotSeconds.begin(), own, 0.0);
    const unsigned usable = moreUrgent > 0 ? slots - slots / slotsPerReserved : slots;
    if (requests < usable || slots == 0)
        return utils::duration::zero();
    const double all = std::accumulate(own, m_slotSeconds.end(), moreUrgent);
    const double ahead = all > 0 ? (moreUrgent + *own) / all : 1;
    const double overtaking = all > 0 ? std::min(std::min(fill, 1.0) * moreUrgent / all, maxOvertaking) : 0;
    return utils::fromSeconds(ahead * (requests + 1 - usable) * m_occupancy / slots / (1 - overtaking));
}

} // namespace decisions
