#include "prefixcache.h"

#include "utils/hashing.h"

std::size_t prefix_cache::use(std::string_view prompt)
{
    std::uint64_t hash = 0;
    std::size_t found = 0;
    bool isPrefix = true;
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        hash = utils::hash64(prompt.substr(at, blockBytes), hash);
        isPrefix = isPrefix && m_index.contains(hash);
        if (isPrefix)
            ++found;
        touch(hash);
    }
    return found;
}

std::vector<std::uint64_t> prefix_cache::hottest(std::size_t limit) const
{
    std::vector<std::uint64_t> blocks;
    for (const std::uint64_t block : m_order) {
        if (blocks.size() == limit)
            break;
        blocks.push_back(block);
    }
    return blocks;
}

void prefix_cache::import(const std::vector<std::uint64_t>& blocks)
{
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
        touch(*block);
}

void prefix_cache::touch(std::uint64_t block)
{
    const auto found = m_index.find(block);
    if (found != m_index.end())
        m_order.erase(found->second);
    m_order.push_front(block);
    m_index[block] = m_order.begin();
    if (m_index.size() <= m_capacity)
        return;
    m_index.erase(m_order.back());
    m_order.pop_back();
}
