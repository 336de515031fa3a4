#pragma once

#include "ibismast/entry/entryactions.h"
#include "ibismast/entry/groupreservation.h"
#include "ibismast/entry/refusalmemory.h"
#include "ibismast/streams/streamassembler.h"

namespace ibismast
{

/// What is known of an attempt at one upstream.
enum class PlaceState : std::uint8_t {
    /// Sent; the agent has not answered.
    Sent,
    /// Queued or running.
    Accepted,
    /// Refused before dispatch, or its tombstone is confirmed.
    NotRun,
    /// Ended or lost; the upstream may have run it.
    MayHaveRun,
};

/// True if the attempt may be queued or running at the upstream.
[[nodiscard]] constexpr bool isOpen(PlaceState state)
{
    return state == PlaceState::Sent || state == PlaceState::Accepted;
}

/// One upstream to which an attempt was dispatched.
struct AttemptPlace
{
    InstanceId upstream;
    /// Run of the agent that the attempt was sent to.
    Incarnation incarnation;
    PlaceState state = PlaceState::Sent;
};

/// One dispatch of a completion to an upstream, or to the members of a group.
struct UpstreamAttempt
{
    AttemptId id;
    std::vector<AttemptPlace> places;
    /// Tokens that the dispatch adds to the upstream's queue.
    Tokens work;

    /// Returns the place at @p upstream, or null.
    [[nodiscard]] AttemptPlace *find(const InstanceId &upstream);
};

/// What a completion waits for.
enum class CompletionPhase : std::uint8_t {
    /// The last attempt is queued or running.
    Running,
    /// A cancellation of the last attempt was sent and is not answered.
    Cancelling,
    /// The members of a group are asked to reserve memory.
    Reserving,
    /// The next attempt starts later.
    Waiting,
};

/// Completion request that has not ended.
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
    /// When the present phase is given up: an unanswered dispatch or cancellation, or the wait for the next attempt.
    TimePoint phaseUntil = TimePoint::max();
    /// Failure to report once the cancellation is answered; a new attempt follows if it is empty.
    std::optional<Error> failureAfterCancel;
    /// Reason of the last failed attempt.
    std::optional<Error> lastError;
    /// Upstream of the first attempt that failed, as opposed to being refused.
    std::optional<InstanceId> firstFailed;
    /// Agents that the last refusal named as more likely to accept.
    std::vector<InstanceId> betterPlaces;
    /// True if the next attempt must be taken from the retry budget when it starts.
    bool needsBudget = false;
    /// Group that serves the present attempt, and the index of its running member.
    std::optional<GroupReservation> group;
    std::uint32_t segment = 0;
    /// Pause after the last refusal of a group.
    Duration groupPause {};
    /// When a failed request stops waiting for an upstream that may take it.
    std::optional<TimePoint> noUpstreamDeadline;

    /// True if every attempt was refused before dispatch or has a confirmed tombstone.
    [[nodiscard]] bool provenNotRun() const;
    /// True if an attempt was made at @p upstream.
    [[nodiscard]] bool tried(const InstanceId &upstream) const;
    /// Returns the last attempt if it has the given id, or null.
    [[nodiscard]] UpstreamAttempt *current(const AttemptId &attempt);
    /// Tokens that the request adds to an upstream's queue.
    [[nodiscard]] Tokens work() const;
    /// What the request asks of an agent.
    [[nodiscard]] RefusalMemory::Demand demand(TimePoint now) const;
    /// Returns the message that dispatches the request as @p attempt.
    [[nodiscard]] DispatchRequest dispatch(const AttemptId &attempt, TimePoint now) const;
};

} // namespace ibismast
