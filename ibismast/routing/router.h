#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/routing/prefixindex.h"

namespace ibismast
{

/// Settings of a `Router`.
struct RouterSettings
{
    /// Share at which queued work of longer classes counts: engines prefill it behind shorter prompts.
    double longerClassWeight = 0.25;
    /// Assumed token rate of an upstream that reports none, in tokens per second.
    double defaultRate = 10'000.0;
};

/// Work that needs an upstream.
struct RouteQuery
{
    PriorityClass priorityClass = PriorityClass::Short;
    Tokens promptTokens;
    /// Hits of the prompt in the prefix index.
    PrefixHits hits {};
};

/// Decides which members of a subset may be chosen.
class RouteFilter
{
public:
    virtual ~RouteFilter() = default;

    [[nodiscard]] virtual bool accepts(const Upstream &upstream) const = 0;
};

/// Chooses an upstream out of a subset: the cheapest one of two random candidates and the best prefix holder. The cost
/// of a choice depends on the size of the subset only, never on the number of upstreams.
class Router
{
public:
    explicit Router(const RouterSettings &settings);

    /// Returns the chosen member of @p subset, or null if @p filter accepts none.
    [[nodiscard]] Upstream *choose(const std::vector<Upstream *> &subset,
                                   const RouteQuery &query,
                                   const RouteFilter &filter,
                                   SeededRandom &random) const;
    /// Like `choose` for a call of a plain service: the candidate with fewer open calls of this entry.
    [[nodiscard]] static Upstream *
    chooseForCall(const std::vector<Upstream *> &subset, const RouteFilter &filter, SeededRandom &random);
    /// Expected seconds until @p upstream would have prefilled the uncached part of the prompt of @p query.
    [[nodiscard]] double cost(const Upstream &upstream, const RouteQuery &query) const;

private:
    RouterSettings m_settings;
};

} // namespace ibismast
