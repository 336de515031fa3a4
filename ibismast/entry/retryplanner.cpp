#include "ibismast/entry/retryplanner.h"

#include <algorithm>

namespace ibismast
{

RetryPlanner::RetryPlanner(EntryContext &context) : m_context(context) { }

void RetryPlanner::noteFailure(Completion &completion, const InstanceId &upstream, TimePoint now)
{
    m_context.health.noteFailure(upstream, now);
    if (!completion.firstFailed) {
        completion.firstFailed = upstream;
    }
}

std::optional<Duration> RetryPlanner::pauseAfter(Completion &completion, RetryCause cause, TimePoint now)
{
    // Groups that were refused a reservation have not been attempts at an upstream.
    const auto attempts = std::ranges::count_if(completion.attempts, [](const UpstreamAttempt &attempt) {
        return !attempt.places.empty();
    });
    const auto pause = m_context.retryPolicy.backoffDelay(
        cause, static_cast<std::uint32_t>(attempts), completion.deadline - now, m_context.random);
    // A failed request waits for the budget. A refused one does not: under overload the caller needs its answer.
    const bool overload = cause == RetryCause::Overload;
    if (!pause || (overload && !m_context.retryBudget.take(now))) {
        return std::nullopt;
    }
    completion.needsBudget = RetryPolicy::needsBudget(cause) && !overload;
    return pause;
}

std::optional<Duration> RetryPlanner::pauseAfterGroup(Completion &completion, TimePoint now)
{
    const Duration first = m_context.settings.groupPause;
    completion.groupPause = std::clamp(completion.groupPause * 2, first, first * 10);
    const Duration pause = jittered(completion.groupPause);
    const Duration time = completion.deadline - completion.admitted;
    const TimePoint lastTry = completion.admitted + fromSeconds(toSeconds(time) * m_context.settings.groupTimeShare);
    return now + pause < lastTry ? std::optional(pause) : std::nullopt;
}

std::optional<Duration> RetryPlanner::waitForBudget(Completion &completion, TimePoint now)
{
    if (completion.needsBudget && !m_context.retryBudget.take(now)) {
        return jittered(m_context.settings.budgetPause);
    }
    completion.needsBudget = false;
    return std::nullopt;
}

std::optional<TimePoint> RetryPlanner::waitForUpstream(Completion &completion, TimePoint now)
{
    // Other upstreams may become free or return; a request that was only refused gets its answer at once instead.
    if (!completion.firstFailed) {
        return std::nullopt;
    }
    const Duration timeout = m_context.settings.noUpstreamTimeout;
    if (!completion.noUpstreamDeadline) {
        completion.noUpstreamDeadline = now + timeout;
    }
    return now < *completion.noUpstreamDeadline ? std::optional(now + timeout / 20) : std::nullopt;
}

Error RetryPlanner::finalError(const Completion &completion, Error error)
{
    if (!resultCodeInfo(error.code).notRun || completion.provenNotRun()) {
        return error;
    }
    const bool late = completion.failureAfterCancel.has_value();
    const ResultCode code = completion.assembler.tokenCount() > 0 ? ResultCode::StreamIncomplete
        : late                                                    ? ResultCode::DeadlineExceeded
                                                                  : ResultCode::OutcomeUnknown;
    return Error {code, "an upstream may have run the request; last reason: " + error.message, std::nullopt};
}

Duration RetryPlanner::jittered(Duration pause)
{
    // Keeps the retries of requests that failed together from arriving together.
    return fromSeconds(toSeconds(pause) * (0.5 + 0.5 * m_context.random.uniform()));
}

} // namespace ibismast
