#pragma once

#include "ibismast/routing/upstream.h"

#include <map>
#include <set>

namespace ibismast
{

/// Chooses a bounded subset of the upstreams of one model or service.
///
/// The upstreams of each failure domain are ranked by a rendezvous hash of entry, model or service name, and upstream.
/// The subset takes the next best upstream of each domain in turn until it is full. All domains are therefore covered
/// as long as there are no more of them than members, and adding or removing one upstream replaces at most one member.
/// A change costs O(log n) for the ranking plus the time to rebuild the subset; `members` costs O(1).
class SubsetSelector
{
public:
    /// @p seed is a hash of the entry and of the model or service name; @p size is the largest size of the subset.
    SubsetSelector(std::uint64_t seed, std::size_t size);

    /// Adds an upstream. The selector keeps a pointer to it; its id and failure domain must not change until it is
    /// removed.
    void add(Upstream &upstream);
    /// Removes an upstream; does nothing if it was not added.
    void remove(Upstream &upstream);

    /// Members of the subset: the best ranked upstream of each domain, then the second of each domain, and so on.
    [[nodiscard]] const std::vector<Upstream *> &members() const;
    /// Number of upstreams, in the subset or not.
    [[nodiscard]] std::size_t size() const;
    /// True if there are no upstreams.
    [[nodiscard]] bool empty() const;

private:
    /// Upstream with its rank; higher scores sort first.
    struct Ranked
    {
        std::uint64_t score = 0;
        Upstream *upstream = nullptr;

        bool operator<(const Ranked &other) const;
    };

    [[nodiscard]] Ranked rank(Upstream &upstream) const;
    void rebuild();

    std::uint64_t m_seed;
    /// Largest number of members.
    std::size_t m_size;
    std::map<FailureDomain, std::set<Ranked>> m_domains;
    std::vector<Upstream *> m_members;
    /// Number of upstreams over all domains.
    std::size_t m_total = 0;
};

} // namespace ibismast
