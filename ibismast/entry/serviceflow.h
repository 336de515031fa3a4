#pragma once

#include "ibismast/entry/operationidpool.h"
#include "ibismast/entry/servicecall.h"
#include "ibismast/entry/timerqueue.h"

#include <set>

namespace ibismast
{

/// State machine of calls of plain services. Each call ends with exactly one delivery, or with none if its caller
/// disconnects.
///
/// A call runs under an operation id, which names the only agent that may run it. A non-idempotent call is sent under a
/// second id only if the agent has confirmed that the operation with the first one was not run.
class ServiceFlow
{
public:
    explicit ServiceFlow(EntryContext &context);

    RequestId call(ServiceRequest request, TimePoint now, EntryActions &out);
    RequestId requestOperationId(const ServiceName &service, Duration timeLeft, TimePoint now, EntryActions &out);
    void callerDisconnected(const RequestId &request, EntryActions &out);

    void handle(const PeerFrame &frame, const OperationsIssued &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const OperationResult &message, TimePoint now, EntryActions &out);
    void handleStore(const StoreAnswer &answer, TimePoint now, EntryActions &out);

    /// Call after a heartbeat of @p agent was applied to the upstream view.
    void onAgentHeartbeat(const Upstream &agent, TimePoint now, EntryActions &out);
    /// The connection to the agent was lost, or the agent was restarted.
    void agentLost(const InstanceId &agent, TimePoint now, EntryActions &out);
    /// Handles expired timers: deadlines, polls and retries, claims of idempotency keys.
    void runDue(TimePoint now, EntryActions &out);

    [[nodiscard]] std::size_t openRequests() const;
    /// Adds the agents that have not answered a call, or run an operation that is polled, to @p agents.
    void collectActive(std::set<InstanceId> &agents) const;

private:
    ServiceCall *find(const RequestId &request);
    ServiceCall &admit(ServiceRequest request, TimePoint now);
    void start(ServiceCall &call, TimePoint now, EntryActions &out);
    /// Takes an operation id and continues with the call, or waits until an id is issued.
    void acquireOperation(ServiceCall &call, TimePoint now, EntryActions &out);
    /// Requests operation ids from all usable agents and waits; fails if no agent is usable.
    void awaitOperation(ServiceCall &call, const std::vector<Upstream *> &agents, TimePoint now, EntryActions &out);
    /// Continues the calls that wait for an operation id, after new ids were issued.
    void resumeAwaitingOperation(TimePoint now, EntryActions &out);
    void send(ServiceCall &call, TimePoint now, EntryActions &out);
    void setPhase(ServiceCall &call, ServiceCallPhase phase, TimePoint until);
    void onClaimResult(const ClaimResult &result, TimePoint now, EntryActions &out);
    /// Emits the store calls of the claim batcher and handles the claims that have been resolved.
    void processClaims(StoreCalls &calls, TimePoint now, EntryActions &out);
    /// The agent has confirmed that the operation was not run.
    void onNotRun(ServiceCall &call, Error error, TimePoint now, EntryActions &out);
    /// The operation may have been run, but its outcome cannot be determined.
    void onOutcomeUnknown(ServiceCall &call, const Error &error, TimePoint now, EntryActions &out);
    /// Retries the call under another operation id, or fails it with @p error.
    void retryOrFail(ServiceCall &call, RetryCause cause, const Error &error, TimePoint now, EntryActions &out);
    void onTimer(ServiceCall &call, TimePoint now, EntryActions &out);
    void fail(ServiceCall &call, Error error, EntryActions &out);
    void erase(const RequestId &request);
    /// Removes the call from the agent's number of open calls.
    void endOpenCall(const ServiceCall &call);

    EntryContext &m_context;
    OperationIdPool m_pool;
    ClaimBatcher m_claims;
    std::map<RequestId, ServiceCall> m_calls;
    std::set<RequestId> m_awaitingOperation;
    TimerQueue m_timers;
};

} // namespace ibismast
