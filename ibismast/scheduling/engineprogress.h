#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/priorityclass.h"

#include <map>

namespace ibismast
{

/// Estimate of how far the engine has prefilled the prompts that it was given.
///
/// Engines report nothing between the submit and the first token. Between the two, this class assumes that the engine
/// prefills at the measured rate in order of priority and arrival; the first token corrects the estimate.
class EngineProgress
{
public:
    /// Adds a prompt of which @p tokens must be prefilled.
    void add(const AttemptId &attempt, PriorityClass priorityClass, Tokens tokens, int priority);
    /// Changes the priority of a prompt.
    void setPriority(const AttemptId &attempt, int priority);
    /// Removes a prompt that is prefilled or gone; returns the part that was estimated to remain.
    double remove(const AttemptId &attempt);
    /// Moves the estimate to @p now at @p rate tokens per second; returns the tokens prefilled for each class.
    PerClass<double> advance(TimePoint now, double rate);

    /// Estimated tokens that remain to prefill.
    [[nodiscard]] double remaining(const AttemptId &attempt) const;
    [[nodiscard]] double remaining(PriorityClass priorityClass) const;
    [[nodiscard]] double remaining() const;
    /// Number of prompts of @p priorityClass in the engine that have no first token yet.
    [[nodiscard]] std::size_t count(PriorityClass priorityClass) const;
    [[nodiscard]] bool empty() const;

private:
    struct Prompt
    {
        AttemptId attempt;
        PriorityClass priorityClass = PriorityClass::Short;
        double remaining = 0.0;
    };
    /// Negated priority and arrival number.
    using Order = std::pair<int, std::uint64_t>;

    std::map<Order, Prompt> m_prompts;
    std::map<AttemptId, Order> m_orders;
    std::uint64_t m_arrivals = 0;
    TimePoint m_last {};
};

} // namespace ibismast
