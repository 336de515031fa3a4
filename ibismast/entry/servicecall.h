#pragma once

#include "ibismast/entry/entryactions.h"

namespace ibismast
{

/// What a service call waits for.
enum class ServiceCallPhase : std::uint8_t {
    /// An operation id.
    AwaitingOperation,
    /// The binding of the idempotency key to an operation id in the key-value store.
    AwaitingClaim,
    /// The agent's answer.
    AwaitingAnswer,
    /// The next poll of an operation that is in progress.
    Polling,
    /// The next attempt, under another operation id.
    Waiting,
};

/// State of a call of a plain service, or of a request for an operation id, that has not ended.
struct ServiceCall
{
    RequestId id;
    ServiceRequest request;
    /// True for a request for an operation id only.
    bool idOnly = false;
    TimePoint admitted;
    TimePoint deadline;
    ServiceCallPhase phase = ServiceCallPhase::AwaitingOperation;
    /// When the phases `Polling` and `Waiting` end.
    TimePoint phaseUntil = TimePoint::max();
    std::optional<OperationId> operation;
    /// True if other requests may refer to the same operation, because the caller sent its id or an idempotency key is
    /// bound to it.
    bool shared = false;
    /// True if the operation's cancellation was requested, after which a tombstone may keep it from starting.
    bool cancelling = false;
    /// False if it is proven that no operation of this call was run.
    bool mayHaveRun = false;
    /// True if an earlier operation of this idempotent call may have run.
    bool earlierMayHaveRun = false;
    std::vector<InstanceId> triedAgents;
    /// Last delay between polls of an operation in progress; 0 if there was none.
    Duration pollPause {};
    std::optional<Error> lastError;
};

/// Builds the message that asks the agent of the operation to run @p call.
[[nodiscard]] OperationCall operationCall(const ServiceCall &call, TimePoint now);

} // namespace ibismast
