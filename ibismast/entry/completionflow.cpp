#include "ibismast/entry/completionflow.h"

#include <algorithm>

namespace ibismast
{

namespace
{

bool isNotRunCode(ResultCode code)
{
    return resultCodeInfo(code).notRun;
}

} // namespace

CompletionFlow::CompletionFlow(EntryContext &context) : m_context(context), m_dispatcher(context) { }

RequestId CompletionFlow::submit(CompletionRequest request, TimePoint now, EntryActions &out)
{
    const RequestId id = m_context.nextRequest();
    if (m_context.shuttingDown) {
        out.emplace_back(DeliverFailure {id, Error {ResultCode::ShuttingDown, "this instance is leaving", {}}, {}});
        return id;
    }
    if (request.timeLeft <= Duration::zero()) {
        out.emplace_back(DeliverFailure {id, Error {ResultCode::DeadlineNotFeasible, "no time is left", {}}, {}});
        return id;
    }
    Completion &completion = m_completions[id];
    completion.id = id;
    completion.admitted = now;
    completion.deadline = now + request.timeLeft;
    completion.priorityClass = classifyPrompt(request.promptTokens);
    completion.request = std::move(request);
    if (!admitCapacity(completion, now, out)) {
        return id;
    }
    m_context.retryBudget.noteRequest(now);
    m_timers.schedule(m_context.tombstoneTime(now, completion.deadline), id);
    m_timers.schedule(m_context.watchdogTime(now, completion.deadline), id);
    m_context.report("request_admitted",
                     {{"request", toString(id)}, {"customer", completion.request.customer.value()}});
    startAttempt(completion, now, out);
    return id;
}

bool CompletionFlow::admitCapacity(Completion &completion, TimePoint now, EntryActions &out)
{
    const CompletionRequest &request = completion.request;
    Error error {ResultCode::NoUpstream, "no live upstream serves " + request.model.value(), {}};
    if (m_context.upstreams.liveCount(request.model) > 0) {
        if (m_context.capacity.admit(request.model, request.customer, request.customerWeight, completion.work(), now)) {
            return true;
        }
        error = Error {ResultCode::CustomerOverShare,
                       "upstreams were lost and the customer has used its share of the rest",
                       std::chrono::seconds(1)};
    }
    out.emplace_back(DeliverFailure {completion.id, std::move(error), {}});
    m_completions.erase(completion.id);
    return false;
}

void CompletionFlow::callerLeft(const RequestId &request, EntryActions &out)
{
    if (Completion *completion = find(request)) {
        m_context.report("caller_left", {{"request", toString(request)}});
        finish(*completion, out);
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const DispatchAccepted &message, TimePoint /*now*/)
{
    const auto [completion, attempt, place] = locate(frame, message.attempt);
    if (place == nullptr || place->state != PlaceState::Sent) {
        return;
    }
    place->state = PlaceState::Accepted;
    if (Upstream *upstream = m_context.upstreams.find(frame.sender)) {
        m_context.upstreams.noteAccepted(*upstream, completion->priorityClass, attempt->work);
    }
    m_context.refusals.forget(frame.sender, completion->request.customer, completion->priorityClass);
    if (completion->phase == CompletionPhase::Running) {
        setPhase(*completion, CompletionPhase::Running, TimePoint::max());
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const DispatchRefused &message, TimePoint now, EntryActions &out)
{
    if (message.error.code == ResultCode::UpstreamLeaving) {
        m_context.upstreams.markLeaving(frame.sender);
    }
    const auto [completion, attempt, place] = locate(frame, message.attempt);
    if (place == nullptr) {
        return;
    }
    if (Upstream *upstream = m_context.upstreams.find(frame.sender);
        upstream != nullptr && place->state == PlaceState::Sent) {
        m_context.upstreams.noteRefused(*upstream, completion->priorityClass, attempt->work);
    }
    const RetryCause cause = causeOfRefusal(message.error.code);
    if (cause == RetryCause::Overload) {
        m_context.refusals.note(frame.sender, completion->demand(now), message.error, now);
    }
    place->state = PlaceState::NotRun;
    completion->betterPlaces = message.betterPlaces;
    attemptEnded(*completion, cause, message.error, now, out);
}

void CompletionFlow::handle(const PeerFrame &frame, const StreamPart &message, TimePoint now, EntryActions &out)
{
    const auto [completion, attempt, place] = locate(frame, message.attempt);
    if (place == nullptr) {
        return;
    }
    DeliverTokens delivery {completion->id, {}};
    switch (completion->assembler.addPart(message, delivery.tokens)) {
    case StreamAssembler::PartOutcome::Added:
        out.emplace_back(std::move(delivery));
        break;
    case StreamAssembler::PartOutcome::Gap:
        if (completion->phase == CompletionPhase::Running) {
            completion->lastError = Error {ResultCode::StreamIncomplete, "tokens of the answer are missing", {}};
            cancelAttempt(*completion, now, out);
        }
        break;
    case StreamAssembler::PartOutcome::Duplicate:
    case StreamAssembler::PartOutcome::OtherAttempt:
        break;
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const StreamEnd &message, TimePoint now, EntryActions &out)
{
    const auto [completion, attempt, place] = locate(frame, message.attempt);
    if (place == nullptr) {
        return;
    }
    place->state = PlaceState::MayHaveRun;
    if (!completion->assembler.completes(message)) {
        failedAt(*completion, frame.sender, now);
        attemptEnded(*completion,
                     RetryCause::Failure,
                     Error {ResultCode::StreamIncomplete, "the answer's token count does not match its end marker", {}},
                     now,
                     out);
        return;
    }
    m_context.health.noteSuccess(frame.sender);
    out.emplace_back(DeliverEnd {completion->id,
                                 message.finishReason,
                                 completion->request.promptTokens,
                                 Tokens(static_cast<std::int64_t>(message.tokenCount))});
    finish(*completion, out);
}

void CompletionFlow::handle(const PeerFrame &frame, const AttemptFailed &message, TimePoint now, EntryActions &out)
{
    const auto [completion, attempt, place] = locate(frame, message.attempt);
    if (place == nullptr) {
        return;
    }
    place->state = message.mayHaveStarted ? PlaceState::MayHaveRun : PlaceState::NotRun;
    failedAt(*completion, frame.sender, now);
    attemptEnded(*completion, RetryCause::Failure, message.error, now, out);
}

void CompletionFlow::handle(const PeerFrame &frame, const CancelResult &message, TimePoint now, EntryActions &out)
{
    Completion *completion = find(message.attempt.request);
    if (completion == nullptr) {
        return;
    }
    for (UpstreamAttempt &attempt : completion->attempts) {
        AttemptPlace *place = attempt.id == message.attempt ? attempt.find(frame.sender) : nullptr;
        // A later incarnation of the agent knows nothing of the attempt.
        if (place == nullptr || place->incarnation != frame.incarnation) {
            continue;
        }
        const bool wasOpen = isOpen(place->state);
        // An attempt whose connection was lost can be proven not to have run later, by its tombstone.
        place->state = message.outcome == CancelOutcome::NeverStarted ? PlaceState::NotRun : PlaceState::MayHaveRun;
        if (wasOpen) {
            Error error =
                completion->lastError.value_or(Error {ResultCode::AttemptCancelled, "the attempt was cancelled", {}});
            if (place->state == PlaceState::NotRun && !isNotRunCode(error.code)) {
                error.code = ResultCode::AttemptCancelled;
            }
            attemptEnded(*completion, RetryCause::Failure, error, now, out);
        }
        return;
    }
}

void CompletionFlow::upstreamLost(const InstanceId &upstream, TimePoint now, EntryActions &out)
{
    std::vector<RequestId> affected;
    for (auto &[id, completion] : m_completions) {
        AttemptPlace *place = completion.attempts.empty() ? nullptr : completion.attempts.back().find(upstream);
        if (place != nullptr && isOpen(place->state)) {
            place->state = PlaceState::MayHaveRun;
            affected.push_back(id);
        }
    }
    for (const RequestId &id : affected) {
        Completion *completion = find(id);
        m_unsentCancels.add(upstream, completion->attempts.back().id, completion->deadline);
        failedAt(*completion, upstream, now);
        attemptEnded(*completion,
                     RetryCause::Failure,
                     Error {ResultCode::OutcomeUnknown, "the connection to the upstream's agent was lost", {}},
                     now,
                     out);
    }
}

void CompletionFlow::upstreamConnected(const InstanceId &upstream, TimePoint now, EntryActions &out)
{
    m_unsentCancels.send(upstream, now, out);
}

void CompletionFlow::runDue(TimePoint now, EntryActions &out)
{
    while (const auto request = m_timers.popDue(now)) {
        if (Completion *completion = find(*request)) {
            onTimer(*completion, now, out);
        }
    }
}

std::size_t CompletionFlow::openRequests() const
{
    return m_completions.size();
}

void CompletionFlow::collectActive(std::set<InstanceId> &upstreams) const
{
    for (const auto &[id, completion] : m_completions) {
        if (completion.attempts.empty()) {
            continue;
        }
        for (const AttemptPlace &place : completion.attempts.back().places) {
            if (isOpen(place.state)) {
                upstreams.insert(place.upstream);
            }
        }
    }
}

CompletionFlow::Located CompletionFlow::locate(const PeerFrame &frame, const AttemptId &id)
{
    Completion *completion = find(id.request);
    UpstreamAttempt *attempt = completion != nullptr ? completion->current(id) : nullptr;
    AttemptPlace *place = attempt != nullptr ? attempt->find(frame.sender) : nullptr;
    return place != nullptr && isOpen(place->state) ? Located {completion, attempt, place} : Located {};
}

Completion *CompletionFlow::find(const RequestId &request)
{
    const auto completion = m_completions.find(request);
    return completion == m_completions.end() ? nullptr : &completion->second;
}

void CompletionFlow::startAttempt(Completion &completion, TimePoint now, EntryActions &out)
{
    const std::optional<Error> refusal = m_dispatcher.dispatch(completion, now, out);
    if (!refusal) {
        completion.upstreamPatience.reset();
        setPhase(completion, CompletionPhase::Running, now + m_context.settings.answerTimeout);
        return;
    }
    if (completion.firstFailed) {
        // Other upstreams may become free or return; a refused request gets its answer at once instead.
        const TimePoint until = completion.upstreamPatience.value_or(now + m_context.settings.noUpstreamPatience);
        completion.upstreamPatience = until;
        if (now < until) {
            setPhase(completion, CompletionPhase::Waiting, now + m_context.settings.noUpstreamPatience / 20);
            return;
        }
    }
    fail(completion, completion.lastError.value_or(*refusal), out);
}

void CompletionFlow::setPhase(Completion &completion, CompletionPhase phase, TimePoint until)
{
    completion.phase = phase;
    completion.phaseUntil = until;
    if (until != TimePoint::max()) {
        m_timers.schedule(until, completion.id);
    }
}

void CompletionFlow::cancelAttempt(Completion &completion, TimePoint now, EntryActions &out)
{
    const UpstreamAttempt &attempt = completion.attempts.back();
    for (const AttemptPlace &place : attempt.places) {
        if (isOpen(place.state)) {
            out.emplace_back(SendToPeer {place.upstream, CancelAttempt {attempt.id}});
        }
    }
    setPhase(completion, CompletionPhase::Cancelling, now + m_context.settings.answerTimeout);
}

void CompletionFlow::failedAt(Completion &completion, const InstanceId &upstream, TimePoint now)
{
    m_context.health.noteFailure(upstream, now);
    if (!completion.firstFailed) {
        completion.firstFailed = upstream;
    }
}

void CompletionFlow::attemptEnded(
    Completion &completion, RetryCause cause, const Error &error, TimePoint now, EntryActions &out)
{
    completion.assembler.endAttempt();
    completion.lastError = error;
    m_context.report(
        "attempt_ended",
        {{"attempt", toString(completion.attempts.back().id)}, {"code", std::string(resultCodeInfo(error.code).name)}});
    if (completion.failureAfterCancel) {
        fail(completion, *completion.failureAfterCancel, out);
        return;
    }
    const auto pause = m_context.retryPolicy.pauseBefore(
        cause, static_cast<std::uint32_t>(completion.attempts.size()), completion.deadline - now, m_context.random);
    const bool needsBudget = RetryPolicy::needsBudget(cause);
    // A failed request waits for the budget. A refused one does not: under overload the caller needs its answer.
    if (!pause || (needsBudget && cause == RetryCause::Overload && !m_context.retryBudget.take(now))) {
        fail(completion, error, out);
        return;
    }
    completion.needsBudget = needsBudget && cause != RetryCause::Overload;
    if (*pause == Duration::zero()) {
        startAttempt(completion, now, out);
    } else {
        setPhase(completion, CompletionPhase::Waiting, now + *pause);
    }
}

void CompletionFlow::endWaiting(Completion &completion, TimePoint now, EntryActions &out)
{
    if (completion.needsBudget && !m_context.retryBudget.take(now)) {
        const double jitter = 0.5 + m_context.random.uniform();
        setPhase(completion,
                 CompletionPhase::Waiting,
                 now + fromSeconds(toSeconds(m_context.settings.budgetPause) * jitter));
        return;
    }
    completion.needsBudget = false;
    startAttempt(completion, now, out);
}

void CompletionFlow::onTimer(Completion &completion, TimePoint now, EntryActions &out)
{
    if (now >= m_context.watchdogTime(completion.admitted, completion.deadline)) {
        fail(completion, Error {ResultCode::DeadlineExceeded, "the request did not end before its deadline", {}}, out);
        return;
    }
    const bool tombstoneDue = now >= m_context.tombstoneTime(completion.admitted, completion.deadline);
    if (tombstoneDue && completion.assembler.tokenCount() == 0 && !completion.failureAfterCancel) {
        completion.failureAfterCancel =
            Error {ResultCode::DeadlineNotFeasible, "no upstream started the request before its deadline", {}};
        if (completion.phase == CompletionPhase::Waiting) {
            fail(completion, completion.lastError.value_or(*completion.failureAfterCancel), out);
        } else if (completion.phase == CompletionPhase::Running) {
            cancelAttempt(completion, now, out);
        }
        return;
    }
    if (now < completion.phaseUntil) {
        return;
    }
    switch (completion.phase) {
    case CompletionPhase::Running:
        completion.lastError = Error {ResultCode::OutcomeUnknown, "the agent did not answer the dispatch", {}};
        cancelAttempt(completion, now, out);
        break;
    case CompletionPhase::Cancelling:
        abandonAttempt(completion, now, out);
        break;
    case CompletionPhase::Waiting:
        endWaiting(completion, now, out);
        break;
    }
}

void CompletionFlow::abandonAttempt(Completion &completion, TimePoint now, EntryActions &out)
{
    for (AttemptPlace &place : completion.attempts.back().places) {
        if (isOpen(place.state)) {
            place.state = PlaceState::MayHaveRun;
            failedAt(completion, place.upstream, now);
        }
    }
    attemptEnded(completion,
                 RetryCause::Failure,
                 Error {ResultCode::OutcomeUnknown, "the agent did not confirm the cancellation", {}},
                 now,
                 out);
}

void CompletionFlow::fail(Completion &completion, Error error, EntryActions &out)
{
    if (isNotRunCode(error.code) && !completion.provenNotRun()) {
        const bool late = completion.failureAfterCancel.has_value();
        const ResultCode code = completion.assembler.tokenCount() > 0 ? ResultCode::StreamIncomplete
            : late                                                    ? ResultCode::DeadlineExceeded
                                                                      : ResultCode::OutcomeUnknown;
        error = Error {code, "an upstream may have run the request; last reason: " + error.message, {}};
    }
    m_context.report("request_failed",
                     {{"request", toString(completion.id)}, {"code", std::string(resultCodeInfo(error.code).name)}});
    out.emplace_back(DeliverFailure {completion.id, std::move(error), {}});
    finish(completion, out);
}

void CompletionFlow::finish(Completion &completion, EntryActions &out)
{
    if (!completion.attempts.empty()) {
        const UpstreamAttempt &attempt = completion.attempts.back();
        for (const AttemptPlace &place : attempt.places) {
            if (isOpen(place.state)) {
                out.emplace_back(SendToPeer {place.upstream, CancelAttempt {attempt.id}});
            }
        }
    }
    const CompletionRequest &request = completion.request;
    m_context.capacity.release(request.model, request.customer, completion.work());
    m_completions.erase(completion.id);
}

} // namespace ibismast
