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
    const auto [completion, attempt, place] = m_table.locate(frame, message.attempt);
    if (place == nullptr || place->state != PlaceState::Sent) {
        return;
    }
    place->state = PlaceState::Accepted;
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
    const auto [completion, attempt, place] = m_table.locate(frame, message.attempt);
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
    const auto [completion, attempt, place] = m_table.locate(frame, message.attempt);
    if (place == nullptr) {
        return;
    }
    if (place->state == PlaceState::Sent) {
        // The tokens show what a lost `DispatchAccepted` would have said.
        handle(frame, DispatchAccepted {message.attempt, {}}, now);
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
    const auto [completion, attempt, place] = m_table.locate(frame, message.attempt);
    if (place == nullptr) {
        return;
    }
    place->state = PlaceState::MayHaveRun;
    if (!completion->assembler.completes(message)) {
        m_retries.noteFailure(*completion, frame.sender, now);
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
    const auto [completion, attempt, place] = m_table.locate(frame, message.attempt);
    if (place == nullptr) {
        return;
    }
    place->state = message.mayHaveStarted ? PlaceState::MayHaveRun : PlaceState::NotRun;
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
        groupRefused(*completion, Error(completion->group->error()), now, out);
        break;
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const SegmentExported &message, TimePoint now, EntryActions &out)
{
    const auto [completion, attempt, place] = m_table.locate(frame, message.attempt);
    const bool expected = place != nullptr && completion->group && completion->phase == CompletionPhase::Running
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
        AttemptPlace *place = attempt.id == message.attempt ? attempt.find(frame.sender) : nullptr;
        // A later incarnation of the agent knows nothing of the attempt.
        if (place == nullptr || place->incarnation != frame.incarnation) {
            continue;
        }
        const bool wasOpen = isOpen(place->state);
        // An attempt whose connection was lost can be proven not to have run later, by its tombstone.
        place->state = message.outcome == CancelOutcome::NeverStarted ? PlaceState::NotRun : PlaceState::MayHaveRun;
        const bool allAnswered = std::ranges::none_of(attempt.places, [](const AttemptPlace &each) {
            return isOpen(each.state);
        });
        if (wasOpen && allAnswered) {
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
    for (const RequestId &id : m_table.atUpstream(upstream)) {
        Completion *completion = m_table.find(id);
        if (completion->phase == CompletionPhase::Reserving) {
            completion->group->release({}, out);
            groupRefused(
                *completion, Error {ResultCode::GroupUnavailable, "a member of the group was lost", {}}, now, out);
            continue;
        }
        if (AttemptPlace *place = completion->attempts.back().find(upstream)) {
            place->state = PlaceState::MayHaveRun;
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
        groupRefused(completion, *refusal, now, out);
        return;
    }
    m_table.setPhase(completion, CompletionPhase::Reserving, now + m_context.settings.reserveTimeout);
}

void CompletionFlow::groupRefused(Completion &completion, const Error &error, TimePoint now, EntryActions &out)
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
    for (const AttemptPlace &place : attempt.places) {
        if (isOpen(place.state)) {
            out.emplace_back(SendToPeer {place.upstream, CancelAttempt {attempt.id}});
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

void CompletionFlow::endWaiting(Completion &completion, TimePoint now, EntryActions &out)
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
        groupRefused(completion, Error(completion.group->error()), now, out);
        break;
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
            m_retries.noteFailure(completion, place.upstream, now);
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
        for (const AttemptPlace &place : attempt.places) {
            if (isOpen(place.state)) {
                out.emplace_back(SendToPeer {place.upstream, CancelAttempt {attempt.id}});
            }
        }
    }
    m_admission.release(completion.request);
    m_table.erase(completion.id);
}

} // namespace ibismast
