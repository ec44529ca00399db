#pragma once

#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace decisions {

/// Forecasts the work of requests of one service: the time that each holds a slot after its prompt has been
/// read.
///
/// Load: kinds of requests that differ in length by a factor of ten and more, and callers' hints that are
/// right in the median and wrong by ten times now and then. A hint counts as far as hints of that route have
/// been right so far. Not thread safe.
class request_work {
public:
    /// Routes that are told apart; others count as one.
    static constexpr std::size_t maxRoutes = 256;
    /// Finished requests from which a route's mean is taken.
    static constexpr double memory = 64;
    /// Bounds of what a hint changes.
    static constexpr double maxHintFactor = 4;

    /// `initial`: work that is assumed before any request has finished.
    explicit request_work(utils::duration initial)
        : m_initial(utils::toSeconds(initial))
    {
    }

    /// Records that a request of the route has held a slot for that time. `hint`: output tokens as the caller
    /// has estimated them.
    void record(const std::string& route, std::optional<std::uint32_t> hint, utils::duration work);
    /// Returns the forecast, in seconds.
    double forecast(const std::string& route, std::optional<std::uint32_t> hint) const;

private:
    struct route_work {
        double requests = 0; ///< that have finished, decayed
        double seconds = 0; ///< their work, summed
        // Sums over those with a hint, of logarithms of hint and work.
        double hinted = 0;
        double hints = 0;
        double works = 0;
        double hintSquares = 0;
        double products = 0;
    };
    const route_work* find(const std::string& route) const;
    static double hintFactor(const route_work& route, std::uint32_t hint);

    double m_initial;
    std::unordered_map<std::string, route_work> m_routes;
    route_work m_others; ///< routes that are not told apart
};

} // namespace decisions
