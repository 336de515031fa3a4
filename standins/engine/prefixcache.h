#pragma once

#include "ibismast/core/units.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace ibismast
{

/// Prefix blocks that an engine keeps, least recently used first to go.
class PrefixCache
{
public:
    /// Returns the number of leading blocks of @p hashes that are cached and marks them as used.
    [[nodiscard]] std::size_t use(const std::vector<std::uint64_t> &hashes);
    /// Adds the blocks of @p hashes and returns those that were not cached before.
    std::vector<std::uint64_t> add(const std::vector<std::uint64_t> &hashes);
    /// Removes blocks until the cache holds at most @p limit tokens; returns the removed ones.
    std::vector<std::uint64_t> shrinkTo(Tokens limit);
    /// Tokens held.
    [[nodiscard]] Tokens size() const;
    /// Removes everything.
    void clear();

private:
    void touch(std::list<std::uint64_t>::iterator block);

    /// Blocks, least recently used first.
    std::list<std::uint64_t> m_blocks;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

} // namespace ibismast
