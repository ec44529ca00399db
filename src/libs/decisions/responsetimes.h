#pragma once

#include "urgency.h"

#include "utils/time.h"

#include <array>
#include <cstdint>

namespace decisions {

/// Forecast of the time from sending a request to the first event or byte of its answer.
struct response_forecast {
    utils::duration prefill {}; ///< prefill of the prompt tokens that the server processes before
    utils::duration base {}; ///< everything else; for a plain service the work itself
    utils::duration deviation {}; ///< mean absolute error of past forecasts

    utils::duration expected() const { return prefill + base; }
    /// Hardly any answer begins later: a longer wait indicates a fault.
    utils::duration latest() const { return 2 * prefill + base + 4 * deviation; }
};

/// Estimates how fast the backend servers of one service answer, from the answers that this node relays.
///
/// Load: engines of any speed. An engine that prefills a long prompt and runs nothing else sends nothing
/// until the prefill is finished. With a timeout that suits fast engines, slow ones are treated as failed
/// during the prefill, the prompt is started again on another engine, and no engine ever finishes it. Also
/// servers without a free slot, where a request waits for those before it; engines take more urgent requests
/// first. Not thread safe.
class response_times {
public:
    /// Assumed prefill speed of an engine before any answers were measured.
    static constexpr double initialTokensPerSecond = 25000;
    /// Assumed base time and deviation before any answers were measured.
    static constexpr utils::duration initialBase = std::chrono::milliseconds(20);

    /// Assumed time that a request occupies a slot, before any answers were measured.
    static constexpr utils::duration initialOccupancy = std::chrono::milliseconds(100);
    static constexpr utils::duration initialStreamOccupancy = std::chrono::seconds(1);

    explicit response_times(utils::duration occupancy = initialOccupancy)
        : m_occupancy(utils::toSeconds(occupancy))
    {
    }

    /// Records that an answer began after `elapsed`. `tokens`: prompt tokens that the server prefilled
    /// before, as far as known. Precondition: the request did not wait for a slot.
    void recordFirstByte(std::uint32_t tokens, utils::duration elapsed);

    /// Records that a request of that urgency has occupied a slot for the time `occupied`.
    void recordOccupancy(int urgency, utils::duration occupied);

    /// Forecast for an answer before which `tokens` prompt tokens are prefilled.
    response_forecast forecast(std::uint32_t tokens) const;
    /// Prefill time of one token.
    double secondsPerToken() const { return m_tokenSeconds / m_tokenSquares; }
    /// Mean time that a request occupies a slot, in seconds.
    double occupancySeconds() const { return m_occupancy; }
    /// Returns how long a request of that urgency waits for a slot on a server with `slots` slots to which
    /// `requests` were sent before it. Less urgent requests leave some slots to more urgent ones: otherwise
    /// each urgent request interrupts a running one. `fill`: work that is offered to the service, as a
    /// multiple of what its servers can do; more urgent requests that come later go before this one.
    utils::duration slotWait(unsigned requests, unsigned slots, int urgency, double fill = 0) const;

private:
    // Weighted sums of a linear regression of time over tokens with m_base as intercept. A sample's weight
    // decays with the tokens of later samples, so that many short prompts do not displace the long ones.
    static constexpr double initialWeightTokens = 3000; ///< tokens
    double m_tokenSquares = initialWeightTokens * initialWeightTokens;
    double m_tokenSeconds = initialWeightTokens * initialWeightTokens / initialTokensPerSecond;
    double m_base = utils::toSeconds(initialBase);
    double m_deviation = utils::toSeconds(initialBase);
    double m_occupancy;
    std::array<double, urgencyLevels> m_slotSeconds {}; ///< recent slot time, by urgency
};

} // namespace decisions
