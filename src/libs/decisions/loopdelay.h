#pragma once

#include "utils/time.h"

#include <array>
#include <cstddef>

namespace decisions {

/// Estimates how long a request waits in this node's own event loop.
///
/// Load: most nodes of a data centre restart, and the callers of all of them reach one small VM. Its loop
/// then takes hundreds of ms for one iteration, and a request needs several iterations. Without a limit, the
/// node accepts everything, each request that it adds makes all others later, and callers are answered after
/// their time limits. The estimate lets load_shedder refuse what would be answered too late. A single long
/// iteration, such as decoding a large configuration, is over when it is noticed; only a delay that all
/// recent samples show is a queue. Not thread safe.
class loop_delay {
public:
    /// Samples that have to show a delay: two heartbeats, which come 60 to 250 ms apart.
    static constexpr std::size_t sampleCount = 2;
    /// Timers fire a few ms late on any VM; a shorter delay counts as none.
    static constexpr utils::duration minDelay = std::chrono::milliseconds(20);
    /// Iterations that a request passes until its answer begins: it waits for the running one, then come its
    /// own bytes, the connection to the server, the server's answer, and the write to the caller.
    static constexpr int iterationsPerRequest = 5;

    /// Records how late a timer fired.
    void record(utils::duration delay);
    /// The delay that all recent samples exceed; zero before there are enough samples.
    utils::duration standing() const;
    /// Forecast time that a request spends waiting in this loop until its answer begins.
    utils::duration perRequest() const { return standing() * iterationsPerRequest; }

private:
    std::array<utils::duration, sampleCount> m_samples {};
    std::size_t m_next = 0;
};

} // namespace decisions
