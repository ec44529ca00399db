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
    utils::duration lifetime
        = std::chrono::hours(4); ///< a prefix does not stay in a server's cache for longer
};

/// What a node remembers of a chat whose anchor it is home of.
struct spill_record {
    utils::server_id server; ///< that ran the chat last and holds its prefix
    std::uint32_t prefixTokens = 0;
};

/// Where each chat of the anchor servers that this node is home of was run last. The anchor is the first of
/// the chat's ranking; any entry node finds it without asking. Answers spill: a chat that the bound sent
/// elsewhere returns to the server that holds its prefix and not to its anchor. Without it every spilled chat
/// misses its cache twice, once going and once coming back. Bounded: the chat unused for longest goes first;
/// a forgotten chat costs one prefill, never a wrong answer. Lost with the node on purpose. Not thread safe.
class spill_table {
public:
    explicit spill_table(spill_settings settings = {});

    /// The chat was dispatched to that server.
    void remember(std::uint64_t chat, const spill_record& record, utils::time_point now);
    /// Where the chat's prefix is, unless forgotten or expired.
    std::optional<spill_record> find(std::uint64_t chat, utils::time_point now) const;
    /// The server is gone, and its cache with it: its chats are new ones.
    void forgetServer(const utils::server_id& server);
    /// The server's prefix was exported to another one. Later look-ups name the new one.
    void moved(std::uint64_t chat, const utils::server_id& to);
    /// The chat's prefix is gone, as a cache event tells.
    void forget(std::uint64_t chat);
    /// Forgets what has expired; call it now and then. Work: one step a forgotten chat.
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
