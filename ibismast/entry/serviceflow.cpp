#include "ibismast/entry/serviceflow.h"

#include "ibismast/entry/agentfilter.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// Range of the claims' store call ids; must differ from those of the configuration and the leases.
constexpr std::uint16_t ClaimCallRange = 16;

void appendCalls(StoreCalls &calls, EntryActions &out)
{
    for (StoreCall &call : calls) {
        out.emplace_back(std::move(call));
    }
}

} // namespace

ServiceFlow::ServiceFlow(EntryContext &context)
    : m_context(context), m_pool(context), m_claims(context.settings.claims, ClaimCallRange)
{
}

RequestId ServiceFlow::call(ServiceRequest request, TimePoint now, EntryActions &out)
{
    ServiceCall &call = admit(std::move(request), now);
    const RequestId id = call.id;
    call.operation = call.request.operation;
    // If the caller sends an operation id, an earlier request may have run the operation.
    call.shared = call.operation.has_value();
    call.mayHaveRun = call.shared;
    start(call, now, out);
    return id;
}

RequestId
ServiceFlow::requestOperationId(const ServiceName &service, Duration timeLeft, TimePoint now, EntryActions &out)
{
    ServiceRequest request;
    request.service = service;
    request.timeLeft = timeLeft;
    ServiceCall &call = admit(std::move(request), now);
    const RequestId id = call.id;
    call.idOnly = true;
    start(call, now, out);
    return id;
}

void ServiceFlow::callerDisconnected(const RequestId &request, EntryActions &out)
{
    ServiceCall *call = find(request);
    if (call == nullptr) {
        return;
    }
    // A shared operation goes on, because another request may still ask for its result. Nobody can ask for that of any
    // other operation, so it is cancelled.
    if (call->phase == ServiceCallPhase::AwaitingAnswer && !call->shared) {
        out.emplace_back(SendToPeer {call->operation->agent, CancelOperation {*call->operation, call->id}});
    }
    erase(request);
}

void ServiceFlow::handle(const PeerFrame &frame, const OperationsIssued &message, TimePoint now, EntryActions &out)
{
    if (m_pool.addBlock(frame, message)) {
        resumeAwaitingOperation(now, out);
    }
}

void ServiceFlow::handle(const PeerFrame &frame, const OperationResult &message, TimePoint now, EntryActions &out)
{
    ServiceCall *call = find(message.request);
    if (call == nullptr || call->phase != ServiceCallPhase::AwaitingAnswer || call->operation != message.operation
        || frame.sender != message.operation.agent) {
        return;
    }
    const Error error =
        message.error.value_or(Error {ResultCode::OutcomeUnknown, "the agent does not know the outcome", {}});
    switch (message.outcome) {
    case OperationOutcome::Completed:
        m_context.health.noteSuccess(frame.sender);
        out.emplace_back(
            DeliverServiceReply {call->id, message.operation, message.httpStatus, message.contentType, message.body});
        erase(call->id);
        break;
    case OperationOutcome::NotRun:
        // Only the incarnation that issued the id can know whether the operation was run.
        if (frame.incarnation == message.operation.incarnation) {
            onNotRun(*call, error, now, out);
        } else {
            onOutcomeUnknown(*call, error, now, out);
        }
        break;
    case OperationOutcome::Unknown:
        onOutcomeUnknown(*call, error, now, out);
        break;
    case OperationOutcome::InProgress:
        endOpenCall(*call);
        call->pollPause =
            std::clamp(call->pollPause * 2, m_context.settings.progressPause, m_context.settings.progressPause * 10);
        setPhase(*call, ServiceCallPhase::Polling, now + call->pollPause);
        break;
    }
}

void ServiceFlow::handleStore(const StoreAnswer &answer, TimePoint now, EntryActions &out)
{
    StoreCalls calls;
    m_claims.handle(answer, now, calls);
    processClaims(calls, now, out);
}

