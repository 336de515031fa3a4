#include "ibismast/relay/callflow.h"

#include <algorithm>

namespace ibismast
{

// Attempts of a call: choice of the upstream, delayed sending, memory reservations, stall detection and retries.

bool CallFlow::refuseForPrompt(TimePoint now, CallActions &actions)
{
    if (m_promptSound) {
        return false;
    }
    std::optional<Error> error = m_environment->checkPrompt(m_call, now);
    if (!error) {
        return false;
    }
    refuse(std::move(*error), now, actions);
    return true;
}

void CallFlow::startNextAttempt(TimePoint now, CallActions &actions)
{
    if (refuseForPrompt(now, actions)) {
        return;
    }
    std::optional<AttemptPlan> plan = planAttempt(now);
    if (!plan) {
        constexpr std::string_view Reason = "no upstream has room";
        if (canResume()) {
            waitForRoom(Reason, ResultCode::NoUpstream, now, actions);
            return;
        }
        waitOrRefuse(now, actions);
        return;
    }
    startPlannedAttempt(std::move(*plan), now, actions);
}

std::optional<AttemptPlan> CallFlow::planAttempt(TimePoint now)
{
    m_call.begun = m_headSent || m_mayHaveRun;
    return m_environment->planAttempt(m_call, m_tried, now);
}

void CallFlow::waitOrRefuse(TimePoint now, CallActions &actions)
{
    if (std::optional<Error> error = m_environment->waitForRoom(m_call, now)) {
        if (error->retryAfter) {
            refuse(std::move(*error), now, actions);
        } else {
            refuse(error->code, std::move(error->message), now, actions);
        }
        return;
    }
    m_waitsToBegin = true;
    // All waiting calls are checked at the same times, so that they share the wake-ups of the process.
    m_waitingUntil = now + m_settings.waitRecheckInterval - now.time_since_epoch() % m_settings.waitRecheckInterval;
}

void CallFlow::checkRoom(TimePoint now, CallActions &actions)
{
    if (m_ended || !m_waitsToBegin) {
        return;
    }
    if (!m_mayHaveRun) {
        if (std::optional<Error> error = m_environment->readmit(m_call)) {
            refuse(std::move(*error), now, actions);
            return;
        }
    }
    if (refuseForPrompt(now, actions)) {
        return;
    }
    std::optional<AttemptPlan> plan = planAttempt(now);
    if (!plan) {
        waitOrRefuse(now, actions);
        return;
    }
    m_waitsToBegin = false;
    m_waitingUntil.reset();
    m_environment->waitEnded(m_call, true, now);
    startPlannedAttempt(std::move(*plan), now, actions);
}

void CallFlow::displace(TimePoint now, CallActions &actions)
{
    if (!m_ended && m_waitsToBegin) {
        refuse(ResultCode::NoUpstream, "more urgent calls wait for room", now, actions);
    }
}

void CallFlow::waitForRoom(std::string_view reason, ResultCode code, TimePoint now, CallActions &actions)
{
    if (now >= std::min(m_call.deadline, m_lastEvent + callerSilence(m_call.route, m_settings))) {
        refuse(code, std::string(reason), now, actions);
        return;
    }
    if (!m_waitingUntil) {
        m_listener->onEvent("stream_waits",
                            {{"request", m_call.requestId},
                             {"attempt", std::to_string(m_attempt)},
                             {"reason", std::string(reason)},
                             {"behind_event", m_lastEventId},
                             {"left_ms", inMs(m_call.deadline - now)}});
    }
    forgetDeclines();
    m_waitingUntil = now + m_settings.roomRecheckInterval;
}

void CallFlow::forgetDeclines()
{
    for (const InstanceId &upstream : m_declinedBy) {
        m_tried.erase(upstream);
    }
    m_declinedBy.clear();
}

void CallFlow::retryAfterWait(TimePoint now, CallActions &actions)
{
    if (refuseForPrompt(now, actions)) {
        return;
    }
    std::optional<AttemptPlan> plan = planAttempt(now);
    if (!plan || !m_environment->takeRetry(m_call.service, now)) {
        waitForRoom(
            plan ? "the retry budget is exhausted" : "no upstream has room", ResultCode::NoUpstream, now, actions);
        return;
    }
    m_waitingUntil.reset();
    startPlannedAttempt(std::move(*plan), now, actions);
}

bool CallFlow::replanIfOutdated(TimePoint now, CallActions &actions)
{
    if (!m_mayHaveRun && !m_headSent) {
        if (std::optional<Error> error = m_environment->readmit(m_call)) {
            refuse(std::move(*error), now, actions);
            return true;
        }
    }
    if (refuseForPrompt(now, actions)) {
        return true;
    }
    const std::optional<PlanFault> fault = m_environment->planFault(m_call, m_current->plan, now);
    if (!fault || (!fault->unusable && m_replans >= m_settings.maxReplans)) {
        return false;
    }
    ++m_replans;
    m_listener->onEvent("attempt_replanned",
                        {{"request", m_call.requestId},
                         {"attempt", std::to_string(m_attempt)},
                         {"upstream", m_current->plan.upstream.id.value()},
                         {"reason", fault->reason}});
    // Nothing was sent, so the new plan may use the same upstream again.
    m_tried.erase(m_current->plan.upstream.id);
    closeAttempt(now, actions);
    startNextAttempt(now, actions);
    return true;
}

void CallFlow::keepReservations(TimePoint now, CallActions &actions)
{
    AttemptReservations &reservations = *m_current->reservations;
    if (reservations.isIdle(now)) {
        endIdleAttempt(now, actions);
        return;
    }
    for (AttemptHelper &holder : reservations.takeInspections(now)) {
        actions.emplace_back(InspectEngineMemory {m_attempt, std::move(holder)});
    }
    for (ReservationExtension &extension : reservations.takeExtensions(now)) {
        reserve(std::move(extension), true, actions);
    }
}

void CallFlow::reserve(ReservationExtension order, bool extends, CallActions &actions) const
{
    actions.emplace_back(
        ReserveEngineMemory {m_attempt, std::move(order.holders), order.ttl, order.latestEnd, extends});
}

void CallFlow::reservationInspected(
    int attempt, const std::string &reservationId, ReservationState state, TimePoint now, CallActions &actions)
{
    if (!isCurrent(attempt) || !m_current->reservations) {
        return;
    }
    m_current->reservations->inspected(reservationId, state, now);
    if (m_current->reservations->isIdle(now)) {
        endIdleAttempt(now, actions);
    }
}

void CallFlow::endIdleAttempt(TimePoint now, CallActions &actions)
{
    m_environment->upstreamFailed(m_current->plan.upstream.id, UpstreamFault::Response, now);
    actions.emplace_back(AbortAttempt {m_attempt});
    closeAttempt(now, actions);
    ++m_ranAttempts;
    m_mayHaveRun = true;
    retryOrEnd("the upstream does not use the reserved memory", ResultCode::UpstreamFailed, now, actions);
}

void CallFlow::failOverIfFaster(TimePoint now, CallActions &actions)
{
    // The upstream has got the request, though no answer shows that it has begun.
    m_call.begun = true;
    std::optional<AttemptPlan> plan = m_environment->planAttempt(m_call, m_tried, now);
    const Duration silentTime = now - m_current->lastProgress;
    const bool better = plan && (m_promptSound || !m_environment->checkPrompt(m_call, now))
        && toSeconds(plan->timeToFirstEvent) <= toSeconds(silentTime) * m_settings.failoverTimeRatio;
    if (!better || !m_environment->takeRetry(m_call.service, now)) {
        m_current->nextStallCheck = now + m_settings.stallRecheckInterval;
        return;
    }
    m_listener->onEvent("attempt_moved",
                        {{"request", m_call.requestId},
                         {"attempt", std::to_string(m_attempt)},
                         {"upstream", m_current->plan.upstream.id.value()},
                         {"silent_ms", inMs(silentTime)}});
    actions.emplace_back(AbortAttempt {m_attempt});
    m_environment->upstreamFailed(m_current->plan.upstream.id, UpstreamFault::Response, now);
    closeAttempt(now, actions);
    ++m_ranAttempts;
    m_mayHaveRun = true;
    startPlannedAttempt(std::move(*plan), now, actions);
}

void CallFlow::startPlannedAttempt(AttemptPlan plan, TimePoint now, CallActions &actions)
{
    ++m_attempt;
    m_current.emplace(std::move(plan), m_settings.maxEventBytes, now);
    m_tried.insert(m_current->plan.upstream.id);
    int reservationCount = 0;
    std::string helpers;
    for (AttemptHelper &helper : m_current->plan.helpers) {
        helpers += (helpers.empty() ? "" : ",") + helper.upstream.id.value();
        if (helper.reserved.value() > 0) {
            helper.reservationId =
                m_call.requestId + "." + std::to_string(m_attempt) + "." + std::to_string(++reservationCount);
        }
    }
    m_environment->attemptStarted(m_call, m_current->plan, now);
    m_listener->onEvent("attempt_started",
                        {{"request", m_call.requestId},
                         {"attempt", std::to_string(m_attempt)},
                         {"upstream", m_current->plan.upstream.id.value()},
                         {"helpers", helpers.empty() ? std::string("none") : helpers},
                         {"part_ms", inMs(m_current->plan.prefillTime)},
                         {"predicted_ms", inMs(m_current->plan.timeToFirstEvent)},
                         {"holders", std::to_string(reservationCount)},
                         {"behind_event", m_lastEventId},
                         {"delay_ms", inMs(m_current->plan.delay)},
                         {"left_ms", inMs(m_call.deadline - now)}});
    if (m_current->plan.delay > Duration::zero()) {
        m_current->sendDue = now + std::min(m_current->plan.delay, m_settings.maxSendDelay);
        return;
    }
    reserveOrSend(now, actions);
}

void CallFlow::reserveOrSend(TimePoint now, CallActions &actions)
{
    m_current->sendDue.reset();
    if (!m_current->holders().empty()) {
        m_current->reserving = true;
        m_current->reservations.emplace(m_current->holders(), m_settings.reservations, now);
        reserve(m_current->reservations->firstOrder(now), false, actions);
        return;
    }
    sendAttempt(now, actions);
}

void CallFlow::sendAttempt(TimePoint now, CallActions &actions)
{
    m_current->lastProgress = now;
    const std::string &lastEventId = m_eventBatchesSent > 0 ? m_lastEventId : m_call.lastEventId;
    const std::optional<EngineRank> rank = m_environment->engineRank(m_call, m_headSent || m_mayHaveRun, now);
    actions.emplace_back(StartAttempt {m_attempt, m_current->plan, lastEventId, m_call.deadline - now, rank});
}

void CallFlow::memoryReserved(int attempt, bool granted, TimePoint now, CallActions &actions)
{
    if (!isCurrent(attempt) || !m_current->reserving) {
        return;
    }
    m_current->reserving = false;
    if (granted) {
        if (!replanIfOutdated(now, actions)) {
            sendAttempt(now, actions);
        }
        return;
    }
    closeAttempt(now, actions);
    ++m_unsentAttempts;
    if (m_unsentAttempts <= m_settings.maxUnsentAttempts && now < m_call.deadline) {
        m_listener->onEvent("memory_refused", {{"request", m_call.requestId}, {"attempt", std::to_string(attempt)}});
        startNextAttempt(now, actions);
        return;
    }
    constexpr std::string_view Reason = "the engines' memory is taken";
    if (canResume()) {
        waitForRoom(Reason, ResultCode::MemoryExhausted, now, actions);
        return;
    }
    refuse(ResultCode::MemoryExhausted, std::string(Reason), now, actions);
}

void CallFlow::closeAttempt(TimePoint now, CallActions &actions)
{
    if (!m_current) {
        return;
    }
    std::vector<AttemptHelper> held = m_current->holders();
    if (!held.empty() && !m_current->sendDue) {
        actions.emplace_back(ReleaseEngineMemory {std::move(held)});
    }
    m_environment->attemptEnded(m_call, m_current->plan, now);
    if (m_current->pausedAt) {
        m_pausedTime += now - *m_current->pausedAt;
    }
    m_current.reset();
    (void)accountBuffers();
}

TimePoint CallFlow::stallDeadline() const
{
    if (m_call.route.kind == CallKind::Idempotent) {
        return m_current->lastProgress
            + fromSeconds(toSeconds(m_call.route.objective) * m_settings.responseTimeoutFactor);
    }
    const double silenceLimit = toSeconds(callerSilence(m_call.route, m_settings));
    if (!m_current->firstEvent) {
        // On busy engines prefill takes longer than predicted, and a second attempt would repeat the whole prefill.
        const double predicted = toSeconds(m_current->plan.timeToFirstEvent) * m_settings.predictionFactor;
        return m_current->lastProgress
            + fromSeconds(std::max(silenceLimit * m_settings.busyEngineStallRatio, predicted));
    }
    const double silent = silenceLimit * m_settings.silentEngineStallRatio;
    const double busy = silenceLimit * m_settings.busyEngineStallRatio;
    const TimePoint engineStalled = m_environment->lastProgress(m_current->plan.upstream.id) + fromSeconds(silent);
    return std::min(std::max(m_current->lastProgress + fromSeconds(silent), engineStalled),
                    m_current->lastProgress + fromSeconds(busy));
}

void CallFlow::retryOrEnd(std::string_view reason, ResultCode code, TimePoint now, CallActions &actions)
{
    // A call that no upstream can have executed may be retried whatever its kind.
    const bool allowed = (mayRepeat() || !m_mayHaveRun) && m_ranAttempts < m_call.route.maxAttempts;
    if (!allowed || now >= m_call.deadline) {
        refuse(m_mayHaveRun ? ResultCode::UpstreamFailed : code, std::string(reason), now, actions);
        return;
    }
    const int declineLimit = m_call.route.maxAttempts > 1 ? m_settings.maxDeclinedAttempts : 0;
    const bool withinLimits = m_unsentAttempts <= m_settings.maxUnsentAttempts && m_declinedAttempts <= declineLimit;
    if (withinLimits && m_environment->takeRetry(m_call.service, now)) {
        m_listener->onEvent(
            "attempt_retried",
            {{"request", m_call.requestId}, {"attempt", std::to_string(m_attempt)}, {"reason", std::string(reason)}});
        startNextAttempt(now, actions);
        return;
    }
    if (canResume()) {
        waitForRoom(reason, code, now, actions);
        return;
    }
    refuse(m_mayHaveRun ? ResultCode::UpstreamFailed : code, std::string(reason), now, actions);
}

} // namespace ibismast
