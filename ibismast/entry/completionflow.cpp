#include "ibismast/entry/completionflow.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Accepts upstreams at which the request was not tried.
class UntriedFilter : public RouteFilter
{
public:
    explicit UntriedFilter(const Completion &completion) : m_completion(completion) { }

    [[nodiscard]] bool accepts(const Upstream &upstream) const override
    {
        return !m_completion.tried(upstream.id);
    }

private:
    const Completion &m_completion;
};

bool isOpen(PlaceState state)
{
    return state == PlaceState::Sent || state == PlaceState::Accepted;
}

bool isNotRunCode(ResultCode code)
{
    return resultCodeInfo(code).notRun;
}

/// Cancellations kept for one unreachable agent; more are dropped, since the agent itself cancels the attempts of an
/// entry whose heartbeats have stopped.
constexpr std::size_t MaxUnsentCancels = 1'000;

} // namespace

CompletionFlow::CompletionFlow(EntryContext &context) : m_context(context) { }

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
    m_context.retryBudget.noteRequest(now);
    m_timers.schedule(m_context.tombstoneTime(now, completion.deadline), id);
    m_timers.schedule(m_context.watchdogTime(now, completion.deadline), id);
    m_context.report("request_admitted",
                     {{"request", toString(id)}, {"customer", completion.request.customer.value()}});
    startAttempt(completion, now, out);
    return id;
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
    Completion *completion = find(message.attempt.request);
    UpstreamAttempt *attempt = completion != nullptr ? completion->current(message.attempt) : nullptr;
    AttemptPlace *place = attempt != nullptr ? attempt->find(frame.sender) : nullptr;
    if (place == nullptr || place->state != PlaceState::Sent) {
        return;
    }
    place->state = PlaceState::Accepted;
    if (Upstream *upstream = m_context.upstreams.find(frame.sender)) {
        m_context.upstreams.noteAccepted(*upstream, completion->priorityClass, attempt->work);
    }
    if (completion->phase == CompletionPhase::Running) {
        setPhase(*completion, CompletionPhase::Running, TimePoint::max());
    }
}

void CompletionFlow::handle(const PeerFrame &frame, const DispatchRefused &message, TimePoint now, EntryActions &out)
{
    if (message.error.code == ResultCode::UpstreamLeaving) {
        m_context.upstreams.markLeaving(frame.sender);
    }
    Completion *completion = find(message.attempt.request);
    UpstreamAttempt *attempt = completion != nullptr ? completion->current(message.attempt) : nullptr;
    AttemptPlace *place = attempt != nullptr ? attempt->find(frame.sender) : nullptr;
    if (place == nullptr || !isOpen(place->state)) {
        return;
    }
    if (Upstream *upstream = m_context.upstreams.find(frame.sender);
        upstream != nullptr && place->state == PlaceState::Sent) {
        m_context.upstreams.noteRefused(*upstream, completion->priorityClass, attempt->work);
    }
    place->state = PlaceState::NotRun;
    attemptEnded(*completion, PlaceState::NotRun, message.error, now, out);
}

void CompletionFlow::handle(const PeerFrame &frame, const StreamPart &message, TimePoint now, EntryActions &out)
{
    Completion *completion = find(message.attempt.request);
    UpstreamAttempt *attempt = completion != nullptr ? completion->current(message.attempt) : nullptr;
    AttemptPlace *place = attempt != nullptr ? attempt->find(frame.sender) : nullptr;
    if (place == nullptr || !isOpen(place->state)) {
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
    Completion *completion = find(message.attempt.request);
    UpstreamAttempt *attempt = completion != nullptr ? completion->current(message.attempt) : nullptr;
    AttemptPlace *place = attempt != nullptr ? attempt->find(frame.sender) : nullptr;
    if (place == nullptr || !isOpen(place->state)) {
        return;
    }
    place->state = PlaceState::MayHaveRun;
    if (!completion->assembler.completes(message)) {
        attemptEnded(*completion,
                     PlaceState::MayHaveRun,
                     Error {ResultCode::StreamIncomplete, "the answer's token count does not match its end marker", {}},
                     now,
                     out);
        return;
    }
    out.emplace_back(DeliverEnd {completion->id,
                                 message.finishReason,
                                 completion->request.promptTokens,
                                 Tokens(static_cast<std::int64_t>(message.tokenCount))});
    finish(*completion, out);
}

void CompletionFlow::handle(const PeerFrame &frame, const AttemptFailed &message, TimePoint now, EntryActions &out)
{
    Completion *completion = find(message.attempt.request);
    UpstreamAttempt *attempt = completion != nullptr ? completion->current(message.attempt) : nullptr;
    AttemptPlace *place = attempt != nullptr ? attempt->find(frame.sender) : nullptr;
    if (place == nullptr || !isOpen(place->state)) {
        return;
    }
    place->state = message.mayHaveStarted ? PlaceState::MayHaveRun : PlaceState::NotRun;
    attemptEnded(*completion, place->state, message.error, now, out);
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
            attemptEnded(*completion, place->state, error, now, out);
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
        std::vector<UnsentCancel> &unsent = m_unsentCancels[upstream];
        if (unsent.size() < MaxUnsentCancels) {
            unsent.push_back(UnsentCancel {completion->attempts.back().id, completion->deadline});
        }
        attemptEnded(*completion,
                     PlaceState::MayHaveRun,
                     Error {ResultCode::OutcomeUnknown, "the connection to the upstream's agent was lost", {}},
                     now,
                     out);
    }
}

