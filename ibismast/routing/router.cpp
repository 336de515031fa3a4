#include "ibismast/routing/router.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Returns the first member other than @p excluded that @p filter accepts, searching cyclically from a random position;
/// null if there is none.
Upstream *
pick(const std::vector<Upstream *> &subset, const RouteFilter &filter, const Upstream *excluded, SeededRandom &random)
{
    const std::size_t start = random.below(subset.size());
    for (std::size_t step = 0; step < subset.size(); ++step) {
        Upstream *candidate = subset[(start + step) % subset.size()];
        if (candidate != excluded && filter.accepts(*candidate)) {
            return candidate;
        }
    }
    return nullptr;
}

struct Candidates
{
    Upstream *first = nullptr;
    Upstream *second = nullptr;
};

/// Returns up to two different members that @p filter accepts; unused places are null.
Candidates pickTwo(const std::vector<Upstream *> &subset, const RouteFilter &filter, SeededRandom &random)
{
    if (subset.empty()) {
        return {};
    }
    Upstream *first = pick(subset, filter, nullptr, random);
    return {first, first == nullptr ? nullptr : pick(subset, filter, first, random)};
}

/// Returns the member with the largest prefix hit that @p filter accepts, or null if there is none.
Upstream *prefixHolder(const std::vector<Upstream *> &subset, const RouteQuery &query, const RouteFilter &filter)
{
    const PrefixHit *best = nullptr;
    for (const PrefixHit &hit : query.hits) {
        const bool better = hit.upstream != nullptr && (best == nullptr || hit.tokens > best->tokens);
        if (better && std::ranges::find(subset, hit.upstream) != subset.end() && filter.accepts(*hit.upstream)) {
            best = &hit;
        }
    }
    return best == nullptr ? nullptr : best->upstream;
}

} // namespace

Router::Router(const RouterSettings &settings) : m_settings(settings) { }

Upstream *Router::choose(const std::vector<Upstream *> &subset,
                         const RouteQuery &query,
                         const RouteFilter &filter,
                         SeededRandom &random) const
{
    const auto [first, second] = pickTwo(subset, filter, random);
    Upstream *best = first;
    double bestCost = best != nullptr ? cost(*best, query) : 0.0;
    for (Upstream *candidate : {second, prefixHolder(subset, query, filter)}) {
        if (candidate == nullptr || candidate == best) {
            continue;
        }
        const double candidateCost = cost(*candidate, query);
        if (candidateCost < bestCost) {
            best = candidate;
            bestCost = candidateCost;
        }
    }
    return best;
}

Upstream *Router::chooseForCall(const std::vector<Upstream *> &subset, const RouteFilter &filter, SeededRandom &random)
{
    const auto [first, second] = pickTwo(subset, filter, random);
    return second != nullptr && second->openCalls < first->openCalls ? second : first;
}

double Router::cost(const Upstream &upstream, const RouteQuery &query) const
{
    double queued = 0.0;
    for (const PriorityClass priorityClass : AllPriorityClasses) {
        const double weight = priorityClass <= query.priorityClass ? 1.0 : m_settings.longerClassWeight;
        queued += weight * static_cast<double>(upstream.outstanding(priorityClass).value());
    }
    const double rate = upstream.load.prefillRate > 0.0 ? upstream.load.prefillRate : m_settings.defaultRate;
    const auto hit = std::ranges::find(query.hits, &upstream, &PrefixHit::upstream);
    const auto prompt = static_cast<double>(query.promptTokens.value());
    const double cached = hit == query.hits.end() ? 0.0 : std::min(hit->tokens, prompt);
    return (queued + prompt - cached) / rate;
}

} // namespace ibismast
