#pragma once

#include "actions.h"
#include "draftrecord.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <array>
#include <cstdint>
#include <set>
#include <vector>

namespace operations {

/// Rate of the scans; docs/design/drafts.md gives the reasons.
struct scan_settings {
    utils::duration interval = std::chrono::seconds(2); ///< scan interval of a shard's node of rank 0
    unsigned slowdown = 4; ///< factor by which the interval grows with each further rank
    unsigned ranks = 3; ///< number of nodes that scan a shard
};

/// One shard that is due for a scan; the transaction reads its markers and claims.
struct scan_shard {
    unsigned shard = 0;
    keyvalue::kv_transaction transaction;
};

/// Finds waiting drafts without a claim: their worker has died, or the accepting node had no capacity.
///
/// Rendezvous hashing over the node's view of the fleet picks three nodes for each of the 16 shards. The
/// first scans every 2 s; the others less often, in case the first is wrongly seen as alive. Nodes whose
/// views disagree only scan a shard twice, which is harmless because claims use compare-and-swap.
///
/// Load: restarts of nodes. Without ranks, 400 nodes would read all markers every 2 s: 3,200 reads per
/// second, while the platform serves 2,000. With ranks only the 16 shards are scanned, independent of the
/// fleet's size. Not thread safe.
class draft_scanner {
public:
    explicit draft_scanner(utils::node_id self, const scan_settings& settings = {})
        : m_self(std::move(self))
        , m_settings(settings)
    {
    }

    /// The shards that are due for a scan; `nodes` are those seen as alive. Call it a few times per second.
    std::vector<scan_shard> dueScans(const std::vector<utils::node_id>& nodes, utils::time_point now);
    /// The unclaimed slots in a scan's reply, at most `maxCount`; `running` are the slots that already run
    /// here.
    static std::vector<unsigned> adoptable(
        const keyvalue::kv_reply& reply, const std::set<unsigned>& running, std::size_t maxCount);
    /// Rank of `self` among `nodes` for the shard, from 0. Thread safe.
    static std::size_t rankOf(
        const utils::node_id& self, const std::vector<utils::node_id>& nodes, unsigned shard);

private:
    utils::node_id m_self;
    scan_settings m_settings;
    std::array<utils::time_point, draftShards> m_lastRankCheck {};
    std::array<utils::time_point, draftShards> m_lastScan {};
};

} // namespace operations
