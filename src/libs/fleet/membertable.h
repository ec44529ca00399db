#pragma once

#include "member.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace fleet {

/// State of the other nodes according to the rules of SWIM: a higher incarnation wins; at the same
/// incarnation the worse state wins. Only the node itself raises its incarnation, so it can refute a false
/// suspicion and no other node can revive it. Not thread safe.
class member_table {
public:
    using member_map = std::map<utils::node_id, member>;

    /// Sets the VM list, which excludes this node. Nodes no longer listed stay until they are dead or have
    /// left; those never heard are removed immediately.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    /// Applies an update about another node. Returns whether it changed anything and should be passed on.
    bool apply(const wire::member_update& update, utils::time_point now);
    /// Applies the state of a member identified by its tag; unknown tags are ignored. Returns whether it
    /// changed anything.
    bool apply(const wire::member_brief& brief, utils::time_point now);
    /// Records that another node reached a member that is not live here, which moves its silentSince forward
    /// to `at`.
    void noteHeard(const utils::node_id& id, utils::time_point at);
    /// Erases nodes that are not listed and have been dead or left for longer than `keep`.
    void forgetOld(utils::time_point now, utils::duration keep);

    const member_map& all() const { return m_members; }
    /// Returns null if unknown. The pointer is valid until the member is erased.
    member* find(const utils::node_id& id);
    const member* find(const utils::node_id& id) const;
    const member* find(wire::node_tag tag) const;
    /// Returns the number of live members, without this node.
    std::size_t liveCount() const;
    /// Returns a counter that increases whenever the set of live members or of possible homes may have
    /// changed.
    std::uint64_t version() const { return m_version; }

private:
    void setState(member& m, member_state state, std::uint32_t incarnation, utils::time_point now);
    member& insert(const utils::node_id& id, utils::time_point now);

    member_map m_members;
    std::unordered_map<wire::node_tag, utils::node_id> m_byTag;
    std::uint64_t m_version = 0;
};

} // namespace fleet
