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

CompletionFlow::CompletionFlow(EntryContext &context)
    : m_context(context), m_admission(context), m_dispatcher(context), m_groups(context), m_retries(context)
{
}

RequestId CompletionFlow::submit(CompletionRequest request, TimePoint now, EntryActions &out)
{
    const RequestId id = m_context.nextRequest();
    if (std::optional<Error> refusal = m_admission.admit(request, now)) {
        out.emplace_back(DeliverFailure {id, std::move(*refusal), {}});
        return id;
    }
    Completion &completion = m_table.add(id);
    completion.admitted = now;
    completion.deadline = now + request.timeLeft;
    completion.priorityClass = classifyPrompt(request.promptTokens);
    completion.request = std::move(request);
    m_table.schedule(m_context.tombstoneTime(now, completion.deadline), id);
    m_table.schedule(m_context.watchdogTime(now, completion.deadline), id);
    m_context.report("request_admitted",
                     {{"request", toString(id)}, {"customer", completion.request.customer.value()}});
    startAttempt(completion, now, out);
    return id;
}

void CompletionFlow::callerDisconnected(const RequestId &request, EntryActions &out)
{
    if (Completion *completion = m_table.find(request)) {
        m_context.report("caller_left", {{"request", toString(request)}});
        finish(*completion, out);
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const DispatchAccepted &message, TimePoint /*now*/)
{
    const auto [completion, attempt, target] = m_table.findOpenAttempt(frame, message.attempt);
    if (target == nullptr || target->state != TargetState::Sent) {
        return;
    }
    target->state = TargetState::Accepted;
    if (Upstream *upstream = m_context.upstreams.find(frame.sender)) {
        m_context.upstreams.noteAccepted(*upstream, completion->priorityClass, attempt->work);
    }
    m_context.refusals.forget(frame.sender, completion->request.customer, completion->priorityClass);
    if (completion->phase == CompletionPhase::Running) {
        m_table.setPhase(*completion, CompletionPhase::Running, TimePoint::max());
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const DispatchRefused &message, TimePoint now, EntryActions &out)
{
    if (message.error.code == ResultCode::UpstreamLeaving) {
        m_context.upstreams.markLeaving(frame.sender);
    }
    const auto [completion, attempt, target] = m_table.findOpenAttempt(frame, message.attempt);
    if (target == nullptr) {
        return;
    }
    if (Upstream *upstream = m_context.upstreams.find(frame.sender);
        upstream != nullptr && target->state == TargetState::Sent) {
        m_context.upstreams.noteRefused(*upstream, completion->priorityClass, attempt->work);
    }
    const RetryCause cause = causeOfRefusal(message.error.code);
    if (cause == RetryCause::Overload) {
        m_context.refusals.note(frame.sender, completion->demand(now), message.error, now);
    }
    target->state = TargetState::NotRun;
    completion->suggestedUpstreams = message.betterPlaces;
    attemptEnded(*completion, cause, message.error, now, out);
}

void CompletionFlow::handle(const PeerFrame &frame, const StreamPart &message, TimePoint now, EntryActions &out)
{
    const auto [completion, attempt, target] = m_table.findOpenAttempt(frame, message.attempt);
    if (target == nullptr) {
        return;
    }
    if (target->state == TargetState::Sent) {
        // `DispatchAccepted` was not received, but the tokens imply it.
        handle(frame, DispatchAccepted {message.attempt, {}}, now);
    }
    DeliverTokens delivery {completion->id, {}};
    switch (completion->assembler.addPart(message, delivery.tokens)) {
    case StreamAssembler::PartOutcome::Added:
        out.emplace_back(std::move(delivery));
        break;
    case StreamAssembler::PartOutcome::Gap:
        if (completion->phase == CompletionPhase::Running) {
            completion->lastError =
                Error {ResultCode::StreamIncomplete, "tokens are missing from the stream of the answer", {}};
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
    const auto [completion, attempt, target] = m_table.findOpenAttempt(frame, message.attempt);
    if (target == nullptr) {
        return;
    }
    target->state = TargetState::MayHaveRun;
    if (!completion->assembler.completes(message)) {
        m_retries.noteFailure(*completion, frame.sender, now);
        attemptEnded(*completion,
                     RetryCause::Failure,
                     Error {ResultCode::StreamIncomplete,
                            "the number of tokens received does not match the count at the end of the stream",
                            {}},
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
    const auto [completion, attempt, target] = m_table.findOpenAttempt(frame, message.attempt);
    if (target == nullptr) {
        return;
    }
    target->state = message.mayHaveStarted ? TargetState::MayHaveRun : TargetState::NotRun;
    m_retries.noteFailure(*completion, frame.sender, now);
    attemptEnded(*completion, RetryCause::Failure, message.error, now, out);
}

void CompletionFlow::handle(const PeerFrame &frame, const ReserveResult &message, TimePoint now, EntryActions &out)
{
    Completion *completion = m_table.find(message.owner.request);
    if (completion == nullptr || completion->phase != CompletionPhase::Reserving) {
        return;
    }
    completion->group->handle(frame, message, now, out);
    switch (completion->group->state()) {
    case GroupReservation::State::Reserving:
        m_table.setPhase(*completion, CompletionPhase::Reserving, now + m_context.settings.reserveTimeout);
        break;
    case GroupReservation::State::Reserved:
        m_groups.dispatchSegment(*completion, 0, {}, now, out);
        m_table.setPhase(*completion, CompletionPhase::Running, now + m_context.settings.answerTimeout);
        break;
    case GroupReservation::State::Failed:
        reservationFailed(*completion, Error(completion->group->error()), now, out);
        break;
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const SegmentExported &message, TimePoint now, EntryActions &out)
{
    const auto [completion, attempt, target] = m_table.findOpenAttempt(frame, message.attempt);
    const bool expected = target != nullptr && completion->group && completion->phase == CompletionPhase::Running
        && message.index == completion->segment && message.index + 1 < completion->group->members().size();
    if (!expected) {
        return;
    }
    m_groups.dispatchSegment(*completion, message.index + 1, message.handle, now, out);
    m_table.setPhase(*completion, CompletionPhase::Running, now + m_context.settings.answerTimeout);
}

void CompletionFlow::handle(const PeerFrame &frame, const CancelResult &message, TimePoint now, EntryActions &out)
{
    Completion *completion = m_table.find(message.attempt.request);
    if (completion == nullptr) {
        return;
    }
    for (UpstreamAttempt &attempt : completion->attempts) {
        AttemptTarget *target = attempt.id == message.attempt ? attempt.find(frame.sender) : nullptr;
        // A later incarnation of the agent has no record of the attempt, so its answer proves nothing.
        if (target == nullptr || target->incarnation != frame.incarnation) {
            continue;
        }
        const bool wasOpen = isOpen(target->state);
        // This also applies to attempts that were lost with a connection: a tombstone that is confirmed after the
        // reconnection still proves that the attempt was not run.
        target->state = message.outcome == CancelOutcome::NeverStarted ? TargetState::NotRun : TargetState::MayHaveRun;
        const bool allAnswered = std::ranges::none_of(attempt.targets, [](const AttemptTarget &each) {
            return isOpen(each.state);
        });
        if (wasOpen && allAnswered) {
            Error error =
                completion->lastError.value_or(Error {ResultCode::AttemptCancelled, "the attempt was cancelled", {}});
            if (target->state == TargetState::NotRun && !isNotRunCode(error.code)) {
                error.code = ResultCode::AttemptCancelled;
            }
            attemptEnded(*completion, RetryCause::Failure, error, now, out);
        }
        return;
    }
}

void CompletionFlow::upstreamLost(const InstanceId &upstream, TimePoint now, EntryActions &out)
{
    for (const RequestId &id : m_table.findByUpstream(upstream)) {
        Completion *completion = m_table.find(id);
        if (completion->phase == CompletionPhase::Reserving) {
            completion->group->release({}, out);
            reservationFailed(*completion,
                              Error {ResultCode::GroupUnavailable,
                                     "an upstream of the group was lost while memory was being reserved",
                                     {}},
                              now,
                              out);
            continue;
        }
        if (AttemptTarget *target = completion->attempts.back().find(upstream)) {
            target->state = TargetState::MayHaveRun;
        }
        m_unsentCancels.add(upstream, completion->attempts.back().id, completion->deadline);
        m_retries.noteFailure(*completion, upstream, now);
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
    while (Completion *completion = m_table.popDue(now)) {
        onTimer(*completion, now, out);
    }
}

const CompletionTable &CompletionFlow::table() const
{
    return m_table;
}

void CompletionFlow::startGroup(Completion &completion, TimePoint now, EntryActions &out)
{
    if (const std::optional<Error> refusal = m_groups.start(completion, now, out)) {
        reservationFailed(completion, *refusal, now, out);
        return;
    }
    m_table.setPhase(completion, CompletionPhase::Reserving, now + m_context.settings.reserveTimeout);
}

void CompletionFlow::reservationFailed(Completion &completion, const Error &error, TimePoint now, EntryActions &out)
{
    const bool tooLong = error.code == ResultCode::PromptTooLong;
    completion.lastError = Error {tooLong ? error.code : ResultCode::GroupUnavailable, error.message, error.retryAfter};
    completion.group.reset();
    completion.assembler.endAttempt();
    const auto pause = tooLong ? std::nullopt : m_retries.pauseAfterGroup(completion, now);
    if (pause) {
        m_table.setPhase(completion, CompletionPhase::Waiting, now + *pause);
    } else {
        fail(completion, *completion.lastError, out);
    }
}

void CompletionFlow::startAttempt(Completion &completion, TimePoint now, EntryActions &out)
{
    if (m_groups.needsGroup(completion)) {
        startGroup(completion, now, out);
        return;
    }
    const std::optional<Error> refusal = m_dispatcher.dispatch(completion, now, out);
    if (!refusal) {
        completion.noUpstreamDeadline.reset();
        m_table.setPhase(completion, CompletionPhase::Running, now + m_context.settings.answerTimeout);
        return;
    }
    if (const auto until = m_retries.waitForUpstream(completion, now)) {
        m_table.setPhase(completion, CompletionPhase::Waiting, *until);
        return;
    }
    fail(completion, completion.lastError.value_or(*refusal), out);
}

void CompletionFlow::cancelAttempt(Completion &completion, TimePoint now, EntryActions &out)
{
    const UpstreamAttempt &attempt = completion.attempts.back();
    for (const AttemptTarget &target : attempt.targets) {
        if (isOpen(target.state)) {
            out.emplace_back(SendToPeer {target.upstream, CancelAttempt {attempt.id}});
        }
    }
    m_table.setPhase(completion, CompletionPhase::Cancelling, now + m_context.settings.answerTimeout);
}

void CompletionFlow::attemptEnded(
    Completion &completion, RetryCause cause, const Error &error, TimePoint now, EntryActions &out)
{
    completion.assembler.endAttempt();
    completion.lastError = error;
    if (completion.group) {
        m_groups.close(completion, out);
    }
    m_context.report(
        "attempt_ended",
        {{"attempt", toString(completion.attempts.back().id)}, {"code", std::string(resultCodeInfo(error.code).name)}});
    if (completion.failureAfterCancel) {
        fail(completion, *completion.failureAfterCancel, out);
        return;
    }
    const auto pause = m_retries.pauseAfter(completion, cause, now);
    if (!pause) {
        fail(completion, error, out);
        return;
    }
    if (*pause == Duration::zero()) {
        startAttempt(completion, now, out);
    } else {
        m_table.setPhase(completion, CompletionPhase::Waiting, now + *pause);
    }
}

void CompletionFlow::endWait(Completion &completion, TimePoint now, EntryActions &out)
{
    if (const auto pause = m_retries.waitForBudget(completion, now)) {
        m_table.setPhase(completion, CompletionPhase::Waiting, now + *pause);
        return;
    }
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
        if (completion.phase == CompletionPhase::Waiting || completion.phase == CompletionPhase::Reserving) {
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
    case CompletionPhase::Reserving:
        completion.group->timeOut(out);
        reservationFailed(completion, Error(completion.group->error()), now, out);
        break;
    case CompletionPhase::Running:
        completion.lastError = Error {ResultCode::OutcomeUnknown, "the agent did not answer the dispatch", {}};
        cancelAttempt(completion, now, out);
        break;
    case CompletionPhase::Cancelling:
        abandonAttempt(completion, now, out);
        break;
    case CompletionPhase::Waiting:
        endWait(completion, now, out);
        break;
    }
}

void CompletionFlow::abandonAttempt(Completion &completion, TimePoint now, EntryActions &out)
{
    for (AttemptTarget &target : completion.attempts.back().targets) {
        if (isOpen(target.state)) {
            target.state = TargetState::MayHaveRun;
            m_retries.noteFailure(completion, target.upstream, now);
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
    error = RetryPlanner::finalError(completion, std::move(error));
    m_context.report("request_failed",
                     {{"request", toString(completion.id)}, {"code", std::string(resultCodeInfo(error.code).name)}});
    out.emplace_back(DeliverFailure {completion.id, std::move(error), {}});
    finish(completion, out);
}

void CompletionFlow::finish(Completion &completion, EntryActions &out)
{
    if (completion.group) {
        m_groups.close(completion, out);
    }
    if (!completion.attempts.empty()) {
        const UpstreamAttempt &attempt = completion.attempts.back();
        for (const AttemptTarget &target : attempt.targets) {
            if (isOpen(target.state)) {
                out.emplace_back(SendToPeer {target.upstream, CancelAttempt {attempt.id}});
            }
        }
    }
    m_admission.release(completion.request);
    m_table.erase(completion.id);
}

} // namespace ibismast
