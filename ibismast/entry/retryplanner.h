#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Decides whether and when a completion gets another attempt, and what its caller is told if it does not.
class RetryPlanner
{
public:
    explicit RetryPlanner(EntryContext &context);

    /// Notes a failure, as opposed to a refusal, at @p upstream.
    void noteFailure(Completion &completion, const InstanceId &upstream, TimePoint now);
    /// Returns the pause before the next attempt, or nothing if there must not be one.
    [[nodiscard]] std::optional<Duration> pauseAfter(Completion &completion, RetryCause cause, TimePoint now);
    /// Returns the pause before another group is tried after one was refused, or nothing if the request must fail.
    [[nodiscard]] std::optional<Duration> pauseAfterGroup(Completion &completion, TimePoint now);
    /// Takes the next attempt from the budget if it needs to; returns a pause if the budget is used up.
    [[nodiscard]] std::optional<Duration> waitForBudget(Completion &completion, TimePoint now);
    /// Returns the time until which a failed request without a usable upstream waits; nothing if it must not wait.
    [[nodiscard]] std::optional<TimePoint> waitForUpstream(Completion &completion, TimePoint now);
    /// Returns @p error, or an error without the promise "not run" if that is not proven for @p completion.
    [[nodiscard]] static Error finalError(const Completion &completion, Error error);

private:
    [[nodiscard]] Duration jittered(Duration pause);

    EntryContext &m_context;
};

} // namespace ibismast
