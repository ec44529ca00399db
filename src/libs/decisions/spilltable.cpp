#include "spilltable.h"

namespace decisions {

spill_table::spill_table(spill_settings settings)
    : m_settings(settings)
{
}

void spill_table::remember(std::uint64_t chat, const spill_record& record, utils::time_point now)
{
    const entry fresh { chat, indexOf(record.server), record.prefixTokens, now };
    const auto found = m_byChat.find(chat);
    if (found != m_byChat.end()) {
        *found->second = fresh;
        m_byAge.splice(m_byAge.end(), m_byAge, found->second);
        return;
    }
    if (m_settings.capacity == 0)
        return;
    if (m_byChat.size() >= m_settings.capacity)
        dropOldest();
    m_byChat.emplace(chat, m_byAge.insert(m_byAge.end(), fresh));
}

std::optional<spill_record> spill_table::find(std::uint64_t chat, utils::time_point now) const
{
    const auto found = m_byChat.find(chat);
    if (found == m_byChat.end() || now - found->second->usedAt > m_settings.lifetime)
        return std::nullopt;
    return spill_record { m_servers[found->second->server], found->second->prefixTokens };
}

void spill_table::forgetServer(const utils::server_id& server)
{
    const auto known = m_serverIndex.find(server);
    if (known == m_serverIndex.end())
        return;
    for (auto it = m_byAge.begin(); it != m_byAge.end();) {
        if (it->server != known->second) {
            ++it;
            continue;
        }
        m_byChat.erase(it->chat);
        it = m_byAge.erase(it);
    }
}

void spill_table::moved(std::uint64_t chat, const utils::server_id& to)
{
    const auto found = m_byChat.find(chat);
    if (found != m_byChat.end())
        found->second->server = indexOf(to);
}

void spill_table::forget(std::uint64_t chat)
{
    const auto found = m_byChat.find(chat);
    if (found == m_byChat.end())
        return;
    m_byAge.erase(found->second);
    m_byChat.erase(found);
}

void spill_table::expire(utils::time_point now)
{
    while (!m_byAge.empty() && now - m_byAge.front().usedAt > m_settings.lifetime)
        dropOldest();
}

std::uint32_t spill_table::indexOf(const utils::server_id& server)
{
    const auto [found, isNew]
        = m_serverIndex.try_emplace(server, static_cast<std::uint32_t>(m_servers.size()));
    if (isNew)
        m_servers.push_back(server);
    return found->second;
}

void spill_table::dropOldest()
{
    m_byChat.erase(m_byAge.front().chat);
    m_byAge.pop_front();
}

} // namespace decisions
