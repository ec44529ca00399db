#pragma once

#include "urgency.h"

#include "utils/time.h"

#include <array>
#include <cstdint>

namespace decisions {

/// When the first event or byte of an answer is expected, counted from the sending of its request.
struct response_forecast {
    utils::duration prefill {}; ///< of the prompt tokens that the server reads before
    utils::duration base {}; ///< everything else; of a plain service the work itself
    utils::duration deviation {}; ///< mean absolute error of past forecasts

    utils::duration expected() const { return prefill + base; }
    /// Hardly any answer begins later: what takes longer is a sign of a fault.
    utils::duration latest() const { return 2 * prefill + base + 4 * deviation; }
};

/// How fast the backend servers of one service answer, learned from the answers that pass by.
///
/// Load: engines of any speed. An engine that reads a long prompt alone says nothing until it is read: with
/// a limit fit for fast engines, slow ones are taken for dark in the middle of it, the prompt is begun anew
/// elsewhere, and no engine ever ends it. And servers without a free slot, where a request waits for those
/// before it: engines take the more urgent first. Not thread safe.
class response_times {
public:
    /// Until answers have come, an engine is taken to read so many tokens a second.
    static constexpr double initialTokensPerSecond = 25000;
    /// Until answers have come, this long for all but reading, and as the deviation.
    static constexpr utils::duration initialBase = std::chrono::milliseconds(20);

    /// Until answers have come, a request is taken to occupy a slot for so long.
    static constexpr utils::duration initialOccupancy = std::chrono::milliseconds(100);
    static constexpr utils::duration initialStreamOccupancy = std::chrono::seconds(1);

    explicit response_times(utils::duration occupancy = initialOccupancy)
        : m_occupancy(utils::toSeconds(occupancy))
    {
    }

    /// An answer began after `elapsed`, with `tokens` of prompts read before by the server as far as known.
    /// Precondition: the request did not wait for a slot.
    void recordFirstByte(std::uint32_t tokens, utils::duration elapsed);

    /// A request of that urgency has occupied a slot for so long.
    void recordOccupancy(int urgency, utils::duration occupied);

    /// With so many tokens to be read before the answer.
    response_forecast forecast(std::uint32_t tokens) const;
    double secondsPerToken() const { return m_tokenSeconds / m_tokenSquares; }
    /// How long a request occupies a slot, on average.
    double occupancySeconds() const { return m_occupancy; }
    /// How long a request of that urgency waits for a slot where so many have been sent before it. What is
    /// less urgent than other work leaves it some slots: else each urgent request interrupts one that runs.
    utils::duration slotWait(unsigned requests, unsigned slots, int urgency) const;

private:
    // Weighted sums of a regression of time over tokens through the base. Older samples lose weight with
    // the tokens that later ones read, so short prompts do not wash out what long ones have told.
    static constexpr double initialWeightTokens = 3000; ///< tokens
    double m_tokenSquares = initialWeightTokens * initialWeightTokens;
    double m_tokenSeconds = initialWeightTokens * initialWeightTokens / initialTokensPerSecond;
    double m_base = utils::toSeconds(initialBase);
    double m_deviation = utils::toSeconds(initialBase);
    double m_occupancy;
    std::array<double, urgencyLevels> m_slotSeconds {}; ///< slot time taken of late, by urgency
};

} // namespace decisions
