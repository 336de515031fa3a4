#pragma once

#include "ibismast/entry/entryactions.h"

namespace ibismast
{

/// What a call of a plain service waits for.
enum class ServiceCallPhase : std::uint8_t {
    /// An operation id.
    AwaitingOperation,
    /// The binding of the idempotency key.
    AwaitingClaim,
    /// The agent's answer.
    AwaitingAnswer,
    /// The time to ask again for an operation in progress.
    Polling,
    /// The time of the next attempt under another operation id.
    Waiting,
};

/// Call of a plain service, or request for an operation id, that has not ended.
struct ServiceCall
{
    RequestId id;
    ServiceRequest request;
    /// True if the caller asked only for an operation id.
    bool idOnly = false;
    TimePoint admitted;
    TimePoint deadline;
    ServiceCallPhase phase = ServiceCallPhase::AwaitingOperation;
    /// When the phases `Polling` and `Waiting` end.
    TimePoint phaseUntil = TimePoint::max();
    std::optional<OperationId> operation;
    /// True if the operation may be asked for by other requests: the caller sent its id, or a key is bound to it.
    bool shared = false;
    /// True if a tombstone was asked for.
    bool cancelling = false;
    /// True unless it is proven that no operation of this call was run.
    bool mayHaveRun = false;
    /// True if an earlier operation of this idempotent call may have run.
    bool earlierMayHaveRun = false;
    std::vector<InstanceId> triedAgents;
    Duration pollPause {};
    std::optional<Error> lastError;
};

/// Returns the message that asks the operation's agent to run @p call.
[[nodiscard]] OperationCall operationCall(const ServiceCall &call, TimePoint now);

} // namespace ibismast
