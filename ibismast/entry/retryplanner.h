#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Decides whether and when a completion is retried, and which error its caller gets if it is not.
class RetryPlanner
{
public:
    explicit RetryPlanner(EntryContext &context);

    /// Records that an attempt failed, as opposed to being refused, at @p upstream.
    void noteFailure(Completion &completion, const InstanceId &upstream, TimePoint now);
    /// Returns the delay before the next attempt, or nothing if the request must not be retried.
    [[nodiscard]] std::optional<Duration> pauseAfter(Completion &completion, RetryCause cause, TimePoint now);
    /// Returns the delay before another group is tried after a reservation failed, or nothing if the request must fail.
    [[nodiscard]] std::optional<Duration> pauseAfterGroup(Completion &completion, TimePoint now);
    /// Takes the next attempt from the retry budget if it needs to. Returns a delay for another try if the budget is
    /// used up.
    [[nodiscard]] std::optional<Duration> waitForBudget(Completion &completion, TimePoint now);
    /// Returns when a request for which no upstream is usable looks for one again, or nothing if it must fail.
    [[nodiscard]] std::optional<TimePoint> waitForUpstream(Completion &completion, TimePoint now);
    /// Returns @p error. If its code tells the caller that the request was not run, and that is not proven for
    /// @p completion, returns an error whose code does not.
    [[nodiscard]] static Error finalError(const Completion &completion, Error error);

private:
    /// Returns a random duration between half of @p pause and all of it.
    [[nodiscard]] Duration jittered(Duration pause);

    EntryContext &m_context;
};

} // namespace ibismast
