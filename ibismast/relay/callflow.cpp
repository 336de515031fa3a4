#include "ibismast/relay/callflow.h"

#include "ibismast/relay/promptquarantine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ibismast
{

namespace
{

constexpr int FirstServerError = 500;
/// Status of an upstream that is not the one that the call was sent to.
constexpr int MisdirectedStatus = 421;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// True for the statuses that callers take to mean that their call was not executed.
bool signalsNotRun(int status)
{
    return status == 408 || status == MisdirectedStatus || status == 429 || status == 503;
}

} // namespace

Duration callerSilence(const RelayRoute &route, const CallFlowSettings &settings)
{
    return std::max({settings.callerSilenceLimit,
                     fromSeconds(toSeconds(route.objective) * settings.callerSilencePerObjective),
                     fromSeconds(toSeconds(route.pauseTarget) * settings.callerSilencePerPause)});
}

CallFlow::CallFlow(RelayCall call,
                   const CallFlowSettings &settings,
                   CallEnvironment &environment,
                   EventListener &listener)
    : m_call(std::move(call)), m_settings(settings), m_environment(&environment), m_listener(&listener)
{
}

CallFlow::Attempt::Attempt(AttemptPlan attemptPlan, std::size_t maxEventBytes, TimePoint now)
    : plan(std::move(attemptPlan)), scanner(maxEventBytes), lastProgress(now)
{
}

std::vector<AttemptHelper> CallFlow::Attempt::holders() const
{
    std::vector<AttemptHelper> result;
    std::ranges::copy_if(plan.helpers, std::back_inserter(result), [](const AttemptHelper &helper) {
        return !helper.reservationId.empty();
    });
    return result;
}

bool CallFlow::Attempt::succeeded() const
{
    return head && isSuccess(head->status);
}

std::size_t CallFlow::Attempt::bufferedBytes() const
{
    return body.size() + comments.size() + scanner.pendingBytes();
}

bool CallFlow::isCurrent(int attempt) const
{
    return !m_ended && m_current && attempt == m_attempt;
}

// Events of a call and the response to its caller. Planning and sending of attempts is in callflowattempts.cpp.

std::string CallFlow::inMs(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

bool CallFlow::isStream() const
{
    return m_call.route.kind == CallKind::Stream || m_call.route.kind == CallKind::ResumableStream;
}

bool CallFlow::mayRepeat() const
{
    return m_call.route.kind == CallKind::Idempotent || m_call.route.kind == CallKind::ResumableStream;
}

bool CallFlow::canResume() const
{
    return m_headSent && mayRepeat();
}

void CallFlow::start(TimePoint now, CallActions &actions)
{
    startNextAttempt(now, actions);
}

void CallFlow::attemptFailed(
    int attempt, AttemptFailure failure, std::string_view reason, TimePoint now, CallActions &actions)
{
    if (!isCurrent(attempt)) {
        return;
    }
    const UpstreamRecord record = m_current->plan.upstream;
    const InstanceId &upstream = record.id;
    const std::optional<ResponseHead> head = m_current->head;
    const bool hasEvents = m_current->firstEvent.has_value();
    const bool atFirstEvent = m_current->succeeded() && !hasEvents;
    const bool inTrial = !m_promptSound && (!head || atFirstEvent || inPromptTrial(now));
    if (failure != AttemptFailure::BuffersFull) {
        const bool connection = failure == AttemptFailure::NotSent || failure == AttemptFailure::Broken;
        m_environment->upstreamFailed(upstream, connection ? UpstreamFault::Connection : UpstreamFault::Response, now);
    }
    closeAttempt(now, actions);
    if (failure == AttemptFailure::NotSent) {
        ++m_unsentAttempts;
        if (m_unsentAttempts <= m_settings.maxUnsentAttempts && now < m_call.deadline) {
            m_listener->onEvent("attempt_unsent",
                                {{"request", m_call.requestId},
                                 {"attempt", std::to_string(attempt)},
                                 {"upstream", upstream.value()},
                                 {"reason", std::string(reason)}});
            startNextAttempt(now, actions);
            return;
        }
        retryOrEnd(reason, ResultCode::NoUpstream, now, actions);
        return;
    }
    m_listener->onEvent("attempt_broken",
                        {{"request", m_call.requestId},
                         {"attempt", std::to_string(attempt)},
                         {"upstream", upstream.value()},
                         {"reason", std::string(reason)},
                         {"head", head ? std::to_string(head->status) : std::string("none")},
                         {"began", hasEvents ? "true" : "false"},
                         {"request_hash", toString(m_call.requestHash)},
                         {"parts", toText(m_call.promptParts)}});
    if (failure == AttemptFailure::Broken && inTrial) {
        m_environment->startBroken(m_call, record, atFirstEvent, now);
    }
    ++m_ranAttempts;
    m_mayHaveRun = true;
    retryOrEnd(reason, ResultCode::UpstreamFailed, now, actions);
}

void CallFlow::headReceived(int attempt, const ResponseHead &head, TimePoint now, CallActions &actions)
{
    if (!isCurrent(attempt)) {
        return;
    }
    m_current->lastProgress = now;
    m_current->head = head;
    if (head.status != MisdirectedStatus) {
        m_environment->noticeReceived(m_current->plan.upstream, head.notice, now);
    }
    if (head.notice.pause) {
        m_listener->onEvent("upstream_refused",
                            {{"request", m_call.requestId},
                             {"attempt", std::to_string(attempt)},
                             {"upstream", m_current->plan.upstream.id.value()},
                             {"status", std::to_string(head.status)},
                             {"pause_ms", inMs(*head.notice.pause)}});
    }
    if (!head.failedUpstream.empty()) {
        if (const std::optional<InstanceId> reportedUpstream =
                m_environment->upstreamFailedAt(head.failedUpstream, now)) {
            m_tried.insert(*reportedUpstream);
        }
    }
    if (head.notRun) {
        ++m_declinedAttempts;
        m_declinedBy.insert(m_current->plan.upstream.id);
        if (head.failedUpstream.empty()) {
            m_environment->upstreamDeclined(m_current->plan.upstream.id, now);
        }
        actions.emplace_back(AbortAttempt {attempt});
        closeAttempt(now, actions);
        const std::string reportedText = head.failedUpstream.empty() ? "" : ", blames " + head.failedUpstream.value();
        retryOrEnd("upstream declined with " + std::to_string(head.status) + reportedText,
                   ResultCode::NoUpstream,
                   now,
                   actions);
        return;
    }
    m_mayHaveRun = true;
    const bool failed = head.status >= FirstServerError || !head.valid || signalsNotRun(head.status);
    const bool resumptionFailed = m_headSent && !isSuccess(head.status);
    if (!failed && !resumptionFailed) {
        return;
    }
    const bool canForward = head.valid && !signalsNotRun(head.status) && !m_headSent;
    const bool canRetry = mayRepeat() && m_ranAttempts + 1 < m_call.route.maxAttempts && now < m_call.deadline;
    if (canForward && !canRetry) {
        // No retry is possible, so the upstream's error response is forwarded unchanged.
        return;
    }
    ++m_ranAttempts;
    m_environment->upstreamFailed(m_current->plan.upstream.id, UpstreamFault::Response, now);
    actions.emplace_back(AbortAttempt {attempt});
    closeAttempt(now, actions);
    retryOrEnd("upstream failed with " + std::to_string(head.status), ResultCode::UpstreamFailed, now, actions);
}

void CallFlow::bodyReceived(int attempt, std::string_view bytes, TimePoint now, CallActions &actions)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (isStream() && m_current->succeeded()) {
        eventsReceived(attempt, bytes, now, actions);
    } else {
        m_current->lastProgress = now;
        m_environment->upstreamProgressed(m_current->plan.upstream.id, now);
        m_current->body.append(bytes);
        if (m_current->body.size() > m_settings.maxResponseBytes) {
            actions.emplace_back(AbortAttempt {attempt});
            attemptFailed(attempt, AttemptFailure::GivenUp, "response body exceeds the size limit", now, actions);
            return;
        }
    }
    if (isCurrent(attempt) && !accountBuffers()) {
        giveUpResponse(now, actions);
    }
}

void CallFlow::giveUpResponse(TimePoint now, CallActions &actions)
{
    if (m_ended || !m_current) {
        return;
    }
    actions.emplace_back(AbortAttempt {m_attempt});
    attemptFailed(m_attempt, AttemptFailure::BuffersFull, "the response buffers are full", now, actions);
}

void CallFlow::callerBacklogChanged(std::size_t bytes, TimePoint now, CallActions &actions)
{
    if (m_ended || !m_current) {
        return;
    }
    const bool paused = m_current->pausedAt.has_value();
    const std::size_t limit = paused ? m_settings.resumeCallerBacklog : m_settings.maxCallerBacklog;
    if ((bytes > limit) == paused) {
        return;
    }
    if (paused) {
        m_pausedTime += now - *m_current->pausedAt;
        m_current->pausedAt.reset();
        // The upstream could not send, and the caller has received bytes until now.
        m_current->lastProgress = now;
        m_lastEvent = now;
    } else {
        if (m_pausedTime == Duration::zero()) {
            m_listener->onEvent("response_paused",
                                {{"request", m_call.requestId},
                                 {"attempt", std::to_string(m_attempt)},
                                 {"upstream", m_current->plan.upstream.id.value()},
                                 {"unsent_bytes", std::to_string(bytes)}});
        }
        m_current->pausedAt = now;
    }
    actions.emplace_back(SetResponsePaused {m_attempt, !paused});
}

void CallFlow::eventsReceived(int attempt, std::string_view bytes, TimePoint now, CallActions &actions)
{
    std::string events = m_current->scanner.append(bytes);
    if (!m_current->scanner.hasProgressed()) {
        m_current->comments += events;
        events.clear();
    }
    if (m_current->scanner.overflowed() || m_current->comments.size() > m_settings.maxEventBytes) {
        actions.emplace_back(AbortAttempt {attempt});
        attemptFailed(attempt, AttemptFailure::GivenUp, "stream event exceeds the size limit", now, actions);
        return;
    }
    if (events.empty()) {
        return;
    }
    // Comments, blank lines and parts of an event are no progress: a stalled upstream may send them without end.
    m_current->lastProgress = now;
    m_environment->upstreamProgressed(m_current->plan.upstream.id, now);
    if (!m_current->firstEvent) {
        m_current->firstEvent = now;
        if (m_current->reservations) {
            m_current->reservations->answerBegun(now);
        }
        m_environment->firstEventReceived(m_call, now);
    } else if (!inPromptTrial(now)) {
        notePromptAnswered(now);
    }
    if (!m_current->scanner.lastId().empty()) {
        m_lastEventId = m_current->scanner.lastId();
    }
    if (!m_headSent) {
        m_headSent = true;
        m_firstEvent = now;
        actions.emplace_back(SendHead {attempt});
    }
    if (m_eventBatchesSent > 0) {
        m_longestPause = std::max(m_longestPause, now - m_lastEvent);
    }
    m_lastEvent = now;
    ++m_eventBatchesSent;
    actions.emplace_back(SendBody {std::exchange(m_current->comments, {}) + events});
}

bool CallFlow::inPromptTrial(TimePoint now) const
{
    return m_current && m_current->firstEvent && now - *m_current->firstEvent < m_settings.promptTrialTime;
}

void CallFlow::notePromptAnswered(TimePoint now)
{
    if (!std::exchange(m_promptSound, true)) {
        m_environment->promptAnswered(m_call, now);
    }
}

bool CallFlow::accountBuffers()
{
    const auto bytes = static_cast<std::int64_t>(m_current ? m_current->bufferedBytes() : 0);
    if (!m_environment->changeBuffered(m_call, bytes - m_bufferedBytes)) {
        return false;
    }
    m_bufferedBytes = bytes;
    return true;
}

void CallFlow::responseCompleted(int attempt, TimePoint now, CallActions &actions)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (isStream() && m_current->succeeded()) {
        // A response without a length ends with its connection, also when its upstream crashes.
        const bool empty = !m_headSent && m_current->comments.empty() && m_call.lastEventId.empty();
        if (m_current->scanner.insideEvent() || empty) {
            const std::string_view reason =
                empty ? "the stream ended without an event" : "the stream ended inside an event";
            attemptFailed(attempt, AttemptFailure::Broken, reason, now, actions);
            return;
        }
    }
    ++m_ranAttempts;
    const int status = m_current->head ? m_current->head->status : 0;
    if (status < FirstServerError) {
        m_environment->upstreamSucceeded(m_current->plan.upstream.id);
    } else {
        m_environment->upstreamFailed(m_current->plan.upstream.id, UpstreamFault::Response, now);
    }
    const std::string outcome = std::to_string(status);
    if (isStream() && m_current->succeeded()) {
        if (m_current->firstEvent) {
            notePromptAnswered(now);
        }
        if (!m_headSent) {
            m_headSent = true;
            actions.emplace_back(SendHead {attempt});
        }
        std::string rest = std::exchange(m_current->comments, {}) + m_current->scanner.takeIncomplete();
        if (!rest.empty()) {
            actions.emplace_back(SendBody {std::move(rest)});
        }
        finish("answered", outcome, now, actions);
        actions.emplace_back(EndBody {});
        return;
    }
    if (status < FirstServerError) {
        m_environment->firstEventReceived(m_call, now);
        notePromptAnswered(now);
    }
    std::string body = std::move(m_current->body);
    finish("answered", outcome, now, actions);
    actions.emplace_back(SendFullResponse {attempt, std::move(body)});
}