void ServiceFlow::onAgentHeartbeat(const Upstream &agent, TimePoint now, EntryActions &out)
{
    m_pool.requestBlockIfLow(agent, now, out);
}

void ServiceFlow::agentLost(const InstanceId &agent, TimePoint now, EntryActions &out)
{
    m_pool.removeAgent(agent);
    std::vector<RequestId> affected;
    for (const auto &[id, call] : m_calls) {
        const bool sent = call.phase == ServiceCallPhase::AwaitingAnswer || call.phase == ServiceCallPhase::Polling;
        if (sent && call.operation->agent == agent) {
            affected.push_back(id);
        }
    }
    for (const RequestId &id : affected) {
        const Error error {ResultCode::OutcomeUnknown, "the connection to the service's agent was lost", {}};
        onOutcomeUnknown(*find(id), error, now, out);
    }
}

void ServiceFlow::runDue(TimePoint now, EntryActions &out)
{
    StoreCalls calls;
    m_claims.tick(now, calls);
    processClaims(calls, now, out);
    while (const auto request = m_timers.popDue(now)) {
        if (ServiceCall *call = find(*request)) {
            onTimer(*call, now, out);
        }
    }
}

std::size_t ServiceFlow::openRequests() const
{
    return m_calls.size();
}

void ServiceFlow::collectActive(std::set<InstanceId> &agents) const
{
    for (const auto &[id, call] : m_calls) {
        if (call.phase == ServiceCallPhase::AwaitingAnswer || call.phase == ServiceCallPhase::Polling) {
            agents.insert(call.operation->agent);
        }
    }
}

ServiceCall *ServiceFlow::find(const RequestId &request)
{
    const auto call = m_calls.find(request);
    return call == m_calls.end() ? nullptr : &call->second;
}

ServiceCall &ServiceFlow::admit(ServiceRequest request, TimePoint now)
{
    const RequestId id = m_context.nextRequest();
    ServiceCall &call = m_calls[id];
    call.id = id;
    call.admitted = now;
    call.deadline = now + request.timeLeft;
    m_context.retryBudget.noteRequest(now);
    m_timers.schedule(m_context.tombstoneTime(now, call.deadline), id);
    m_timers.schedule(m_context.watchdogTime(now, call.deadline), id);
    call.request = std::move(request);
    return call;
}

void ServiceFlow::start(ServiceCall &call, TimePoint now, EntryActions &out)
{
    if (m_context.shuttingDown) {
        fail(call, Error {ResultCode::ShuttingDown, "this entry instance is shutting down", {}}, out);
    } else if (call.deadline <= now) {
        fail(call, Error {ResultCode::DeadlineNotFeasible, "the request's deadline has already passed", {}}, out);
    } else if (call.request.idempotencyKey.size() > m_context.settings.longestIdempotencyKey) {
        fail(call, Error {ResultCode::InvalidArgument, "the Idempotency-Key header is too long", {}}, out);
    } else if (call.operation) {
        send(call, now, out);
    } else {
        acquireOperation(call, now, out);
    }
}

void ServiceFlow::acquireOperation(ServiceCall &call, TimePoint now, EntryActions &out)
{
    const std::vector<Upstream *> &agents = m_context.upstreams.serviceSubset(call.request.service);
    const Upstream *agent = Router::chooseForCall(agents, AgentFilter(call, m_context, &m_pool, now), m_context.random);
    if (agent == nullptr) {
        awaitOperation(call, agents, now, out);
        return;
    }
    call.operation = m_pool.take(*agent);
    m_pool.requestBlockIfLow(*agent, now, out);
    if (call.idOnly) {
        out.emplace_back(DeliverOperationId {call.id, *call.operation});
        erase(call.id);
        return;
    }
    if (call.request.idempotent || call.request.idempotencyKey.empty()) {
        send(call, now, out);
        return;
    }
    StoreCalls calls;
    m_claims.submit(call.id,
                    ClaimKey {call.request.customer, call.request.service, call.request.idempotencyKey},
                    *call.operation,
                    now,
                    calls);
    setPhase(call, ServiceCallPhase::AwaitingClaim, TimePoint::max());
    processClaims(calls, now, out);
}

