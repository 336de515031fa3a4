#include "ibismast/agent/enginereconciler.h"

#include <algorithm>

namespace ibismast
{

EngineReconciler::EngineReconciler(const AgentContext &context, AttemptRunner &runner)
    : m_context(context), m_runner(runner)
{
}

void EngineReconciler::handleEngineUp(TimePoint now, AgentActions &out)
{
    m_upSince = now;
    m_missing.clear();
    requestHeldList(now, out);
}

void EngineReconciler::handleHeld(const EngineHeld &held, TimePoint now, AgentActions &out)
{
    AttemptTable &attempts = m_runner.attempts();
    for (const AttemptId &id : held.attempts) {
        if (attempts.find(id) == nullptr) {
            m_context.log("engine_orphan_cancelled", {{"attempt", toString(id)}});
            sendToEngine(EngineCancel {id}, out);
        }
    }
    if (!m_requestedAt) {
        return;
    }
    const std::set<AttemptId> present(held.attempts.begin(), held.attempts.end());
    std::set<AttemptId> missing;
    for (const auto &[id, attempt] : attempts.live()) {
        // Skip attempts submitted since the request: the engine may have made the list before it received them.
        if (attempt.state != AttemptState::Queued && attempt.submittedAt < *m_requestedAt && !present.contains(id)) {
            missing.insert(id);
        }
    }
    const Error error {ResultCode::UpstreamFailed, "The engine no longer holds the attempt.", std::nullopt};
    for (const AttemptId &id : missing) {
        const Attempt &attempt = *attempts.find(id);
        const bool cancelled = attempt.state == AttemptState::Cancelling && attempt.cancelSentAt < *m_requestedAt;
        const bool beforeRestart = m_upSince && attempt.submittedAt < *m_upSince;
        // The engine's message about the end of a running attempt may still be in transit, so the attempt is considered
        // lost only when two consecutive lists do not contain it.
        if (cancelled || beforeRestart || m_missing.contains(id)) {
            m_context.log("attempt_lost", {{"attempt", toString(id)}});
            m_runner.dropLost(id, error, now, out);
        }
    }
    m_missing = std::move(missing);
}

void EngineReconciler::tick(TimePoint now, AgentActions &out)
{
    if (m_runner.engineUp() && (!m_requestedAt || now - *m_requestedAt >= m_context.settings.heldInterval)) {
        requestHeldList(now, out);
    }
}

void EngineReconciler::requestHeldList(TimePoint now, AgentActions &out)
{
    m_requestedAt = now;
    sendToEngine(EngineListHeld {}, out);
}

} // namespace ibismast
