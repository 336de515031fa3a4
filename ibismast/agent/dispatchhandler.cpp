#include "ibismast/agent/dispatchhandler.h"

#include <algorithm>

namespace ibismast
{

namespace
{

Error makeError(ResultCode code, std::string message)
{
    return Error {code, std::move(message), std::nullopt};
}

} // namespace

DispatchHandler::DispatchHandler(const AgentContext &context,
                                 AttemptRunner &runner,
                                 GroupReservations &groups,
                                 const PrefixTracker &prefixes)
    : m_context(context)
    , m_runner(runner)
    , m_groups(groups)
    , m_prefixes(prefixes)
    , m_admission(context.settings.admission, context.settings.schedule.queue)
    , m_models(context.settings.models)
{
}

void DispatchHandler::dispatch(const PeerFrame &frame, const DispatchRequest &request, TimePoint now, AgentActions &out)
{
    const AttemptId &id = request.attempt;
    if (const Attempt *live = m_runner.attempts().find(id); live != nullptr && live->owner == frame.sender) {
        m_context.log("duplicate_dispatch", {{"attempt", toString(id)}});
        return;
    }
    if (m_runner.attempts().recordOf(id) == AttemptRecord::Ended) {
        // Do not refuse the duplicate: a refusal would tell the entry that the attempt was never executed.
        m_context.log("duplicate_dispatch", {{"attempt", toString(id)}});
        return;
    }
    const auto refuse = [&](const Error &error) {
        m_context.log("attempt_refused", {{"attempt", toString(id)}, {"reason", error.message}});
        sendTo(frame.sender, DispatchRefused {id, error, {}}, out);
    };
    if (const auto error = rejectionReason(frame, id, request.model, request.timeLeft)) {
        refuse(*error);
        return;
    }
    if (request.promptTokens <= Tokens(0) || request.maxOutputTokens <= Tokens(0) || !request.body
        || !(request.customerWeight > 0.0)) {
        refuse(makeError(ResultCode::InvalidArgument,
                         "The attempt has no prompt tokens, output tokens, body or customer weight."));
        return;
    }
    supersede(id, now, out);

    Attempt attempt;
    attempt.request = request;
    attempt.owner = frame.sender;
    attempt.deadline = now + request.timeLeft;
    attempt.priorityClass = classifyPrompt(request.promptTokens);
    attempt.output = request.maxOutputTokens;
    attempt.nextSequence = request.resumeFrom;
    const Result<Duration> admitted =
        request.group ? startMember(std::move(attempt), now, out) : admit(std::move(attempt), now);
    if (const Error *error = errorOf(admitted)) {
        refuse(*error);
        return;
    }
    m_context.log("attempt_accepted", {{"attempt", toString(id)}, {"customer", request.customer.value()}});
    sendTo(frame.sender, DispatchAccepted {id, std::get<Duration>(admitted)}, out);
}

void DispatchHandler::cancel(const PeerFrame &frame, const CancelAttempt &message, TimePoint now, AgentActions &out)
{
    const AttemptId &id = message.attempt;
    CancelOutcome outcome = CancelOutcome::NeverStarted;
    if (const Attempt *live = m_runner.attempts().find(id)) {
        if (live->owner != frame.sender) {
            m_context.log("foreign_cancel", {{"attempt", toString(id)}, {"sender", frame.sender.value()}});
            return;
        }
        outcome = m_runner.cancel(id, now, out);
    } else if (m_runner.attempts().recordOf(id) == AttemptRecord::Ended) {
        outcome = CancelOutcome::AlreadyEnded;
    } else {
        m_groups.release(id, frame.sender, now, out);
        m_runner.attempts().record(id, AttemptRecord::Tombstone, now);
    }
    sendTo(frame.sender, CancelResult {id, outcome}, out);
}

void DispatchHandler::reserve(const PeerFrame &frame, const ReserveMemory &message, TimePoint now, AgentActions &out)
{
    const auto error = rejectionReason(frame, message.owner, message.model, message.timeLeft);
    if (!error) {
        supersede(message.owner, now, out);
    }
    m_groups.reserve(frame, message, error, now, out);
}

void DispatchHandler::setLeaving()
{
    m_leaving = true;
}

void DispatchHandler::setModels(std::vector<ModelName> models)
{
    m_models = std::move(models);
}

const std::vector<ModelName> &DispatchHandler::models() const
{
    return m_models;
}

std::optional<Error>
DispatchHandler::rejectionReason(const PeerFrame &frame, const AttemptId &id, const ModelName &model, Duration timeLeft)
{
    AttemptTable &attempts = m_runner.attempts();
    if (id.request.entry != frame.incarnation) {
        return makeError(ResultCode::WrongIncarnation, "The attempt was created by another incarnation of its entry.");
    }
    if (attempts.find(id) != nullptr) {
        return makeError(ResultCode::InvalidArgument, "An attempt with this id is already active.");
    }
    if (attempts.recordOf(id)) {
        return makeError(ResultCode::AttemptCancelled, "The attempt has already been cancelled or has ended.");
    }
    if (attempts.superseded(id)) {
        return makeError(ResultCode::AttemptCancelled, "A newer attempt of the same request has already arrived.");
    }
    if (m_leaving) {
        return makeError(ResultCode::UpstreamLeaving, "The upstream is leaving.");
    }
    if (!m_runner.engineUp()) {
        return makeError(ResultCode::NoUpstream, "The engine is unreachable.");
    }
    if (std::ranges::find(m_models, model) == m_models.end()) {
        return makeError(ResultCode::UnknownModel, "The engine does not serve the model " + model.value() + '.');
    }
    if (timeLeft <= Duration::zero()) {
        return makeError(ResultCode::DeadlineNotFeasible, "The deadline has passed.");
    }
    return std::nullopt;
}

Result<Duration> DispatchHandler::startMember(Attempt attempt, TimePoint now, AgentActions &out)
{
    const DispatchRequest &request = attempt.request;
    const GroupSegment &group = *request.group;
    if (group.index >= group.members.size() || group.length <= Tokens(0)) {
        return makeError(ResultCode::InvalidArgument,
                         "The group member index is out of range or the segment is empty.");
    }
    const bool last = group.index + 1 == group.members.size();
    attempt.output = last ? request.maxOutputTokens : Tokens(0);
    attempt.prefill = group.length + (last ? Tokens(static_cast<std::int64_t>(request.resumeFrom)) : Tokens(0));
    attempt.memory = group.length + attempt.output;
    if (!m_groups.transferToAttempt(request.attempt, attempt.memory)) {
        return makeError(ResultCode::MemoryExhausted, "The group member has no memory reservation of sufficient size.");
    }
    m_runner.advance(now);
    const double prefillSeconds = static_cast<double>(attempt.prefill.value()) / m_runner.rates().prefill;
    m_runner.start(std::move(attempt), now, out);
    return fromSeconds(prefillSeconds);
}

Result<Duration> DispatchHandler::admit(Attempt attempt, TimePoint now)
{
    const DispatchRequest &dispatch = attempt.request;
    const Tokens resumed(static_cast<std::int64_t>(dispatch.resumeFrom));
    const Tokens hit = m_prefixes.expectedHit(dispatch.prefixHashes, now);
    attempt.prefill = std::max(dispatch.promptTokens + resumed - hit, Tokens(1));
    attempt.memory = dispatch.promptTokens + std::max(dispatch.maxOutputTokens, resumed);
    if (attempt.memory > m_runner.schedule().maxAttemptMemory(attempt.priorityClass)) {
        return makeError(ResultCode::MemoryExhausted,
                         "The attempt needs more KV memory than one attempt of its class can reserve.");
    }
    m_runner.advance(now);
    AdmissionRequest request;
    request.customer = dispatch.customer;
    request.weight = dispatch.customerWeight;
    request.priorityClass = attempt.priorityClass;
    request.prefill = attempt.prefill;
    request.output = std::max(Tokens(0), dispatch.maxOutputTokens - resumed);
    request.timeLeft = dispatch.timeLeft;
    request.memoryWait = m_runner.memoryWait(attempt.priorityClass, attempt.memory, now);
    const EngineSchedule &schedule = m_runner.schedule();
    Result<Duration> decision = m_admission.decide(request, schedule.queue(), schedule.progress(), m_runner.rates());
    if (errorOf(decision) == nullptr && !m_runner.enqueue(std::move(attempt))) {
        return Error {ResultCode::QueueFull,
                      "The queue has reached its token or byte limit.",
                      m_context.settings.admission.smallestRetryAfter};
    }
    return decision;
}

void DispatchHandler::supersede(const AttemptId &id, TimePoint now, AgentActions &out)
{
    m_groups.supersede(id);
    for (const AttemptId &older : m_runner.attempts().attemptsOf(id.request)) {
        if (m_runner.attempts().find(older)->state != AttemptState::Cancelling) {
            m_runner.fail(
                older,
                makeError(ResultCode::AttemptCancelled, "A newer attempt of the same request replaced this one."),
                now,
                out);
        }
    }
}

} // namespace ibismast
