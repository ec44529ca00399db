#pragma once

#include <limits>

namespace decisions {

/// Mean load of a pool's servers.
struct mean_load {
    double perSlot = 0; ///< requests in flight per slot, over the pool
    double totalSlots = 0; ///< sum of slots x ramp-up over the pool's servers; 0: not known yet
    /// Lowest perSlot of the last seconds, see load_view::observe.
    double lowestPerSlot = std::numeric_limits<double>::infinity();
};

/// Limit of a server's load relative to the pool's mean. From the pool's `loadBound` (c).
struct load_bound {
    double multiple = 1.25; ///< c
    /// Fraction of c - 1 that a chat without a cached prefix may use. The rest is reserved for returning
    /// chats: a new chat loses nothing on another server, a returning one loses its whole prefix.
    double newChatShare = 0.25;
};

/// Returns the maximum number of in-flight requests of a server, including the request to be admitted:
/// max(1, floor(c x slots x lowest mean), ceil(slots x mean)), where the means include the new request.
///
/// The multiple applies to the lowest mean of the last seconds: requests that a short burst admits above the
/// mean still run when the burst is over, and the server would then be above c x mean. Up to the current mean
/// a server always admits, so that a burst never waits while a server is below the mean.
///
/// `slots`: the server's slots x ramp-up, so that a joining server lowers the mean in steps. At full weight
/// at once it would put the others above c x mean without any request admitted.
///
/// The ceil handles small loads: if there is no whole number of requests between mean and c x mean, the floor
/// alone would refuse request n + 1 of n equal servers forever; one server with the next whole request above
/// the mean is the best that any placement can achieve. From a mean of 1 / (c - 1) requests per server on,
/// the floor applies. Thread safe.
unsigned boundedLoad(double multiple, double slots, const mean_load& mean);

/// Returns the multiple that applies to a request: c for a chat whose prefix the server holds, less for a new
/// chat. Thread safe.
double multipleFor(const load_bound& bound, bool holdsCache);

} // namespace decisions
