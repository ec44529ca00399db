#include "prefixindex.h"

namespace decisions {

void prefix_index::touch(std::span<const prompt_part> parts)
{
    for (const prompt_part& part : parts) {
        const auto found = m_places.find(part.id);
        if (found != m_places.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front({ part.id, part.tokens });
        m_places[part.id] = m_order.begin();
        m_held += part.tokens;
    }
    while (m_held > m_capacity && !m_order.empty()) {
        m_held -= m_order.back().tokens;
        m_places.erase(m_order.back().id);
        m_order.pop_back();
    }
}

void prefix_index::forget(std::span<const prompt_part> parts)
{
    for (const prompt_part& part : parts) {
        const auto found = m_places.find(part.id);
        if (found == m_places.end())
            continue;
        m_held -= found->second->tokens;
        m_order.erase(found->second);
        m_places.erase(found);
    }
}

std::uint32_t prefix_index::heldTokens(std::span<const prompt_part> parts) const
{
    std::uint32_t held = 0;
    for (const prompt_part& part : parts) {
        if (!m_places.contains(part.id))
            break;
        held += part.tokens;
    }
    return held;
}

} // namespace decisions
