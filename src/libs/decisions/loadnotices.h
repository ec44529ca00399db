#pragma once

#include "serverchoice.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace decisions {

/// Decides which reports of engines on their own load a node passes on to all nodes.
///
/// Load: hundreds of nodes, each of which hears the requests of one peer in six. An engine that has just told
/// one node that it is full looks nearly idle to the others, whose requests for the parts that it holds go on
/// to it. Each node that gets a high report tells all others, unless one of them has done so a moment before.
/// Not thread safe.
class load_notices {
public:
    /// Time between two notices of an engine: a third of the lifetime of a report.
    static constexpr utils::duration interval = server_loads::reportLifetime / 3;
    /// Notices of this node within `interval`.
    static constexpr std::size_t maxNotices = 4;

    /// Whether to tell all nodes that the engine has reported so many requests. `view`: the bound at this
    /// node's last choice. Records the notice if so.
    bool mustTell(const utils::server_id& server, std::uint32_t requests, const bound_view& view,
        utils::time_point now);
    /// Records that a peer has told of the engine.
    void heard(const utils::server_id& server, utils::time_point now) { m_toldAt[server] = now; }
    /// Forgets notices that no longer count.
    void expire(utils::time_point now);
    std::size_t size() const { return m_toldAt.size(); }

private:
    std::unordered_map<utils::server_id, utils::time_point> m_toldAt; ///< by any node
    utils::time_point m_countedFrom {};
    std::size_t m_counted = 0; ///< notices of this node since then
};

} // namespace decisions
