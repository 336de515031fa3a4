#include "ibismast/entry/refusalcache.h"

#include <algorithm>

namespace ibismast
{

RefusalCache::RefusalCache(Duration longestHold) : m_longestHold(longestHold) { }

void RefusalCache::note(const InstanceId &agent, const Demand &demand, const Error &error, TimePoint now)
{
    const Duration hold = std::min(error.retryAfter.value_or(m_longestHold), m_longestHold);
    m_refusals[Key {demand.customer, demand.priorityClass}].insert_or_assign(
        agent, Refusal {demand.promptTokens, demand.timeLeft, now + hold, error});
}

const Error *RefusalCache::find(const InstanceId &agent, const Demand &demand, TimePoint now) const
{
    const auto refusals = m_refusals.find(Key {demand.customer, demand.priorityClass});
    if (refusals == m_refusals.end()) {
        return nullptr;
    }
    const auto refusal = refusals->second.find(agent);
    if (refusal == refusals->second.end() || refusal->second.until <= now) {
        return nullptr;
    }
    // The refusal applies to requests that are at least as long and have no more time left. A shorter prompt, or one
    // with more time, may still be accepted.
    const bool harder =
        demand.promptTokens >= refusal->second.promptTokens && demand.timeLeft <= refusal->second.timeLeft;
    return harder ? &refusal->second.error : nullptr;
}

void RefusalCache::forget(const InstanceId &agent, const CustomerId &customer, PriorityClass priorityClass)
{
    const auto refusals = m_refusals.find(Key {customer, priorityClass});
    if (refusals != m_refusals.end()) {
        refusals->second.erase(agent);
    }
}

void RefusalCache::removeExpired(TimePoint now)
{
    for (auto refusals = m_refusals.begin(); refusals != m_refusals.end();) {
        std::erase_if(refusals->second, [&](const auto &refusal) {
            return refusal.second.until <= now;
        });
        refusals = refusals->second.empty() ? m_refusals.erase(refusals) : std::next(refusals);
    }
}

} // namespace ibismast
