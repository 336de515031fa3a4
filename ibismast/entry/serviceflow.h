#pragma once

#include "ibismast/entry/operationpool.h"
#include "ibismast/entry/servicecall.h"
#include "ibismast/entry/timerqueue.h"

#include <set>

namespace ibismast
{

/// Carries calls of plain services from their admission to their one final delivery.
///
/// A call runs under an operation id, which names the only agent that may run it. A call that must not be repeated is
/// never sent under a second id unless its agent has said that the first one was not run.
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

    /// A heartbeat of @p agent was applied.
    void agentReported(const Upstream &agent, TimePoint now, EntryActions &out);
    /// The agent's connection or process ended.
    void agentLost(const InstanceId &agent, TimePoint now, EntryActions &out);
    /// Does what is due: deadlines, repeated calls, claims.
    void runDue(TimePoint now, EntryActions &out);

    [[nodiscard]] std::size_t openRequests() const;
    /// Adds the agents that hold an unanswered call to @p agents.
    void collectActive(std::set<InstanceId> &agents) const;

private:
    ServiceCall *find(const RequestId &request);
    ServiceCall &admit(ServiceRequest request, TimePoint now);
    void start(ServiceCall &call, TimePoint now, EntryActions &out);
    /// Takes an operation id and goes on, or waits for one.
    void acquireOperation(ServiceCall &call, TimePoint now, EntryActions &out);
    void awaitOperation(ServiceCall &call, const std::vector<Upstream *> &agents, TimePoint now, EntryActions &out);
    void serveWaiting(TimePoint now, EntryActions &out);
    void send(ServiceCall &call, TimePoint now, EntryActions &out);
    void setPhase(ServiceCall &call, ServiceCallPhase phase, TimePoint until);
    void onClaimed(const ClaimResult &result, TimePoint now, EntryActions &out);
    void takeClaims(StoreCalls &calls, TimePoint now, EntryActions &out);
    void onNotRun(ServiceCall &call, Error error, TimePoint now, EntryActions &out);
    void onUnknown(ServiceCall &call, const Error &error, TimePoint now, EntryActions &out);
    /// Tries again under another operation id, or fails with @p error.
    void retryOrFail(ServiceCall &call, RetryCause cause, const Error &error, TimePoint now, EntryActions &out);
    void onTimer(ServiceCall &call, TimePoint now, EntryActions &out);
    void fail(ServiceCall &call, Error error, EntryActions &out);
    void erase(const RequestId &request);
    /// The call no longer waits for its agent.
    void endOpenCall(const ServiceCall &call);

    EntryContext &m_context;
    OperationPool m_pool;
    ClaimBatcher m_claims;
    std::map<RequestId, ServiceCall> m_calls;
    std::set<RequestId> m_awaitingOperation;
    TimerQueue m_timers;
};

} // namespace ibismast
