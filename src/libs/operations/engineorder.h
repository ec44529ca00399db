#pragma once

#include "utils/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace operations {

/// What an engine does with the requests it gets.
enum class engine_role {
    Mixed, ///< prompts and tokens
    Prefill,
    Decode
};

/// What an engine runs, or is to run.
struct engine_setup {
    std::string model;
    std::string version;
    std::set<std::string> adapters;
    engine_role role = engine_role::Mixed;

    bool operator==(const engine_setup&) const = default;
};

/// Setups by engine.
using engine_setups = std::map<utils::server_id, engine_setup>;

/// One order. It states the whole wanted outcome, so that a repeat is harmless.
struct engine_order {
    utils::server_id server;
    std::int64_t fencingNumber = 0; ///< revision of the placer's claim: grows with each holder
    engine_setup wanted;
};

/// Moves the KV cache of one prompt prefix: export at `from`, import at `to`. A repeat is harmless.
struct cache_move {
    std::uint64_t prefix = 0;
    utils::server_id from;
    utils::server_id to;
};

/// A prefix in an engine's cache with its recent hits.
struct hot_prefix {
    std::uint64_t prefix = 0;
    double hits = 0;
};

/// Whether the order makes the engine fetch from the weight store. Thread safe.
bool needsWeights(const engine_setup& running, const engine_setup& wanted);
/// The engines that run something else than wanted. Engines that could not be read are left out: nothing is
/// known about them, and a flapping engine must not be ordered blindly. Thread safe.
std::vector<utils::server_id> differing(const engine_setups& wanted, const engine_setups& running);
/// Where a leaving engine's hottest prefixes go: each to its first engine by rendezvous hashing, as the
/// chats that come back are placed. At most `most` moves, hottest first. Thread safe.
std::vector<cache_move> cacheMovesFor(const utils::server_id& leaving, std::vector<hot_prefix> prefixes,
    const std::vector<utils::server_id>& staying, std::size_t most);

} // namespace operations
