#pragma once

#include "ibismast/routing/upstream.h"

#include <map>
#include <set>

namespace ibismast
{

/// Chooses a bounded subset of the upstreams of one model or service.
///
/// Each domain ranks its upstreams by a rendezvous hash of entry, name and upstream; the subset takes the best ones of
/// every domain in turn, so that all domains are covered and a change of one upstream replaces one member. A change
/// costs O(log n), reading the subset costs nothing.
class SubsetSelector
{
public:
    /// @p seed identifies the entry and the name; @p size is the largest size of the subset.
    SubsetSelector(std::uint64_t seed, std::size_t size);

    /// Adds an upstream; it must stay at its address until it is removed.
    void add(Upstream &upstream);
    void remove(Upstream &upstream);

    /// Members of the subset, ordered by rank within their domains.
    [[nodiscard]] const std::vector<Upstream *> &members() const;
    /// Number of upstreams, in the subset or not.
    [[nodiscard]] std::size_t size() const;
    /// True if no upstream was added.
    [[nodiscard]] bool empty() const;

private:
    struct Ranked
    {
        std::uint64_t score = 0;
        Upstream *upstream = nullptr;

        bool operator<(const Ranked &other) const;
    };

    [[nodiscard]] Ranked rank(Upstream &upstream) const;
    void rebuild();

    std::uint64_t m_seed;
    std::size_t m_size;
    std::map<FailureDomain, std::set<Ranked>> m_domains;
    std::vector<Upstream *> m_members;
    std::size_t m_total = 0;
};

} // namespace ibismast
