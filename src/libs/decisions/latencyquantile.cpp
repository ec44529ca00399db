#include "latencyquantile.h"

#include <algorithm>

namespace decisions {

latency_quantile::latency_quantile(std::size_t window)
    : m_window(window)
{
    m_samples.reserve(window);
}

void latency_quantile::add(utils::duration sample)
{
    if (m_samples.size() < m_window) {
        m_samples.push_back(sample);
        return;
    }
    m_samples[m_next] = sample;
    m_next = (m_next + 1) % m_window;
}

utils::duration latency_quantile::at(double q) const
{
    if (m_samples.empty())
        return {};
    std::vector<utils::duration> sorted = m_samples;
    const auto rank = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

} // namespace decisions