void ServiceFlow::awaitOperation(ServiceCall &call,
                                 const std::vector<Upstream *> &agents,
                                 TimePoint now,
                                 EntryActions &out)
{
    const AgentFilter usableAgents(call, m_context, nullptr, now);
    bool anyUsable = false;
    for (const Upstream *agent : agents) {
        if (usableAgents.accepts(*agent)) {
            anyUsable = true;
            m_pool.requestBlockIfLow(*agent, now, out);
        }
    }
    if (!anyUsable) {
        const Error noAgent {ResultCode::NoUpstream, "no live upstream serves " + call.request.service.value(), {}};
        fail(call, call.lastError.value_or(noAgent), out);
        return;
    }
    setPhase(call, ServiceCallPhase::AwaitingOperation, TimePoint::max());
    m_awaitingOperation.insert(call.id);
}

void ServiceFlow::resumeAwaitingOperation(TimePoint now, EntryActions &out)
{
    const std::vector<RequestId> waiting(m_awaitingOperation.begin(), m_awaitingOperation.end());
    for (const RequestId &id : waiting) {
        if (ServiceCall *call = find(id)) {
            m_awaitingOperation.erase(id);
            acquireOperation(*call, now, out);
        }
    }
}

void ServiceFlow::send(ServiceCall &call, TimePoint now, EntryActions &out)
{
    const InstanceId agent = call.operation->agent;
    Upstream *upstream = m_context.upstreams.find(agent);
    if (upstream != nullptr && !upstream->connected) {
        fail(call,
             Error {ResultCode::OutcomeUnknown, "the agent that issued the operation id is not connected", {}},
             out);
        return;
    }
    if (upstream != nullptr) {
        ++upstream->openCalls;
    }
    m_context.health.noteDispatch(agent, now);
    call.mayHaveRun = true;
    setPhase(call, ServiceCallPhase::AwaitingAnswer, TimePoint::max());
    out.emplace_back(SendToPeer {agent, operationCall(call, now)});
}

void ServiceFlow::setPhase(ServiceCall &call, ServiceCallPhase phase, TimePoint until)
{
    call.phase = phase;
    call.phaseUntil = until;
    if (until != TimePoint::max()) {
        m_timers.schedule(until, call.id);
    }
}

void ServiceFlow::onClaimResult(const ClaimResult &result, TimePoint now, EntryActions &out)
{
    ServiceCall *call = find(result.request);
    if (call == nullptr || call->phase != ServiceCallPhase::AwaitingClaim) {
        return;
    }
    if (const Error *error = errorOf(result.operation)) {
        // The store may still bind the proposed id to the key, but no call was sent under this id.
        call->operation.reset();
        fail(*call, *error, out);
        return;
    }
    call->operation = std::get<OperationId>(result.operation);
    call->shared = true;
    send(*call, now, out);
}

void ServiceFlow::processClaims(StoreCalls &calls, TimePoint now, EntryActions &out)
{
    appendCalls(calls, out);
    for (const ClaimResult &result : m_claims.takeResults()) {
        onClaimResult(result, now, out);
    }
}

void ServiceFlow::onNotRun(ServiceCall &call, Error error, TimePoint now, EntryActions &out)
{
    if (!resultCodeInfo(error.code).notRun) {
        error.code = ResultCode::AttemptCancelled;
    }
    if (error.code == ResultCode::UpstreamLeaving) {
        m_context.upstreams.markLeaving(call.operation->agent);
    }
    call.mayHaveRun = call.earlierMayHaveRun;
    if (call.shared) {
        // Another request may still run the shared operation, so a retry under a new id could run the call twice.
        fail(call, error, out);
        return;
    }
    if (call.cancelling) {
        fail(call,
             Error {ResultCode::DeadlineNotFeasible, "the service did not start the call before its deadline", {}},
             out);
        return;
    }
    retryOrFail(call, causeOfRefusal(error.code), error, now, out);
}

