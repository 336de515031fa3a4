#pragma once

#include "ibismast/routing/upstream.h"

#include <array>
#include <unordered_map>

namespace ibismast
{

/// Settings of a `PrefixIndex`.
struct PrefixIndexSettings
{
    /// Time in which the confidence in a report halves. Reports may be outdated, because cache events of the engine
    /// arrive late and some are lost.
    Duration halfLife = std::chrono::seconds(30);
    /// Reports older than this are removed.
    Duration longestAge = std::chrono::minutes(3);
    /// Largest number of prefixes remembered.
    std::size_t maxPrefixes = 500'000;
};

/// Part of a prompt that an upstream probably has in its cache.
struct PrefixHit
{
    Upstream *upstream = nullptr;
    /// Number of cached tokens, discounted by the age of the report.
    double tokens = 0.0;
};

/// Hits of one prompt at different upstreams, longest prefix first; `upstream` is null in unused elements.
using PrefixHits = std::array<PrefixHit, 4>;

/// Index of the prompt prefixes that upstreams have reported as cached. A prefix is identified by the hash of its
/// blocks.
class PrefixIndex
{
public:
    explicit PrefixIndex(const PrefixIndexSettings &settings);

    /// Adds the cached prefixes of a load report. The index keeps a pointer to @p upstream. Reports of earlier
    /// incarnations are ignored by `find`.
    void update(Upstream &upstream, const std::vector<std::uint64_t> &hashes, TimePoint now);
    /// Returns the upstreams with the longest cached prefixes of a prompt. @p prefixHashes holds the hash of each
    /// prefix of whole blocks, shortest first.
    [[nodiscard]] PrefixHits find(const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const;

private:
    /// Upstream that has reported a prefix as cached.
    struct Holder
    {
        Upstream *upstream = nullptr;
        Incarnation incarnation;
        TimePoint reportedAt;
    };

    void removeExpired(TimePoint now);

    PrefixIndexSettings m_settings;
    std::unordered_map<std::uint64_t, std::vector<Holder>> m_holders;
    TimePoint m_nextCleanup = TimePoint::min();
};

} // namespace ibismast
