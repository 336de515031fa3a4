#include "ibismast/routing/prefixindex.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

// Number of holders remembered for one prefix: enough to find one with a low load if the prefix is popular.
constexpr std::size_t MaxHolders = 8;

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings &settings) : m_settings(settings) { }

void PrefixIndex::update(Upstream &upstream, const std::vector<std::uint64_t> &hashes, TimePoint now)
{
    if (now >= m_nextCleanup) {
        removeExpired(now);
        m_nextCleanup = now + m_settings.longestAge / 4;
    }
    for (const std::uint64_t hash : hashes) {
        auto holders = m_holders.find(hash);
        if (holders == m_holders.end()) {
            if (m_holders.size() >= m_settings.maxPrefixes) {
                continue;
            }
            holders = m_holders.try_emplace(hash).first;
        }
        const auto existing = std::ranges::find(holders->second, &upstream, &Holder::upstream);
        if (existing != holders->second.end()) {
            existing->incarnation = upstream.incarnation;
            existing->reportedAt = now;
        } else if (holders->second.size() < MaxHolders) {
            holders->second.push_back(Holder {&upstream, upstream.incarnation, now});
        } else {
            *std::ranges::min_element(holders->second, {}, &Holder::reportedAt) =
                Holder {&upstream, upstream.incarnation, now};
        }
    }
}

PrefixHits PrefixIndex::find(const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const
{
    PrefixHits hits {};
    std::size_t count = 0;
    if (m_holders.empty()) {
        return hits;
    }
    for (std::size_t blockCount = prefixHashes.size(); blockCount > 0 && count < hits.size(); --blockCount) {
        const auto holders = m_holders.find(prefixHashes[blockCount - 1]);
        if (holders == m_holders.end()) {
            continue;
        }
        for (const Holder &holder : holders->second) {
            const bool valid = holder.upstream->routable && holder.upstream->incarnation == holder.incarnation;
            const auto duplicate = std::ranges::find(hits, holder.upstream, &PrefixHit::upstream);
            if (valid && count < hits.size() && duplicate == hits.end()) {
                const double halvings = toSeconds(now - holder.reportedAt) / toSeconds(m_settings.halfLife);
                const double tokens = static_cast<double>(blockCount) * static_cast<double>(PrefixBlockTokens.value());
                hits[count++] = PrefixHit {holder.upstream, tokens * std::exp2(-halvings)};
            }
        }
    }
    return hits;
}

void PrefixIndex::removeExpired(TimePoint now)
{
    for (auto holders = m_holders.begin(); holders != m_holders.end();) {
        std::erase_if(holders->second, [&](const Holder &holder) {
            return now - holder.reportedAt > m_settings.longestAge;
        });
        holders = holders->second.empty() ? m_holders.erase(holders) : std::next(holders);
    }
}

} // namespace ibismast