void ServiceFlow::onOutcomeUnknown(ServiceCall &call, const Error &error, TimePoint now, EntryActions &out)
{
    m_context.health.noteFailure(call.operation->agent, now);
    if (call.request.idempotent && !call.shared && !call.cancelling) {
        call.earlierMayHaveRun = true;
        retryOrFail(call, RetryCause::Failure, error, now, out);
        return;
    }
    Error unknown = error;
    if (resultCodeInfo(unknown.code).notRun) {
        unknown.code = ResultCode::OutcomeUnknown;
    }
    fail(call, unknown, out);
}

void ServiceFlow::retryOrFail(ServiceCall &call, RetryCause cause, const Error &error, TimePoint now, EntryActions &out)
{
    endOpenCall(call);
    call.lastError = error;
    call.triedAgents.push_back(call.operation->agent);
    const auto pause =
        m_context.planRetry(cause, static_cast<std::uint32_t>(call.triedAgents.size()), call.deadline - now, now);
    if (!pause) {
        fail(call, error, out);
        return;
    }
    call.operation.reset();
    if (*pause == Duration::zero()) {
        acquireOperation(call, now, out);
    } else {
        setPhase(call, ServiceCallPhase::Waiting, now + *pause);
    }
}

void ServiceFlow::onTimer(ServiceCall &call, TimePoint now, EntryActions &out)
{
    if (now >= m_context.watchdogTime(call.admitted, call.deadline)) {
        const ResultCode code = call.phase == ServiceCallPhase::Polling ? ResultCode::OperationInProgress
            : call.mayHaveRun                                           ? ResultCode::DeadlineExceeded
                                                                        : ResultCode::DeadlineNotFeasible;
        fail(call, Error {code, "the call did not end before its deadline", {}}, out);
        return;
    }
    const bool tombstoneDue = now >= m_context.tombstoneTime(call.admitted, call.deadline);
    if (tombstoneDue && call.phase == ServiceCallPhase::AwaitingAnswer && !call.shared && !call.cancelling) {
        call.cancelling = true;
        out.emplace_back(SendToPeer {call.operation->agent, CancelOperation {*call.operation, call.id}});
    }
    if (now < call.phaseUntil) {
        return;
    }
    if (call.phase == ServiceCallPhase::Polling) {
        send(call, now, out);
    } else if (call.phase == ServiceCallPhase::Waiting) {
        acquireOperation(call, now, out);
    }
}

void ServiceFlow::fail(ServiceCall &call, Error error, EntryActions &out)
{
    if (call.mayHaveRun && resultCodeInfo(error.code).notRun) {
        error = Error {
            ResultCode::OutcomeUnknown, "the call may have been run; last reason: " + error.message, error.retryAfter};
    }
    const bool canQueryOperation = call.shared || (call.operation && call.mayHaveRun);
    out.emplace_back(
        DeliverFailure {call.id, std::move(error), canQueryOperation ? call.operation : std::optional<OperationId>()});
    erase(call.id);
}

void ServiceFlow::erase(const RequestId &request)
{
    const auto call = m_calls.find(request);
    if (call->second.phase == ServiceCallPhase::AwaitingAnswer) {
        endOpenCall(call->second);
    } else if (call->second.phase == ServiceCallPhase::AwaitingClaim) {
        m_claims.cancel(request);
    }
    m_awaitingOperation.erase(request);
    m_calls.erase(call);
}

void ServiceFlow::endOpenCall(const ServiceCall &call)
{
    Upstream *upstream = call.operation ? m_context.upstreams.find(call.operation->agent) : nullptr;
    if (upstream != nullptr && upstream->openCalls > 0) {
        --upstream->openCalls;
    }
}

} // namespace ibismast
