#include "digeststore.h"

#include "utils/softassert.h"

#include <algorithm>

namespace fleet {

namespace {

constexpr std::uint64_t maxAgeSeconds = 255;

std::uint8_t ageInSeconds(utils::duration age)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(age).count();
    return static_cast<std::uint8_t>(std::clamp<std::int64_t>(seconds, 0, maxAgeSeconds));
}

} // namespace

digest_store::digest_store(wire::node_tag self, std::uint64_t firstVersion, utils::duration lifetime)
    : m_self(self)
    , m_version(firstVersion)
    , m_lifetime(lifetime)
{
}

void digest_store::publish(
    wire::digest_kind kind, const std::string& key, const std::string& value, utils::time_point now)
{
    LF_ASSERT(key.size() <= maxTextLength && value.size() <= maxTextLength, return );
    m_facts[{ kind, m_self, key }] = { ++m_version, value, now, 0 };
}

void digest_store::merge(const std::vector<wire::digest_entry>& entries, utils::time_point now)
{
    for (const wire::digest_entry& entry : entries) {
        const utils::duration age = std::chrono::seconds(entry.ageSeconds);
        if (entry.origin == m_self || age > m_lifetime)
            continue;
        if (entry.key.size() > maxTextLength || entry.value.size() > maxTextLength)
            continue;
        fact& known = m_facts[{ entry.kind, entry.origin, entry.key }];
        if (entry.version.value <= known.version)
            continue;
        known = { entry.version.value, entry.value, now - age, 0 };
    }
}

std::vector<wire::digest_entry> digest_store::take(std::size_t bytes, utils::time_point now)
{
    dropExpired(now);
    std::vector<std::pair<const fact_key*, fact*>> order;
    order.reserve(m_facts.size());
    for (auto& [key, known] : m_facts)
        order.emplace_back(&key, &known);
    constexpr std::size_t smallestEntry = 12;
    const auto wanted = std::min(order.size(), bytes / smallestEntry);
    const auto selectedEnd = order.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::ranges::partial_sort(
        order, selectedEnd, {}, [](const auto& item) { return item.second->lastSentTurn; });
    ++m_turn;
    std::vector<wire::digest_entry> taken;
    for (auto item = order.begin(); item != selectedEnd; ++item) {
        const auto& [kind, origin, key] = *item->first;
        fact& known = *item->second;
        wire::digest_entry entry { kind, origin, { known.version }, ageInSeconds(now - known.publishedAt),
            key, known.value };
        if (entry.size() > bytes)
            break;
        bytes -= entry.size();
        known.lastSentTurn = m_turn;
        taken.push_back(std::move(entry));
    }
    return taken;
}

std::vector<digest_fact> digest_store::facts(wire::digest_kind kind, utils::time_point now) const
{
    std::vector<digest_fact> list;
    for (const auto& [key, known] : m_facts) {
        const utils::duration age = now - known.publishedAt;
        if (std::get<0>(key) == kind && age <= m_lifetime)
            list.push_back({ std::get<1>(key), std::get<2>(key), known.value, age });
    }
    return list;
}

void digest_store::dropExpired(utils::time_point now)
{
    std::erase_if(m_facts, [&](const auto& entry) { return now - entry.second.publishedAt > m_lifetime; });
}

} // namespace fleet
