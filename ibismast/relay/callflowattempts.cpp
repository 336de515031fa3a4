#include "ibismast/relay/callflow.h"

#include <algorithm>

namespace ibismast
{

// Attempts of a call: choice of the upstream, departure, reserved memory, stalls and further tries.

void CallFlow::startAttempt(TimePoint now, CallActions &actions)
{
    std::optional<AttemptPlan> plan = m_environment->planAttempt(m_call, m_tried, now);
    if (!plan) {
        refuse(ResultCode::NoUpstream, "no upstream has room", now, actions);
        return;
    }
    beginAttempt(std::move(*plan), now, actions);
}

void CallFlow::moveStalled(TimePoint now, CallActions &actions)
{
    std::optional<AttemptPlan> plan = m_environment->planAttempt(m_call, m_tried, now);
    const Duration waited = now - m_lastProgress;
    const bool better = plan && toSeconds(plan->firstEvent) <= toSeconds(waited) * m_settings.moveShare;
    if (!better || !m_environment->takeRetry(m_call.service, now)) {
        m_stallChecked = now + m_settings.stallRecheck;
        return;
    }
    m_listener->onEvent("attempt_moved",
                        {{"request", m_call.requestId},
                         {"attempt", std::to_string(m_attempt)},
                         {"upstream", m_plan->upstream.id.value()},
                         {"silent_ms", inMs(waited)}});
    actions.emplace_back(AbortAttempt {m_attempt});
    m_environment->upstreamFailed(m_plan->upstream.id, now);
    closeAttempt(now, actions);
    ++m_sent;
    m_mayHaveRun = true;
    beginAttempt(std::move(*plan), now, actions);
}

void CallFlow::beginAttempt(AttemptPlan plan, TimePoint now, CallActions &actions)
{
    m_plan = std::move(plan);
    m_stallChecked = TimePoint::min();
    ++m_attempt;
    m_headReceived = false;
    m_attemptHasEvents = false;
    m_body.clear();
    // What stands behind the last whole event comes again from the next upstream.
    (void)m_scanner.takeRest();
    m_lastProgress = now;
    m_tried.insert(m_plan->upstream.id);
    int ticket = 0;
    std::string helpers;
    for (AttemptHelper &helper : m_plan->helpers) {
        helpers += (helpers.empty() ? "" : ",") + helper.upstream.id.value();
        if (helper.reserved.value() > 0) {
            helper.reservationId = m_call.requestId + "." + std::to_string(m_attempt) + "." + std::to_string(++ticket);
        }
    }
    m_environment->attemptStarted(m_call, *m_plan, now);
    m_listener->onEvent("attempt_started",
                        {{"request", m_call.requestId},
                         {"attempt", std::to_string(m_attempt)},
                         {"upstream", m_plan->upstream.id.value()},
                         {"helpers", helpers.empty() ? std::string("none") : helpers},
                         {"part_ms", inMs(m_plan->part)},
                         {"predicted_ms", inMs(m_plan->firstEvent)},
                         {"holders", std::to_string(ticket)},
                         {"behind_event", m_scanner.lastId()},
                         {"delay_ms", inMs(m_plan->delay)},
                         {"left_ms", inMs(m_call.deadline - now)}});
    if (m_plan->delay > Duration::zero()) {
        m_sendDue = now + m_plan->delay;
        return;
    }
    releaseAttempt(now, actions);
}

void CallFlow::releaseAttempt(TimePoint now, CallActions &actions)
{
    m_sendDue.reset();
    if (!holders().empty()) {
        m_reserving = true;
        m_nextExtension = now + m_settings.memoryExtension;
        actions.emplace_back(ReserveEngineMemory {m_attempt, holders(), m_settings.memoryHold, false});
        return;
    }
    sendAttempt(now, actions);
}

void CallFlow::sendAttempt(TimePoint now, CallActions &actions)
{
    m_lastProgress = now;
    const std::string &lastEventId = m_eventsSent > 0 ? m_scanner.lastId() : m_call.lastEventId;
    actions.emplace_back(StartAttempt {m_attempt, *m_plan, lastEventId, m_call.deadline - now});
}

std::vector<AttemptHelper> CallFlow::holders() const
{
    std::vector<AttemptHelper> result;
    std::ranges::copy_if(m_plan->helpers, std::back_inserter(result), [](const AttemptHelper &helper) {
        return !helper.reservationId.empty();
    });
    return result;
}

void CallFlow::memoryReserved(int attempt, bool granted, TimePoint now, CallActions &actions)
{
    if (m_ended || !m_plan || attempt != m_attempt || !m_reserving) {
        return;
    }
    m_reserving = false;
    if (granted) {
        sendAttempt(now, actions);
        return;
    }
    closeAttempt(now, actions);
    ++m_unsent;
    if (m_unsent <= m_settings.maxUnsent && now < m_call.deadline) {
        m_listener->onEvent("memory_refused", {{"request", m_call.requestId}, {"attempt", std::to_string(attempt)}});
        startAttempt(now, actions);
        return;
    }
    refuse(ResultCode::MemoryExhausted, "the engines' memory is taken", now, actions);
}

void CallFlow::closeAttempt(TimePoint now, CallActions &actions)
{
    if (!m_plan) {
        return;
    }
    std::vector<AttemptHelper> held = holders();
    if (!held.empty() && !m_sendDue) {
        actions.emplace_back(ReleaseEngineMemory {std::move(held)});
    }
    m_reserving = false;
    m_sendDue.reset();
    m_nextExtension.reset();
    m_environment->attemptEnded(m_call, *m_plan, now);
    m_plan.reset();
}

TimePoint CallFlow::stallDue() const
{
    if (m_call.route.kind == CallKind::Idempotent) {
        return m_lastProgress + fromSeconds(toSeconds(m_call.route.objective) * m_settings.answerPatience);
    }
    const double gap = std::max({toSeconds(m_settings.callerGap),
                                 toSeconds(m_call.route.objective) * m_settings.callerGapObjectives,
                                 toSeconds(m_call.route.pauseTarget) * m_settings.callerGapPauses});
    if (!m_attemptHasEvents) {
        // Reading takes engines longer than predicted when they are busy; a second attempt would read all again.
        const double predicted = toSeconds(m_plan->firstEvent) * m_settings.predictionSlack;
        return m_lastProgress + fromSeconds(std::max(gap * m_settings.busyStallShare, predicted));
    }
    const double silent = gap * m_settings.stallShare;
    const double busy = gap * m_settings.busyStallShare;
    const TimePoint engineSilent = m_environment->lastProgress(m_plan->upstream.id) + fromSeconds(silent);
    return std::min(std::max(m_lastProgress + fromSeconds(silent), engineSilent), m_lastProgress + fromSeconds(busy));
}

void CallFlow::retryOrEnd(std::string_view reason, ResultCode code, TimePoint now, CallActions &actions)
{
    // A call that no upstream can have run may go to another one whatever its kind.
    const bool allowed = mayRepeat() || !m_mayHaveRun;
    if (allowed && m_sent < m_call.route.maxAttempts && now < m_call.deadline && m_unsent <= m_settings.maxUnsent
        && m_environment->takeRetry(m_call.service, now)) {
        m_listener->onEvent(
            "attempt_retried",
            {{"request", m_call.requestId}, {"attempt", std::to_string(m_attempt)}, {"reason", std::string(reason)}});
        startAttempt(now, actions);
        return;
    }
    refuse(m_mayHaveRun ? ResultCode::UpstreamFailed : code, std::string(reason), now, actions);
}

} // namespace ibismast
