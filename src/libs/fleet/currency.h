#pragma once

#include "capevidence.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace fleet {

/// Why a node is or is not current.
enum class currency_reason {
    Majority, ///< current: heard from a majority of the witnesses
    HeadRead, ///< current: no majority, but read the configuration's head revision itself
    NoList, ///< not current: has no VM list yet
    NoMajority, ///< not current: heard too few witnesses and has not read the head
    BehindConfiguration, ///< not current: knows of a newer revision than the one in force
    Count_
};

/// Returns the name for status pages, such as "no_majority". Thread safe.
std::string_view toString(currency_reason reason);

struct currency_options {
    utils::duration period = std::chrono::milliseconds(500); ///< probe period
    unsigned spareRounds = 5; ///< window = period * (log2 of the fleet size + spareRounds)
    utils::duration listLag = std::chrono::seconds(10); ///< how long nodes may have different VM lists
    share_rule rule = share_rule::Proportional;
    bool usesMajority = true; ///< disabled in tests that show why the majority is needed
    bool joinsLists = true; ///< counts replaced lists; disabled in tests that show why this is needed
};

/// Decides whether a node may serve requests. Evidence of a witness is the send time of a probe that the
/// witness answered, directly or through other nodes: it proves that there was no network partition and no
/// process pause in between. Evidence expires after the window T by this node's own clock, so a node that was
/// stopped is not current when it resumes, whatever datagrams are queued in its socket.
///
/// Guarantees and what they depend on:
///  - an accepted configuration is in force within seconds, and no revoked approval is served: isCurrent();
///    it needs a majority of the witnesses or a read of the head within T, and no newer revision that has
///    been known for longer than T;
///  - no server exceeds its bound during a network partition: capShare(); the sides of the partition hear
///    disjoint witnesses, so their shares add up to at most 1;
///  - at-most-once execution: depends on neither; its record is stored in the platform.
/// VM lists can differ between nodes for seconds: a replaced list counts until `listLag` after its
/// replacement, and the list with the weaker evidence decides. Witnesses that announced that they left are
/// not counted.
///
/// Not thread safe.
class currency {
public:
    currency(const utils::node_id& self, currency_options options);

    /// Sets the VM list of the region, which includes this node if it is listed.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    /// Records that a node was running at `at` or later. Nodes that are not witnesses are ignored.
    void onEvidence(wire::node_tag node, utils::time_point at);
    /// Records that a node announced that it left permanently.
    void onLeft(wire::node_tag node);
    /// Records that a node that left is back under the same name.
    void onBack(wire::node_tag node) { m_left.erase(node); }
    /// Records a successful read of the head that began at `startedAt`.
    void onHeadRead(utils::time_point startedAt);
    /// Sets the newest known configuration revision and the one in force.
    void onRevisions(utils::config_revision known, utils::config_revision inForce, utils::time_point now);

    bool isCurrent(utils::time_point now) const;
    /// Returns the share of each server's cap, 0 to 1, that the homes on this side of a network partition may
    /// use together.
    double capShare(utils::time_point now) const;
    /// Returns the evidence from which capShare() is computed.
    cap_evidence capEvidence(utils::time_point now) const;
    currency_reason reason(utils::time_point now) const;
    bool hasMajority(utils::time_point now) const;
    /// Returns T, the time for which evidence is valid.
    utils::duration window() const { return m_window; }
    /// Returns the nodes whose evidence counts at `now`.
    std::set<wire::node_tag> witnesses(utils::time_point now) const;
    /// Returns each witness heard within T and the time, to be passed on to other nodes.
    std::vector<std::pair<wire::node_tag, utils::time_point>> fresh(utils::time_point now) const;
    /// Returns the number of witness lists kept: the one in force and replaced ones.
    std::size_t listCount() const { return m_lists.size(); }

private:
    struct counted_list {
        witness_set witnesses;
        utils::time_point replacedAt = utils::time_point::max();
    };
    struct witness_count {
        std::size_t heard = 0;
        std::size_t total = 0;
    };

    bool isCounted(const counted_list& list, utils::time_point now) const;
    bool isFresh(wire::node_tag node, utils::time_point now) const;
    witness_count count(const counted_list& list, utils::time_point now) const;

    wire::node_tag m_self;
    currency_options m_options;
    std::vector<counted_list> m_lists; ///< the last list is in force
    std::map<wire::node_tag, utils::time_point> m_heard;
    std::set<wire::node_tag> m_left;
    utils::duration m_window {};
    utils::time_point m_headReadAt = utils::time_point::min();
    utils::time_point m_behindSince = utils::time_point::max();
};

} // namespace fleet
