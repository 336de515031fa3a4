#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/routing/prefixindex.h"

namespace ibismast
{

/// Settings of a `Router`.
struct RouterSettings
{
    /// Factor on the outstanding work of longer classes than that of the prompt. It counts less than other work,
    /// because engines prefill shorter prompts first.
    double longerClassWeight = 0.25;
    /// Assumed prefill rate of an upstream that reports none, in tokens per second.
    double defaultRate = 10'000.0;
};

/// Prompt for which an upstream is to be chosen.
struct RouteQuery
{
    PriorityClass priorityClass = PriorityClass::Short;
    Tokens promptTokens;
    /// Hits of the prompt in the prefix index.
    PrefixHits hits {};
};

/// Restricts the choice of a `Router` to some members of a subset.
class RouteFilter
{
public:
    virtual ~RouteFilter() = default;

    [[nodiscard]] virtual bool accepts(const Upstream &upstream) const = 0;
};

/// Chooses an upstream out of a subset by the power of two choices: the cheapest of two random candidates and of the
/// upstream with the largest prefix hit. The time for a choice depends on the size of the subset only, not on the
/// total number of upstreams.
class Router
{
public:
    explicit Router(const RouterSettings &settings);

    /// Returns the member of @p subset with the lowest cost among the candidates, or null if @p filter accepts none.
    [[nodiscard]] Upstream *choose(const std::vector<Upstream *> &subset,
                                   const RouteQuery &query,
                                   const RouteFilter &filter,
                                   SeededRandom &random) const;
    /// Returns an upstream for a call of a plain service: out of two random candidates the one with fewer open calls of
    /// this entry. Null if @p filter accepts none.
    [[nodiscard]] static Upstream *
    chooseForCall(const std::vector<Upstream *> &subset, const RouteFilter &filter, SeededRandom &random);
    /// Expected time in seconds until @p upstream would have prefilled the uncached part of the prompt of @p query,
    /// behind its outstanding work.
    [[nodiscard]] double cost(const Upstream &upstream, const RouteQuery &query) const;

private:
    RouterSettings m_settings;
};

} // namespace ibismast
