#pragma once

#include "ibismast/routing/upstream.h"

#include <array>
#include <unordered_map>

namespace ibismast
{

/// Settings of a `PrefixIndex`.
struct PrefixIndexSettings
{
    /// Time in which the confidence in a claim halves. Cache events come late and with gaps.
    Duration halfLife = std::chrono::seconds(30);
    /// Claims older than this are dropped.
    Duration longestAge = std::chrono::minutes(3);
    /// Largest number of prefixes remembered.
    std::size_t maxPrefixes = 500'000;
};

/// Part of a prompt that an upstream probably has in its cache.
struct PrefixHit
{
    Upstream *upstream = nullptr;
    /// Cached tokens, discounted by the age of the claim.
    double tokens = 0.0;
};

/// Hits of one prompt at different upstreams, longest prefix first; unused places hold null.
using PrefixHits = std::array<PrefixHit, 4>;

/// Remembers which upstreams claim to have which prompt prefixes cached.
class PrefixIndex
{
public:
    explicit PrefixIndex(const PrefixIndexSettings &settings);

    /// Applies the claims of a load report. @p upstream must stay at its address; claims of its earlier incarnations do
    /// not count.
    void update(Upstream &upstream, const std::vector<std::uint64_t> &hashes, TimePoint now);
    /// Returns the upstreams with the longest cached prefixes of a prompt with @p prefixHashes.
    [[nodiscard]] PrefixHits find(const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const;

private:
    struct Claim
    {
        Upstream *upstream = nullptr;
        Incarnation incarnation;
        TimePoint seen;
    };

    void dropOld(TimePoint now);

    PrefixIndexSettings m_settings;
    std::unordered_map<std::uint64_t, std::vector<Claim>> m_claims;
    TimePoint m_nextCleaning = TimePoint::min();
};

} // namespace ibismast
