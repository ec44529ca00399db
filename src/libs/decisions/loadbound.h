#pragma once

#include <limits>

namespace decisions {

/// Mean load of a pool's servers in its parts.
struct mean_load {
    double perSlot = 0; ///< requests in flight per slot, over the pool
    double totalSlots = 0; ///< slots x ramp-up of all servers of the pool; 0: nothing known yet
    /// The lowest perSlot of the last seconds, see load_view::observe.
    double lowestPerSlot = std::numeric_limits<double>::infinity();
};

/// How far above the mean a pool's server may go. From the pool's `loadBound` (c).
struct load_bound {
    double multiple = 1.25; ///< c
    /// Part of c - 1 that a chat without cached prefix may use. The rest is kept for returning chats: a new
    /// chat loses nothing by going elsewhere, a returning one loses its whole prefix.
    double newChatShare = 0.25;
};

/// Most requests that a server may have in flight, the one to be admitted included:
/// max(1, floor(c x slots x lowest mean), ceil(slots x mean)), the mean counting the new request. The
/// multiple applies to the lowest mean of the last seconds: what a short burst lets in above the mean stays
/// when the burst is over, and would then stand above c x mean. Up to the present mean a server always
/// admits, so that a burst never waits while a server is below it. `slots`: the server's slots x ramp-up, so
/// that a joining server lowers the mean step by step: at full weight at once it would push the others above
/// c x mean without one request admitted. The ceil is the rounding at small loads: where c x mean holds no
/// whole request more than the mean, a plain floor would refuse request n + 1 of n equal servers for ever;
/// the next whole request above the mean is the least that any placement can reach. From a mean of 1 / (c -
/// 1) requests a server on, the floor rules. Thread safe.
unsigned boundedLoad(double multiple, double slots, const mean_load& mean);

/// The multiple that applies to a request: c for a chat whose prefix the server holds, less for a new one.
/// Thread safe.
double multipleFor(const load_bound& bound, bool holdsCache);

} // namespace decisions
