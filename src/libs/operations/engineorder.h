#pragma once

#include "utils/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace operations {

/// Which phases of a request an engine runs.
enum class engine_role {
    Mixed, ///< prefill and decode
    Prefill,
    Decode
};

/// Configuration that an engine runs or should run.
struct engine_setup {
    std::string model;
    std::string version;
    std::set<std::string> adapters;
    engine_role role = engine_role::Mixed;

    bool operator==(const engine_setup&) const = default;
};

/// Setups by engine.
using engine_setups = std::map<utils::server_id, engine_setup>;

/// An order to an engine. It states the complete wanted setup, so repeating it is harmless.
struct engine_order {
    utils::server_id server;
    std::int64_t fencingNumber = 0; ///< revision of the placer's claim; increases with each holder
    engine_setup wanted;
};

/// Moves the KV cache of one prompt prefix: export at `from`, import at `to`. Repeating it is harmless.
struct cache_move {
    std::uint64_t prefix = 0;
    utils::server_id from;
    utils::server_id to;
};

/// A prefix in an engine's cache and its number of recent cache hits.
struct hot_prefix {
    std::uint64_t prefix = 0;
    double hits = 0;
};

/// Whether changing from `running` to `wanted` makes the engine fetch from the weight store. Thread safe.
bool needsWeights(const engine_setup& running, const engine_setup& wanted);
/// The engines whose running setup differs from the wanted one. Engines that could not be read are left out:
/// their setup is unknown, and a flapping engine must not get orders without it. Thread safe.
std::vector<utils::server_id> enginesToOrder(const engine_setups& wanted, const engine_setups& running);
/// Cache moves for the hottest prefixes of a leaving engine. Each prefix goes to its first engine by
/// rendezvous hashing, where returning chats are routed too. At most `most` moves, hottest first. Thread
/// safe.
std::vector<cache_move> cacheMovesFor(const utils::server_id& leaving, std::vector<hot_prefix> prefixes,
    const std::vector<utils::server_id>& staying, std::size_t most);

} // namespace operations
