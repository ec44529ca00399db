#pragma once

#include "decisions/cachetransfer.h"

#include "placementtrace.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace measure {

/// Prefix cache of an engine: least recently used, bounded in tokens. A chat's prefix includes its
/// workspace's instructions; those are kept once more for chats that are new.
class prefix_cache {
public:
    explicit prefix_cache(double capacity)
        : m_capacity(capacity)
    {
    }

    /// Tokens of the turn's prompt that need not be computed.
    std::uint32_t reusable(const chat_turn& turn) const;
    /// The turn ran: its prompt and answer are cached. Calls `onEvict` for each chat that had to go.
    void store(const chat_turn& turn, const std::function<void(std::uint64_t)>& onEvict = {});
    /// A prefix was imported.
    void import(std::uint64_t chat, std::uint32_t tokens);
    bool holds(std::uint64_t chat) const { return m_index.contains(chat); }
    void clear();
    void setCapacity(double tokens) { m_capacity = tokens; }
    double capacity() const { return m_capacity; }
    /// The chats' prefixes, most recently used first.
    std::vector<decisions::hot_prefix> hottest(std::size_t limit) const;

private:
    struct entry {
        std::uint64_t key;
        std::uint32_t tokens;
        bool isChat;
    };
    using entry_list = std::list<entry>;

    void put(const entry& fresh);
    void evict(const std::function<void(std::uint64_t)>& onEvict);

    double m_capacity;
    double m_used = 0;
    entry_list m_byUse; ///< most recently used first
    std::unordered_map<std::uint64_t, entry_list::iterator> m_index;
};

} // namespace measure
