#pragma once

#include "ibismast/core/messages.h"

#include <map>

namespace ibismast
{

/// Short-lived cache of refusals, by agent, customer and priority class. Requests that an agent would most likely
/// refuse again are not sent to it.
class RefusalCache
{
public:
    /// Properties of a request by which agents decide on its admission.
    struct Demand
    {
        CustomerId customer;
        PriorityClass priorityClass = PriorityClass::Short;
        Tokens promptTokens;
        Duration timeLeft {};
    };

    /// @p longestHold limits the time for which a refusal is cached, since capacity may become free before the agent's
    /// retry-after has passed.
    explicit RefusalCache(Duration longestHold);

    /// Records that @p agent refused @p demand for lack of capacity.
    void note(const InstanceId &agent, const Demand &demand, const Error &error, TimePoint now);
    /// Returns the cached refusal that also applies to @p demand, or null.
    [[nodiscard]] const Error *find(const InstanceId &agent, const Demand &demand, TimePoint now) const;
    /// Removes the refusal of an agent that has accepted a request of the customer and class.
    void forget(const InstanceId &agent, const CustomerId &customer, PriorityClass priorityClass);
    /// Removes expired refusals.
    void removeExpired(TimePoint now);

private:
    struct Key
    {
        CustomerId customer;
        PriorityClass priorityClass = PriorityClass::Short;

        auto operator<=>(const Key &) const = default;
    };
    struct Refusal
    {
        Tokens promptTokens;
        Duration timeLeft {};
        TimePoint until;
        Error error;
    };

    Duration m_longestHold;
    std::map<Key, std::map<InstanceId, Refusal>> m_refusals;
};

} // namespace ibismast
