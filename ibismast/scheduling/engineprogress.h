#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/priorityclass.h"

#include <map>

namespace ibismast
{

/// Estimates how many tokens of each submitted prompt the engine has prefilled.
///
/// Engines report no progress between the submission of a prompt and its first token. For that period this class
/// assumes that the engine prefills one prompt after another at the measured rate, ordered by priority and then by
/// arrival. The owner removes a prompt at its first token, which corrects the estimate.
class EngineProgress
{
public:
    /// Adds a prompt with @p tokens left to prefill. @p attempt must not be present yet; larger priorities go first.
    void add(const AttemptId &attempt, PriorityClass priorityClass, Tokens tokens, int priority);
    /// Changes the priority of a prompt; does nothing if @p attempt is unknown.
    void setPriority(const AttemptId &attempt, int priority);
    /// Removes a prompt that is prefilled or has left the engine. Returns the tokens that were still estimated to
    /// remain, 0 if @p attempt is unknown.
    double remove(const AttemptId &attempt);
    /// Advances the estimate to @p now at @p rate tokens per second. Returns the tokens prefilled for each class since
    /// the last call.
    PerClass<double> advance(TimePoint now, double rate);

    /// Estimated number of tokens left to prefill for one attempt, for one class, or in total.
    [[nodiscard]] double remaining(const AttemptId &attempt) const;
    [[nodiscard]] double remaining(PriorityClass priorityClass) const;
    [[nodiscard]] double remaining() const;
    /// Number of prompts of @p priorityClass that have not been removed.
    [[nodiscard]] std::size_t count(PriorityClass priorityClass) const;
    [[nodiscard]] bool empty() const;

private:
    struct Prompt
    {
        AttemptId attempt;
        PriorityClass priorityClass = PriorityClass::Short;
        double remaining = 0.0;
    };
    /// Negated priority and arrival number: sorts by descending priority, then by arrival.
    using SortKey = std::pair<int, std::uint64_t>;

    std::map<SortKey, Prompt> m_prompts;
    std::map<AttemptId, SortKey> m_sortKeys;
    std::uint64_t m_arrivals = 0;
    TimePoint m_lastAdvance {};
};

} // namespace ibismast
