#include "membertable.h"

#include <algorithm>

namespace fleet {

namespace {

/// Alive and Leaving have the same rank: a leaving node announces it with a higher incarnation.
int rankOf(member_state state)
{
    switch (state) {
    case member_state::Listed:
    case member_state::Count_:
        return -1;
    case member_state::Alive:
    case member_state::Leaving:
        return 0;
    case member_state::Suspect:
        return 1;
    case member_state::Dead:
        return 2;
    case member_state::Left:
        return 3;
    }
    return -1;
}

bool overrides(member_state state, std::uint32_t incarnation, const member& m)
{
    if (rankOf(state) < 0)
        return false;
    if (m.state == member_state::Listed)
        return true;
    if (incarnation != m.incarnation)
        return incarnation > m.incarnation;
    return rankOf(state) > rankOf(m.state);
}

} // namespace

void member_table::setListed(const std::vector<listed_vm>& list, utils::time_point now)
{
    for (auto& [id, m] : m_members) {
        m.isListed = false;
        m.isListedLeaving = false;
    }
    for (const listed_vm& vm : list) {
        const bool isNew = !m_members.contains(vm.id);
        member& m = isNew ? insert(vm.id, now) : m_members.at(vm.id);
        m.isListed = true;
        m.isListedLeaving = vm.isLeaving;
        m.address = vm.address;
        m.dataCentre = vm.dataCentre;
    }
    std::erase_if(m_members, [](const auto& entry) {
        return !entry.second.isListed && entry.second.state == member_state::Listed;
    });
    ++m_version;
}

bool member_table::apply(const wire::member_update& update, utils::time_point now)
{
    member* known = find(update.id);
    if (known == nullptr) {
        // An update that an unknown node failed is of no use, and a member without an address is unreachable.
        if (update.address.empty() || rankOf(update.state) != 0)
            return false;
        known = &insert(update.id, now);
    }
    if (!overrides(update.state, update.incarnation, *known))
        return false;
    if (!update.address.empty())
        known->address = update.address;
    if (!update.dataCentre.empty())
        known->dataCentre = utils::data_centre_id(update.dataCentre);
    setState(*known, update.state, update.incarnation, now);
    return true;
}

bool member_table::apply(const wire::member_brief& brief, utils::time_point now)
{
    const auto id = m_byTag.find(brief.node);
    if (id == m_byTag.end())
        return false;
    member* known = find(id->second);
    if (known == nullptr || !overrides(brief.state, brief.incarnation, *known))
        return false;
    setState(*known, brief.state, brief.incarnation, now);
    return true;
}

void member_table::noteHeard(const utils::node_id& id, utils::time_point at)
{
    member* m = find(id);
    if (m == nullptr || m->isLive() || at <= m->silentSince)
        return;
    m->silentSince = at;
    ++m_version;
}

void member_table::forgetOld(utils::time_point now, utils::duration keep)
{
    const auto isOld
        = [&](const member& m) { return !m.isListed && !m.isLive() && now - m.stateSince > keep; };
    std::erase_if(m_byTag, [&](const auto& entry) {
        const member* m = find(entry.second);
        return m == nullptr || isOld(*m);
    });
    std::erase_if(m_members, [&](const auto& entry) { return isOld(entry.second); });
}

member* member_table::find(const utils::node_id& id)
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

const member* member_table::find(const utils::node_id& id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

const member* member_table::find(wire::node_tag tag) const
{
    const auto id = m_byTag.find(tag);
    return id == m_byTag.end() ? nullptr : find(id->second);
}

std::size_t member_table::liveCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_members, [](const auto& entry) { return entry.second.isLive(); }));
}

void member_table::setState(member& m, member_state state, std::uint32_t incarnation, utils::time_point now)
{
    if (state == member_state::Suspect || (state == member_state::Dead && m.isLive()))
        m.silentSince = m.state == member_state::Suspect ? m.silentSince : now;
    const bool wasLive = m.isLive();
    m.state = state;
    if (!wasLive && m.isLive())
        m.liveSince = now;
    m.incarnation = incarnation;
    m.stateSince = now;
    ++m_version;
}

member& member_table::insert(const utils::node_id& id, utils::time_point now)
{
    member m;
    m.id = id;
    m.tag = wire::tagOf(id);
    m.stateSince = now;
    m.silentSince = now;
    m_byTag[m.tag] = id;
    return m_members.emplace(id, std::move(m)).first->second;
}

} // namespace fleet
