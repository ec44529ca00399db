#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

/// A prompt prefix cache in limited memory: blocks of the prompt, each known by the hash of all up to
/// it, least recently used out first.
class prefix_cache {
public:
    static constexpr std::size_t blockBytes = 64; ///< about 16 tokens

    explicit prefix_cache(std::size_t blocks)
        : m_capacity(blocks)
    {
    }

    /// Blocks of the prompt found from its start; puts all of it into the cache.
    std::size_t use(std::string_view prompt);
    /// The hashes held, most recent first, at most `limit`.
    std::vector<std::uint64_t> hottest(std::size_t limit) const;
    /// Takes blocks exported by another engine.
    void import(const std::vector<std::uint64_t>& blocks);
    std::size_t size() const { return m_index.size(); }

private:
    void touch(std::uint64_t block);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};
