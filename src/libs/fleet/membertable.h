#pragma once

#include "member.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace fleet {

/// The other nodes and what is believed of each, after SWIM's rules: a higher incarnation wins, and at
/// the same incarnation the worse news does. Only a node itself raises its incarnation, so that it can
/// refute a false suspicion and nobody else can revive it. Not thread safe.
class member_table {
public:
    using member_map = std::map<utils::node_id, member>;

    /// Takes the VM list without this node. Nodes no longer listed stay until they are dead or left.
    void setListed(const std::vector<listed_vm>& list, utils::time_point now);
    /// Takes news of another node; whether it changed anything, so that it should be passed on.
    bool apply(const wire::member_update& update, utils::time_point now);
    /// Takes the state of a member that is known by its tag; unknown ones are skipped.
    bool apply(const wire::member_brief& brief, utils::time_point now);
    /// A member that is not live was reached by someone at that time: it is silent since then at most.
    void noteHeard(const utils::node_id& id, utils::time_point at);
    /// Erases nodes that are dead or left, not listed, and silent for `keep`.
    void forgetOld(utils::time_point now, utils::duration keep);

    const member_map& all() const { return m_members; }
    /// Null when unknown. The pointer holds until the member is forgotten.
    member* find(const utils::node_id& id);
    const member* find(const utils::node_id& id) const;
    const member* find(wire::node_tag tag) const;
    /// Members that may be at work, without this node.
    std::size_t liveCount() const;
    /// Grows whenever the set of live members or of possible homes may have changed.
    std::uint64_t version() const { return m_version; }

private:
    void setState(member& m, member_state state, std::uint32_t incarnation, utils::time_point now);
    member& insert(const utils::node_id& id, utils::time_point now);

    member_map m_members;
    std::unordered_map<wire::node_tag, utils::node_id> m_byTag;
    std::uint64_t m_version = 0;
};

} // namespace fleet
