#pragma once

#include "ibismast/core/messages.h"
#include "ibismast/core/upstreammessages.h"

#include <list>
#include <unordered_map>

namespace ibismast
{

/// Tracks the prefix blocks in the engine's cache by means of its cache events.
///
/// Events may be late or lost. A gap in their sequence numbers may hide removals, so blocks that were last reported
/// before a gap are trusted only for a short time after it.
class PrefixTracker
{
public:
    /// @p capacity is the maximum number of tracked blocks, @p unconfirmedLifetime the time after a gap for which
    /// blocks reported before it are trusted.
    PrefixTracker(std::size_t capacity, Duration unconfirmedLifetime);

    /// Applies a cache event of the engine and detects gaps in the sequence numbers.
    void handle(const EngineCacheEvent &event, TimePoint now);
    /// Returns the number of leading tokens of a prompt with the block hashes @p hashes that are expected in the cache.
    [[nodiscard]] Tokens expectedHit(const std::vector<std::uint64_t> &hashes, TimePoint now) const;
    /// Returns the hashes of at most @p limit trusted blocks, most recently reported first.
    [[nodiscard]] std::vector<std::uint64_t> newest(std::size_t limit, TimePoint now) const;
    /// Removes all blocks; used when the engine may have been restarted.
    void clear();

private:
    struct Block
    {
        std::uint64_t hash = 0;
        /// Time at which an event last reported the block as added.
        TimePoint confirmedAt;
    };

    /// Returns whether @p block is assumed to be in the cache at @p now.
    [[nodiscard]] bool isTrusted(const Block &block, TimePoint now) const;

    std::size_t m_capacity;
    Duration m_unconfirmedLifetime;
    /// Tracked blocks, most recently reported first.
    std::list<Block> m_blocks;
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
    std::optional<std::uint64_t> m_lastSequence;
    /// Time at which a gap in the sequence numbers was last detected.
    std::optional<TimePoint> m_lastGapAt;
};

} // namespace ibismast
