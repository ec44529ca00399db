#pragma once

#include "capevidence.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace fleet {

/// Why a node is current, or is not.
enum class currency_reason {
    Majority, ///< current: heard a majority of the witnesses
    HeadRead, ///< current: no majority, but read the head of the configuration itself
    NoList, ///< has no VM list yet
    NoMajority, ///< heard too few witnesses, and has not read the head
    BehindConfiguration, ///< knows of a revision that it has not in force
    Count_
};

/// Name for status pages, e.g. "no_majority". Thread safe.
std::string_view toString(currency_reason reason);

struct currency_options {
    utils::duration period = std::chrono::milliseconds(500); ///< that of the probes
    unsigned spareRounds = 5; ///< window = period * (log2 of the fleet + these)
    utils::duration listLag = std::chrono::seconds(10); ///< nodes may disagree about the list for so long
    share_rule rule = share_rule::Proportional;
    bool usesMajority = true; ///< off in tests that prove what the majority is for
    bool joinsLists = true; ///< off in tests that prove what the earlier lists are for
};

/// When a node may act. Evidence of a witness is the time at which a probe left that the witness answered
/// afterwards, directly or through others: it proves that no cut and no pause lay between. Evidence ends
/// after the window T by this node's own clock, so a node that was stopped is not current when it goes on,
/// whatever datagrams wait in its socket.
///
/// Which promise rests on what:
///  - an accepted configuration is in force within seconds, and no revoked approval is served: isCurrent();
///    a majority of the witnesses, or a read of the head, within T, and no newer revision known for T;
///  - no server above its bound in a split: capShare(); disjoint islands hear disjoint witnesses, so the
///    shares of all islands add up to one at most;
///  - at most once: neither; its record is in the platform.
/// Lists disagree for seconds: an earlier list counts until `listLag` after it was replaced, and the
/// weaker of the two decides. Witnesses that said that they left are no longer counted.
///
/// Not thread safe.
class currency {
public:
    currency(const utils::node_id& self, currency_options options);

    /// Takes the VM list of the region, with this node if it is listed.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    /// A witness, or any other node, was at work at `at` or later.
    void onEvidence(wire::node_tag node, utils::time_point at);
    /// A node said that it left for good.
    void onLeft(wire::node_tag node);
    /// It is back under the same name.
    void onBack(wire::node_tag node) { m_left.erase(node); }
    /// A read of the head that began at `startedAt` was answered.
    void onHeadRead(utils::time_point startedAt);
    /// What this node knows of the configuration's revisions.
    void onRevisions(utils::config_revision known, utils::config_revision inForce, utils::time_point now);

    bool isCurrent(utils::time_point now) const;
    /// Which part of each server's cap the homes of this island may use together, 0 to 1.
    double capShare(utils::time_point now) const;
    /// What that share follows from.
    cap_evidence capEvidence(utils::time_point now) const;
    currency_reason reason(utils::time_point now) const;
    bool hasMajority(utils::time_point now) const;
    /// T: how long evidence holds.
    utils::duration window() const { return m_window; }
    /// The nodes whose evidence counts now.
    std::set<wire::node_tag> witnesses(utils::time_point now) const;
    /// What this node can pass on: each witness heard within T and when.
    std::vector<std::pair<wire::node_tag, utils::time_point>> fresh(utils::time_point now) const;
    /// Rough bytes of memory held. Thread safe.
    std::size_t listCount() const { return m_lists.size(); }

private:
    struct counted_list {
        witness_set witnesses;
        utils::time_point replacedAt = utils::time_point::max();
    };
    struct tally {
        std::size_t heard = 0;
        std::size_t of = 0;
    };

    bool counts(const counted_list& list, utils::time_point now) const;
    bool isFresh(wire::node_tag node, utils::time_point now) const;
    tally count(const counted_list& list, utils::time_point now) const;

    wire::node_tag m_self;
    currency_options m_options;
    std::vector<counted_list> m_lists; ///< the last one is in force
    std::map<wire::node_tag, utils::time_point> m_heard;
    std::set<wire::node_tag> m_left;
    utils::duration m_window {};
    utils::time_point m_headReadAt = utils::time_point::min();
    utils::time_point m_behindSince = utils::time_point::max();
};

} // namespace fleet
