#include "ibismast/routing/prefixindex.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

// Upstreams remembered for one prefix; a popular prefix needs no more to find one with little load.
constexpr std::size_t MaxHolders = 8;

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings &settings) : m_settings(settings) { }

void PrefixIndex::update(Upstream &upstream, const std::vector<std::uint64_t> &hashes, TimePoint now)
{
    if (now >= m_nextCleaning) {
        dropOld(now);
        m_nextCleaning = now + m_settings.longestAge / 4;
    }
    for (const std::uint64_t hash : hashes) {
        auto claims = m_claims.find(hash);
        if (claims == m_claims.end()) {
            if (m_claims.size() >= m_settings.maxPrefixes) {
                continue;
            }
            claims = m_claims.try_emplace(hash).first;
        }
        const auto own = std::ranges::find(claims->second, &upstream, &Claim::upstream);
        if (own != claims->second.end()) {
            own->incarnation = upstream.incarnation;
            own->seen = now;
        } else if (claims->second.size() < MaxHolders) {
            claims->second.push_back(Claim {&upstream, upstream.incarnation, now});
        } else {
            *std::ranges::min_element(claims->second, {}, &Claim::seen) = Claim {&upstream, upstream.incarnation, now};
        }
    }
}

PrefixHits PrefixIndex::find(const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const
{
    PrefixHits hits {};
    std::size_t count = 0;
    if (m_claims.empty()) {
        return hits;
    }
    for (std::size_t blocks = prefixHashes.size(); blocks > 0 && count < hits.size(); --blocks) {
        const auto claims = m_claims.find(prefixHashes[blocks - 1]);
        if (claims == m_claims.end()) {
            continue;
        }
        for (const Claim &claim : claims->second) {
            const bool valid = claim.upstream->routable && claim.upstream->incarnation == claim.incarnation;
            const auto known = std::ranges::find(hits, claim.upstream, &PrefixHit::upstream);
            if (valid && count < hits.size() && known == hits.end()) {
                const double halvings = toSeconds(now - claim.seen) / toSeconds(m_settings.halfLife);
                const double tokens = static_cast<double>(blocks) * static_cast<double>(PrefixBlockTokens.value());
                hits[count++] = PrefixHit {claim.upstream, tokens * std::exp2(-halvings)};
            }
        }
    }
    return hits;
}

void PrefixIndex::dropOld(TimePoint now)
{
    for (auto claims = m_claims.begin(); claims != m_claims.end();) {
        std::erase_if(claims->second, [&](const Claim &claim) {
            return now - claim.seen > m_settings.longestAge;
        });
        claims = claims->second.empty() ? m_claims.erase(claims) : std::next(claims);
    }
}

} // namespace ibismast