void CallFlow::callerDisconnected(TimePoint now, CallActions &actions)
{
    if (m_ended) {
        return;
    }
    if (m_current) {
        actions.emplace_back(AbortAttempt {m_attempt});
    }
    finish("caller_gone", "caller closed its connection", now, actions);
}

TimePoint CallFlow::nextDue() const
{
    TimePoint due = m_call.deadline;
    if (m_waitingUntil) {
        return std::min(due, *m_waitingUntil);
    }
    if (!m_current) {
        return due;
    }
    if (m_current->sendDue) {
        return std::min(due, *m_current->sendDue);
    }
    if (m_current->reservations) {
        due = std::min(due, m_current->reservations->nextDue());
    }
    if (!m_current->reserving && !m_current->pausedAt && m_ranAttempts + 1 < m_call.route.maxAttempts && mayRepeat()) {
        due = std::min(due, std::max(stallDeadline(), m_current->nextStallCheck));
    }
    return due;
}

void CallFlow::timerExpired(TimePoint now, CallActions &actions)
{
    if (m_ended || now < nextDue()) {
        return;
    }
    if (m_waitingUntil && now < m_call.deadline) {
        if (m_waitsToBegin) {
            // Upstreams that have declined the call are asked again after a pause only.
            forgetDeclines();
            checkRoom(now, actions);
        } else {
            retryAfterWait(now, actions);
        }
        return;
    }
    if (m_current && m_current->sendDue && now < m_call.deadline) {
        if (!replanIfOutdated(now, actions)) {
            reserveOrSend(now, actions);
        }
        return;
    }
    if (m_current && m_current->reservations && now >= m_current->reservations->nextDue() && now < m_call.deadline) {
        keepReservations(now, actions);
        return;
    }
    if (now < m_call.deadline) {
        failOverIfFaster(now, actions);
        return;
    }
    if (m_current) {
        actions.emplace_back(AbortAttempt {m_attempt});
    }
    refuse(ResultCode::DeadlineExceeded, "the call's time is over", now, actions);
}

