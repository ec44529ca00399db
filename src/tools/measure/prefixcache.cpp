#include "prefixcache.h"

namespace measure {

namespace {

/// Chat keys are hashes, so small numbers are free for workspaces.
std::uint64_t workspaceKey(const chat_turn& turn)
{
    return turn.workspace;
}

} // namespace

std::uint32_t prefix_cache::reusable(const chat_turn& turn) const
{
    const auto chat = m_index.find(turn.chat);
    if (chat != m_index.end())
        return std::min(chat->second->tokens, turn.historyTokens);
    if (m_index.contains(workspaceKey(turn)))
        return std::min(workspaceTokens, turn.historyTokens);
    return 0;
}

void prefix_cache::store(const chat_turn& turn, const std::function<void(std::uint64_t)>& onEvict)
{
    put({ workspaceKey(turn), workspaceTokens, false });
    put({ turn.chat, turn.promptTokens + turn.outputTokens, true });
    evict(onEvict);
}

void prefix_cache::import(std::uint64_t chat, std::uint32_t tokens)
{
    put({ chat, tokens, true });
    evict({});
}

void prefix_cache::clear()
{
    m_byUse.clear();
    m_index.clear();
    m_used = 0;
}

std::vector<decisions::hot_prefix> prefix_cache::hottest(std::size_t limit) const
{
    std::vector<decisions::hot_prefix> found;
    for (const auto& item : m_byUse) {
        if (found.size() >= limit)
            break;
        if (item.isChat)
            found.push_back({ item.key, item.tokens, 1.0 / static_cast<double>(found.size() + 1) });
    }
    return found;
}

void prefix_cache::put(const entry& fresh)
{
    const auto known = m_index.find(fresh.key);
    if (known != m_index.end()) {
        m_used -= known->second->tokens;
        m_byUse.erase(known->second);
    }
    m_byUse.push_front(fresh);
    m_index[fresh.key] = m_byUse.begin();
    m_used += fresh.tokens;
}

void prefix_cache::evict(const std::function<void(std::uint64_t)>& onEvict)
{
    while (m_used > m_capacity && m_byUse.size() > 1) {
        const auto oldest = m_byUse.back();
        m_used -= oldest.tokens;
        m_index.erase(oldest.key);
        m_byUse.pop_back();
        if (onEvict && oldest.isChat)
            onEvict(oldest.key);
    }
}

} // namespace measure
