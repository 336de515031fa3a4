#include "standins/engine/prefixcache.h"

#include "ibismast/core/messages.h"

namespace ibismast
{

std::size_t PrefixCache::use(const std::vector<std::uint64_t> &hashes)
{
    std::size_t count = 0;
    for (const std::uint64_t hash : hashes) {
        const auto entry = m_index.find(hash);
        if (entry == m_index.end()) {
            break;
        }
        touch(entry->second);
        ++count;
    }
    return count;
}

std::vector<std::uint64_t> PrefixCache::add(const std::vector<std::uint64_t> &hashes)
{
    std::vector<std::uint64_t> added;
    for (const std::uint64_t hash : hashes) {
        const auto entry = m_index.find(hash);
        if (entry != m_index.end()) {
            touch(entry->second);
            continue;
        }
        m_index.emplace(hash, m_blocks.insert(m_blocks.end(), hash));
        added.push_back(hash);
    }
    return added;
}

std::vector<std::uint64_t> PrefixCache::shrinkTo(Tokens limit)
{
    std::vector<std::uint64_t> removed;
    while (!m_blocks.empty() && size() > limit) {
        removed.push_back(m_blocks.front());
        m_index.erase(m_blocks.front());
        m_blocks.pop_front();
    }
    return removed;
}

Tokens PrefixCache::size() const
{
    return Tokens(static_cast<std::int64_t>(m_blocks.size()) * PrefixBlockTokens.value());
}

void PrefixCache::clear()
{
    m_blocks.clear();
    m_index.clear();
}

void PrefixCache::touch(std::list<std::uint64_t>::iterator block)
{
    m_blocks.splice(m_blocks.end(), m_blocks, block);
}

} // namespace ibismast
