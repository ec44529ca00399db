#include "requestwork.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

constexpr double minSeconds = 1e-3; // shorter work is below the resolution of the measurement
constexpr double minHinted = 8; // requests with hints before these count
constexpr double minHintVariance = 1e-3; // of the logarithms; below it all hints are alike

} // namespace

void request_work::record(const std::string& route, std::optional<std::uint32_t> hint, utils::duration work)
{
    const auto found = m_routes.find(route);
    route_work& entry = found != m_routes.end() ? found->second
        : m_routes.size() < maxRoutes           ? m_routes[route]
                                                : m_others;
    constexpr double kept = 1 - 1 / memory;
    const double seconds = std::max(minSeconds, utils::toSeconds(work));
    entry.requests = kept * entry.requests + 1;
    entry.seconds = kept * entry.seconds + seconds;
    if (!hint || *hint == 0)
        return;
    const double logHint = std::log(static_cast<double>(*hint));
    const double logWork = std::log(seconds);
    entry.hinted = kept * entry.hinted + 1;
    entry.hints = kept * entry.hints + logHint;
    entry.works = kept * entry.works + logWork;
    entry.hintSquares = kept * entry.hintSquares + logHint * logHint;
    entry.products = kept * entry.products + logHint * logWork;
}

double request_work::forecast(const std::string& route, std::optional<std::uint32_t> hint) const
{
    const route_work* entry = find(route);
    if (entry == nullptr)
        return m_initial;
    const double mean = entry->seconds / entry->requests;
    return hint && *hint > 0 ? mean * hintFactor(*entry, *hint) : mean;
}

const request_work::route_work* request_work::find(const std::string& route) const
{
    const auto found = m_routes.find(route);
    if (found != m_routes.end())
        return &found->second;
    return m_routes.size() >= maxRoutes && m_others.requests > 0 ? &m_others : nullptr;
}

double request_work::hintFactor(const route_work& route, std::uint32_t hint)
{
    if (route.hinted < minHinted)
        return 1;
    const double meanHint = route.hints / route.hinted;
    const double variance = route.hintSquares / route.hinted - meanHint * meanHint;
    if (variance < minHintVariance)
        return 1;
    const double covariance = route.products / route.hinted - meanHint * (route.works / route.hinted);
    // How much longer requests with a longer hint were: not at all, up to in proportion.
    const double slope = std::clamp(covariance / variance, 0.0, 1.0);
    const double factor = std::exp(slope * (std::log(static_cast<double>(hint)) - meanHint));
    return std::clamp(factor, 1 / maxHintFactor, maxHintFactor);
}

} // namespace decisions