void CallFlow::refuse(ResultCode code, std::string reason, TimePoint now, CallActions &actions)
{
    const Duration retryAfter = m_environment->retryDelay(m_call, now).value_or(m_settings.retryAfter);
    refuse(Error {code, std::move(reason), retryAfter}, now, actions);
}

void CallFlow::refuse(Error error, TimePoint now, CallActions &actions)
{
    if (m_headSent) {
        finish("cut", error.message, now, actions);
        actions.emplace_back(CloseCallerConnection {});
        return;
    }
    if (m_mayHaveRun && resultCodeInfo(error.code).notRun) {
        error.code = ResultCode::UpstreamFailed;
    }
    const bool notRun = resultCodeInfo(error.code).notRun;
    if (notRun) {
        m_environment->callRefused(m_call, now);
    }
    finish("refused", error.message, now, actions);
    actions.emplace_back(
        Refuse {error.code, std::move(error.message), notRun ? error.retryAfter : std::optional<Duration>()});
}

void CallFlow::finish(std::string_view outcome, std::string_view reason, TimePoint now, CallActions &actions)
{
    assert(!m_ended);
    const std::string upstream = m_current ? m_current->plan.upstream.id.value() : std::string("none");
    closeAttempt(now, actions);
    m_waitingUntil.reset();
    if (std::exchange(m_waitsToBegin, false)) {
        m_environment->waitEnded(m_call, false, now);
    }
    m_ended = true;
    m_listener->onEvent("call_ended",
                        {{"request", m_call.requestId},
                         {"outcome", std::string(outcome)},
                         {"reason", std::string(reason)},
                         {"route", m_call.route.name},
                         {"customer", m_call.customer.value()},
                         {"prompt_tokens", std::to_string(m_call.size.prompt.value())},
                         {"upstream", upstream},
                         {"returning", m_call.returning ? "true" : "false"},
                         {"attempts", std::to_string(m_attempt)},
                         {"ran", std::to_string(m_ranAttempts)},
                         {"declined", std::to_string(m_declinedAttempts)},
                         {"unsent", std::to_string(m_unsentAttempts)},
                         {"replanned", std::to_string(m_replans)},
                         {"first_event_ms", m_firstEvent ? inMs(*m_firstEvent - m_call.arrived) : "none"},
                         {"longest_pause_ms", inMs(m_longestPause)},
                         {"caller_slow_ms", inMs(m_pausedTime)},
                         {"total_ms", inMs(now - m_call.arrived)}});
}

} // namespace ibismast