void CompletionFlow::upstreamConnected(const InstanceId &upstream, TimePoint now, EntryActions &out)
{
    const auto unsent = m_unsentCancels.find(upstream);
    if (unsent == m_unsentCancels.end()) {
        return;
    }
    for (const UnsentCancel &cancel : unsent->second) {
        if (cancel.deadline > now) {
            out.emplace_back(SendToPeer {upstream, CancelAttempt {cancel.attempt}});
        }
    }
    m_unsentCancels.erase(unsent);
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

Completion *CompletionFlow::find(const RequestId &request)
{
    const auto completion = m_completions.find(request);
    return completion == m_completions.end() ? nullptr : &completion->second;
}

void CompletionFlow::startAttempt(Completion &completion, TimePoint now, EntryActions &out)
{
    const RouteQuery query {completion.priorityClass, completion.request.promptTokens};
    Upstream *upstream = m_context.router.choose(
        m_context.upstreams.modelSubset(completion.request.model), query, UntriedFilter(completion), m_context.random);
    if (upstream == nullptr) {
        fail(completion,
             completion.lastError.value_or(
                 Error {ResultCode::NoUpstream, "no live upstream serves " + completion.request.model.value(), {}}),
             out);
        return;
    }
    sendAttempt(completion, *upstream, now, out);
}

void CompletionFlow::sendAttempt(Completion &completion, Upstream &upstream, TimePoint now, EntryActions &out)
{
    const CompletionRequest &request = completion.request;
    const AttemptId id {completion.id, static_cast<std::uint32_t>(completion.attempts.size() + 1)};
    const Tokens work = request.promptTokens + request.maxOutputTokens;
    completion.attempts.push_back(
        UpstreamAttempt {id, {AttemptPlace {upstream.id, upstream.incarnation, PlaceState::Sent}}, work});
    completion.assembler.beginAttempt(id);
    m_context.upstreams.noteDispatched(upstream, completion.priorityClass, work);
    setPhase(completion, CompletionPhase::Running, now + m_context.settings.answerTimeout);
    out.emplace_back(SendToPeer {upstream.id,
                                 DispatchRequest {.attempt = id,
                                                  .customer = request.customer,
                                                  .customerWeight = request.customerWeight,
                                                  .model = request.model,
                                                  .promptTokens = request.promptTokens,
                                                  .maxOutputTokens = request.maxOutputTokens,
                                                  .timeLeft = completion.deadline - now,
                                                  .prefixHashes = request.prefixHashes,
                                                  .resumeFrom = completion.assembler.tokenCount(),
                                                  .resumeText = completion.assembler.text(),
                                                  .chat = request.chat,
                                                  .body = request.body,
                                                  .group = {}}});
    m_context.report("attempt_dispatched", {{"attempt", toString(id)}, {"upstream", upstream.id.value()}});
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

void CompletionFlow::attemptEnded(
    Completion &completion, PlaceState state, const Error &error, TimePoint now, EntryActions &out)
{
    completion.assembler.endAttempt();
    completion.lastError = error;
    m_context.report("attempt_ended",
                     {{"attempt", toString(completion.attempts.back().id)},
                      {"code", std::string(resultCodeInfo(error.code).name)},
                      {"not_run", state == PlaceState::NotRun ? "true" : "false"}});
    if (completion.failureAfterCancel) {
        fail(completion, *completion.failureAfterCancel, out);
        return;
    }
    retryOrFail(completion, error, now, out);
}

void CompletionFlow::retryOrFail(Completion &completion, const Error &error, TimePoint now, EntryActions &out)
{
    if (completion.attempts.size() >= m_context.settings.retryPolicy.maxAttempts) {
        fail(completion, error, out);
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
        if (completion.phase == CompletionPhase::Waiting) {
            fail(completion, *completion.failureAfterCancel, out);
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
        for (AttemptPlace &place : completion.attempts.back().places) {
            if (isOpen(place.state)) {
                place.state = PlaceState::MayHaveRun;
            }
        }
        attemptEnded(completion,
                     PlaceState::MayHaveRun,
                     Error {ResultCode::OutcomeUnknown, "the agent did not confirm the cancellation", {}},
                     now,
                     out);
        break;
    case CompletionPhase::Waiting:
        startAttempt(completion, now, out);
        break;
    }
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
    m_completions.erase(completion.id);
}

} // namespace ibismast
