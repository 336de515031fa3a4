#include "ibismast/entry/retryplanner.h"

#include <algorithm>

namespace ibismast
{

RetryPlanner::RetryPlanner(EntryContext &context) : m_context(context) { }

void RetryPlanner::noteFailure(Completion &completion, const InstanceId &upstream, TimePoint now)
{
    m_context.health.noteFailure(upstream, now);
    if (!completion.firstFailedUpstream) {
        completion.firstFailedUpstream = upstream;
    }
}

std::optional<Duration> RetryPlanner::pauseAfter(Completion &completion, RetryCause cause, TimePoint now)
{
    // Attempts whose group reservation failed were not dispatched to any upstream and do not count.
    const auto attempts = std::ranges::count_if(completion.attempts, [](const UpstreamAttempt &attempt) {
        return !attempt.targets.empty();
    });
    const auto pause = m_context.retryPolicy.backoffDelay(
        cause, static_cast<std::uint32_t>(attempts), completion.deadline - now, m_context.random);
    // A failed request waits until the budget allows its retry. A request refused for overload fails at once if the
    // budget is used up, so that its caller learns of the overload without delay.
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
    // After a failure, waiting helps: other upstreams may become usable. A request that was only refused fails at once,
    // so that its caller gets the refusal without delay.
    if (!completion.firstFailedUpstream) {
        return std::nullopt;
    }
    const Duration timeout = m_context.settings.noUpstreamTimeout;
    if (!completion.noUpstreamDeadline) {
        completion.noUpstreamDeadline = now + timeout;
    }
    // Looks for a usable upstream 20 times during the timeout.
    return now < *completion.noUpstreamDeadline ? std::optional(now + timeout / 20) : std::nullopt;
}

Error RetryPlanner::finalError(const Completion &completion, Error error)
{
    if (!resultCodeInfo(error.code).notRun || completion.provenNotRun()) {
        return error;
    }
    const bool cancelledForDeadline = completion.failureAfterCancel.has_value();
    const ResultCode code = completion.assembler.tokenCount() > 0 ? ResultCode::StreamIncomplete
        : cancelledForDeadline                                    ? ResultCode::DeadlineExceeded
                                                                  : ResultCode::OutcomeUnknown;
    return Error {code, "an upstream may have run the request; last reason: " + error.message, std::nullopt};
}

Duration RetryPlanner::jittered(Duration pause)
{
    // Jitter keeps requests that failed at the same time from being retried at the same time.
    return fromSeconds(toSeconds(pause) * (0.5 + 0.5 * m_context.random.uniform()));
}

} // namespace ibismast
