#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace decisions {

struct spill_settings {
    std::size_t capacity = 200'000; ///< chats; about 100 bytes each
    utils::duration lifetime = std::chrono::hours(4); ///< a prefix stays cached for at most this time
};

/// Entry of a chat: where it ran last.
struct spill_record {
    utils::server_id server; ///< server that ran the chat last and holds its prefix
    std::uint32_t prefixTokens = 0;
};

/// Records on which server each chat ran last, for the chats whose anchor server has this node as its home.
/// The anchor is the first server of the chat's ranking; any entry node computes it locally. Load: spill; a
/// chat that the load bound sent to another server returns to that server, which holds its prefix, and not to
/// its anchor. Without the table, each spilled chat misses the cache twice: on the other server and again on
/// its return. Bounded, with least recently used eviction; an evicted chat costs one prefill, never a wrong
/// answer. Not persisted and not replicated, on purpose. Not thread safe.
class spill_table {
public:
    explicit spill_table(spill_settings settings = {});

    /// Records that the chat was dispatched to that server.
    void remember(std::uint64_t chat, const spill_record& record, utils::time_point now);
    /// Returns where the chat's prefix is; nothing when evicted, removed or expired.
    std::optional<spill_record> find(std::uint64_t chat, utils::time_point now) const;
    /// Removes the entries of a server that is gone together with its cache; its chats count as new.
    void forgetServer(const utils::server_id& server);
    /// Records that the chat's prefix was exported to another server.
    void moved(std::uint64_t chat, const utils::server_id& to);
    /// Removes the entry of a chat after a cache event reported that its prefix was evicted.
    void forget(std::uint64_t chat);
    /// Removes expired entries; call it periodically. Cost: linear in the entries removed.
    void expire(utils::time_point now);
    std::size_t size() const { return m_byChat.size(); }

private:
    struct entry {
        std::uint64_t chat;
        std::uint32_t server; ///< index into m_servers
        std::uint32_t prefixTokens;
        utils::time_point usedAt;
    };
    using entry_list = std::list<entry>;

    std::uint32_t indexOf(const utils::server_id& server);
    void dropOldest();

    spill_settings m_settings;
    std::vector<utils::server_id> m_servers;
    std::unordered_map<utils::server_id, std::uint32_t> m_serverIndex;
    entry_list m_byAge; ///< oldest first
    std::unordered_map<std::uint64_t, entry_list::iterator> m_byChat;
};

} // namespace decisions
