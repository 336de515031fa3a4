#include "ibismast/routing/subsetselector.h"

#include "ibismast/core/stablehash.h"

namespace ibismast
{

bool SubsetSelector::Ranked::operator<(const Ranked &other) const
{
    if (score != other.score) {
        return score > other.score;
    }
    return upstream->id < other.upstream->id;
}

SubsetSelector::SubsetSelector(std::uint64_t seed, std::size_t size) : m_seed(seed), m_size(size) { }

void SubsetSelector::add(Upstream &upstream)
{
    m_total += m_domains[upstream.domain].insert(rank(upstream)).second ? 1 : 0;
    rebuild();
}

void SubsetSelector::remove(Upstream &upstream)
{
    const auto domain = m_domains.find(upstream.domain);
    if (domain == m_domains.end()) {
        return;
    }
    m_total -= domain->second.erase(rank(upstream));
    if (domain->second.empty()) {
        m_domains.erase(domain);
    }
    rebuild();
}

const std::vector<Upstream *> &SubsetSelector::members() const
{
    return m_members;
}

std::size_t SubsetSelector::size() const
{
    return m_total;
}

bool SubsetSelector::empty() const
{
    return m_domains.empty();
}

SubsetSelector::Ranked SubsetSelector::rank(Upstream &upstream) const
{
    return Ranked {combineHashes(m_seed, stableHash(upstream.id.value())), &upstream};
}

void SubsetSelector::rebuild()
{
    m_members.clear();
    std::vector<std::pair<std::set<Ranked>::const_iterator, std::set<Ranked>::const_iterator>> positions;
    positions.reserve(m_domains.size());
    for (const auto &[domain, ranking] : m_domains) {
        positions.emplace_back(ranking.begin(), ranking.end());
    }
    bool added = true;
    while (added && m_members.size() < m_size) {
        added = false;
        for (auto &[next, end] : positions) {
            if (next != end && m_members.size() < m_size) {
                m_members.push_back(next->upstream);
                ++next;
                added = true;
            }
        }
    }
}

} // namespace ibismast
