#pragma once

#include "ibismast/core/messages.h"
#include "ibismast/core/upstreammessages.h"

#include <list>
#include <unordered_map>

namespace ibismast
{

/// Prefix blocks that the engine probably caches, from its cache events.
///
/// Events may be late or lost. A gap in their numbers may hide removals, so blocks that were confirmed before a gap
/// count only for a short time after it.
class PrefixTracker
{
public:
    /// @p capacity is the largest number of blocks kept, @p doubtLifetime how long blocks count after a gap.
    PrefixTracker(std::size_t capacity, Duration doubtLifetime);

    void handle(const EngineCacheEvent &event, TimePoint now);
    /// Returns the prompt tokens that a prompt with @p hashes probably finds in the cache.
    [[nodiscard]] Tokens expectedHit(const std::vector<std::uint64_t> &hashes, TimePoint now) const;
    /// Returns at most @p limit blocks, the last confirmed first.
    [[nodiscard]] std::vector<std::uint64_t> newest(std::size_t limit, TimePoint now) const;
    /// Forgets everything, after a restart of the engine.
    void clear();

private:
    struct Block
    {
        std::uint64_t hash = 0;
        TimePoint confirmed;
    };

    [[nodiscard]] bool counts(const Block &block, TimePoint now) const;

    std::size_t m_capacity;
    Duration m_doubtLifetime;
    /// Blocks, the last confirmed first.
    std::list<Block> m_blocks;
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
    std::optional<std::uint64_t> m_lastSequence;
    std::optional<TimePoint> m_gap;
};

} // namespace ibismast
