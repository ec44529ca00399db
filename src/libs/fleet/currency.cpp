#include "currency.h"

#include <algorithm>
#include <array>
#include <bit>

namespace fleet {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(currency_reason::Count_)> reasonNames {
    "majority",
    "head_read",
    "no_list",
    "no_majority",
    "behind_configuration",
};

/// Bounds the history if the VM list flaps; the oldest lists are dropped first.
constexpr std::size_t maxLists = 8;

} // namespace

std::string_view toString(currency_reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

currency::currency(const utils::node_id& self, currency_options options)
    : m_self(wire::tagOf(self))
    , m_options(options)
{
}

void currency::setListed(const std::vector<listed_vm>& list, utils::time_point now)
{
    const unsigned rounds = static_cast<unsigned>(std::bit_width(list.size())) + m_options.spareRounds;
    m_window = rounds * m_options.period;
    witness_set witnesses = chooseWitnesses(list);
    if (!m_lists.empty() && m_lists.back().witnesses == witnesses)
        return;
    if (!m_lists.empty())
        m_lists.back().replacedAt = now;
    std::erase_if(m_lists, [&](const counted_list& old) { return !isCounted(old, now); });
    if (m_lists.size() >= maxLists)
        m_lists.erase(m_lists.begin());
    m_lists.push_back({ std::move(witnesses), utils::time_point::max() });
    const std::set<wire::node_tag> counted = this->witnesses(now);
    std::erase_if(m_heard, [&](const auto& entry) { return !counted.contains(entry.first); });
    std::erase_if(m_left, [&](wire::node_tag node) { return !counted.contains(node); });
}

void currency::onEvidence(wire::node_tag node, utils::time_point at)
{
    const bool isWitness = std::ranges::any_of(
        m_lists, [&](const counted_list& list) { return std::ranges::binary_search(list.witnesses, node); });
    if (!isWitness)
        return;
    const auto [entry, isNew] = m_heard.try_emplace(node, at);
    entry->second = std::max(entry->second, at);
}

void currency::onLeft(wire::node_tag node)
{
    m_left.insert(node);
}

void currency::onHeadRead(utils::time_point startedAt)
{
    m_headReadAt = std::max(m_headReadAt, startedAt);
}

void currency::onRevisions(
    utils::config_revision known, utils::config_revision inForce, utils::time_point now)
{
    if (known <= inForce)
        m_behindSince = utils::time_point::max();
    else
        m_behindSince = std::min(m_behindSince, now);
}

bool currency::isCurrent(utils::time_point now) const
{
    const currency_reason why = reason(now);
    return why == currency_reason::Majority || why == currency_reason::HeadRead;
}

double currency::capShare(utils::time_point now) const
{
    const cap_evidence all = capEvidence(now);
    return all.shareOf(all.heard);
}

cap_evidence currency::capEvidence(utils::time_point now) const
{
    cap_evidence result;
    result.rule = m_options.rule;
    for (const auto& [node, at] : m_heard) {
        if (node != m_self && isFresh(node, now))
            result.heard.push_back(node);
    }
    result.heard.insert(std::ranges::lower_bound(result.heard, m_self), m_self);
    for (const counted_list& list : m_lists) {
        if (!isCounted(list, now))
            continue;
        witness_set remaining = list.witnesses;
        std::erase_if(remaining, [&](wire::node_tag node) { return m_left.contains(node); });
        result.lists.push_back(std::move(remaining));
    }
    return result;
}

currency_reason currency::reason(utils::time_point now) const
{
    if (m_lists.empty())
        return currency_reason::NoList;
    if (m_behindSince != utils::time_point::max() && now - m_behindSince > m_window)
        return currency_reason::BehindConfiguration;
    if (hasMajority(now))
        return currency_reason::Majority;
    const bool isHeadReadFresh = m_headReadAt != utils::time_point::min() && now - m_headReadAt <= m_window;
    return isHeadReadFresh ? currency_reason::HeadRead : currency_reason::NoMajority;
}

bool currency::hasMajority(utils::time_point now) const
{
    if (!m_options.usesMajority)
        return !m_lists.empty();
    return !m_lists.empty() && std::ranges::all_of(m_lists, [&](const counted_list& list) {
        const witness_count t = count(list, now);
        return !isCounted(list, now) || t.total == 0 || 2 * t.heard > t.total;
    });
}

std::set<wire::node_tag> currency::witnesses(utils::time_point now) const
{
    std::set<wire::node_tag> all;
    for (const counted_list& list : m_lists) {
        if (isCounted(list, now))
            all.insert(list.witnesses.begin(), list.witnesses.end());
    }
    return all;
}

std::vector<std::pair<wire::node_tag, utils::time_point>> currency::fresh(utils::time_point now) const
{
    std::vector<std::pair<wire::node_tag, utils::time_point>> list;
    for (const auto& [node, at] : m_heard) {
        if (node != m_self && isFresh(node, now))
            list.emplace_back(node, at);
    }
    const std::set<wire::node_tag> counted = witnesses(now);
    if (counted.contains(m_self))
        list.emplace_back(m_self, now);
    return list;
}

bool currency::isCounted(const counted_list& list, utils::time_point now) const
{
    if (list.replacedAt == utils::time_point::max())
        return true;
    return m_options.joinsLists && now - list.replacedAt < m_options.listLag;
}

bool currency::isFresh(wire::node_tag node, utils::time_point now) const
{
    if (node == m_self)
        return true;
    const auto heard = m_heard.find(node);
    return heard != m_heard.end() && now - heard->second <= m_window;
}

currency::witness_count currency::count(const counted_list& list, utils::time_point now) const
{
    witness_count t;
    for (const wire::node_tag node : list.witnesses) {
        if (m_left.contains(node))
            continue;
        ++t.total;
        t.heard += isFresh(node, now) ? 1 : 0;
    }
    return t;
}

} // namespace fleet
