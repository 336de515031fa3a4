#pragma once

#include "ibismast/core/messages.h"

#include <map>

namespace ibismast
{

/// Remembers for a short time which agents have just refused a customer's requests of a class, so that requests that
/// would be refused again are refused without being sent.
class RefusalMemory
{
public:
    /// What a request asks of an agent.
    struct Demand
    {
        CustomerId customer;
        PriorityClass priorityClass = PriorityClass::Short;
        Tokens promptTokens;
        Duration timeLeft {};
    };

    /// @p longestHold bounds the time for which a refusal counts, since capacity may be free again before.
    explicit RefusalMemory(Duration longestHold);

    /// An agent refused @p demand for lack of capacity.
    void note(const InstanceId &agent, const Demand &demand, const Error &error, TimePoint now);
    /// Returns the refusal that @p agent would repeat, or null.
    [[nodiscard]] const Error *find(const InstanceId &agent, const Demand &demand, TimePoint now) const;
    /// The agent has reported its load or accepted work; earlier refusals do not count any more.
    void forget(const InstanceId &agent, const CustomerId &customer, PriorityClass priorityClass);
    /// Drops what does not count any more.
    void dropOld(TimePoint now);

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
