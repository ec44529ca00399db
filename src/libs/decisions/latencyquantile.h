#pragma once

#include "utils/time.h"

#include <cstddef>
#include <vector>

namespace decisions {

/// Quantiles over the latest samples. Not thread safe.
class latency_quantile {
public:
    /// Precondition: window > 0.
    explicit latency_quantile(std::size_t window = 256);

    void add(utils::duration sample);
    /// Returns the q-quantile, 0 <= q <= 1; zero without samples.
    utils::duration at(double q) const;
    std::size_t count() const { return m_samples.size(); }

private:
    std::size_t m_window;
    std::size_t m_next = 0;
    std::vector<utils::duration> m_samples;
};

} // namespace decisions
