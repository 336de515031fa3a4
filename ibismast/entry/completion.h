#pragma once

#include "ibismast/entry/entryactions.h"
#include "ibismast/entry/groupreservation.h"
#include "ibismast/entry/refusalcache.h"
#include "ibismast/streams/streamassembler.h"

namespace ibismast
{

/// State of an attempt at one upstream.
enum class TargetState : std::uint8_t {
    /// Dispatched; the agent has not answered.
    Sent,
    /// Accepted by the agent; queued or running.
    Accepted,
    /// The agent has confirmed that the upstream did not run the attempt: it refused the attempt, reported a failure
    /// before the start, or holds a tombstone that keeps the attempt from starting.
    NotRun,
    /// Ended, cancelled or lost with the connection; the upstream may have run the attempt.
    MayHaveRun,
};

/// True if the attempt may be queued or running at the upstream.
[[nodiscard]] constexpr bool isOpen(TargetState state)
{
    return state == TargetState::Sent || state == TargetState::Accepted;
}

/// Upstream to which an attempt was dispatched.
struct AttemptTarget
{
    InstanceId upstream;
    /// Incarnation of the agent that the attempt was sent to.
    Incarnation incarnation;
    TargetState state = TargetState::Sent;
};

/// One dispatch of a completion to an upstream, or to the members of a group.
struct UpstreamAttempt
{
    AttemptId id;
    std::vector<AttemptTarget> targets;
    /// Tokens that the dispatch adds to the upstream's queue; 0 for an attempt on a group.
    Tokens work;

    /// Returns the target for @p upstream, or null.
    [[nodiscard]] AttemptTarget *find(const InstanceId &upstream);
};

/// What a completion waits for.
enum class CompletionPhase : std::uint8_t {
    /// The last attempt is queued or running.
    Running,
    /// A cancellation of the last attempt was sent and has not been answered.
    Cancelling,
    /// The members of a group are being asked to reserve KV memory.
    Reserving,
    /// The next attempt starts at `Completion::phaseUntil`.
    Waiting,
};

/// State of a completion request that has not ended.
struct Completion
{
    RequestId id;
    CompletionRequest request;
    PriorityClass priorityClass = PriorityClass::Short;
    TimePoint admitted;
    TimePoint deadline;
    StreamAssembler assembler;
    /// All attempts; only the last one may be active.
    std::vector<UpstreamAttempt> attempts;
    CompletionPhase phase = CompletionPhase::Waiting;
    /// End of the current phase: the timeout of an unanswered dispatch, reservation or cancellation, or the start of
    /// the next attempt.
    TimePoint phaseUntil = TimePoint::max();
    /// Failure to report when the attempt under cancellation has ended. If empty, the request may be retried instead.
    std::optional<Error> failureAfterCancel;
    /// Error of the last attempt that was refused or failed.
    std::optional<Error> lastError;
    /// Upstream at which an attempt failed first. A refusal is not a failure.
    std::optional<InstanceId> firstFailedUpstream;
    /// Upstreams that the last refusal named as likely to accept the request, best first.
    std::vector<InstanceId> suggestedUpstreams;
    /// True if the next attempt must take a retry from the retry budget before it starts.
    bool needsBudget = false;
    /// Group that serves the current attempt.
    std::optional<GroupReservation> group;
    /// Index of the group member whose segment was dispatched last.
    std::uint32_t segment = 0;
    /// Delay after the last failed group reservation, before jitter; 0 if there was none.
    Duration groupPause {};
    /// When a failed request stops waiting for a usable upstream; set when the wait starts, reset by a dispatch.
    std::optional<TimePoint> noUpstreamDeadline;

    /// True if agents have confirmed for all attempts that no upstream ran them.
    [[nodiscard]] bool provenNotRun() const;
    /// True if an attempt was dispatched to @p upstream.
    [[nodiscard]] bool tried(const InstanceId &upstream) const;
    /// Returns the last attempt if it has the given id, or null.
    [[nodiscard]] UpstreamAttempt *current(const AttemptId &attempt);
    /// Number of prompt tokens plus the largest number of output tokens.
    [[nodiscard]] Tokens work() const;
    /// Returns the properties of the request by which agents decide on its admission.
    [[nodiscard]] RefusalCache::Demand demand(TimePoint now) const;
    /// Builds the message that dispatches the request as @p attempt. It resumes after the tokens received so far.
    [[nodiscard]] DispatchRequest dispatch(const AttemptId &attempt, TimePoint now) const;
};

} // namespace ibismast
