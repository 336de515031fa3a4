#include "ibismast/agent/enginereconciler.h"

#include <algorithm>

namespace ibismast
{

EngineReconciler::EngineReconciler(const AgentContext &context, AttemptRunner &runner)
    : m_context(context), m_runner(runner)
{
}

void EngineReconciler::engineUp(TimePoint now, AgentActions &out)
{
    m_upSince = now;
    m_missing.clear();
    ask(now, out);
}

void EngineReconciler::handleHeld(const EngineHeld &held, TimePoint now, AgentActions &out)
{
    AttemptTable &attempts = m_runner.attempts();
    for (const AttemptId &id : held.attempts) {
        if (attempts.find(id) == nullptr) {
            m_context.log("engine_orphan_cancelled", {{"attempt", toString(id)}});
            commandEngine(EngineCancel {id}, out);
        }
    }
    if (!m_asked) {
        return;
    }
    const std::set<AttemptId> present(held.attempts.begin(), held.attempts.end());
    std::set<AttemptId> missing;
    for (const auto &[id, attempt] : attempts.live()) {
        // The list may be older than a submit that was under way when it was asked for.
        if (attempt.state != AttemptState::Queued && attempt.submittedAt < *m_asked && !present.contains(id)) {
            missing.insert(id);
        }
    }
    const Error error {ResultCode::UpstreamFailed, "The engine holds nothing of the attempt any more.", std::nullopt};
    for (const AttemptId &id : missing) {
        const Attempt &attempt = *attempts.find(id);
        const bool cancelled = attempt.state == AttemptState::Cancelling && attempt.cancelSent < *m_asked;
        const bool beforeRestart = m_upSince && attempt.submittedAt < *m_upSince;
        // The end of a running attempt may still be under way, so one list without it is no proof.
        if (cancelled || beforeRestart || m_missing.contains(id)) {
            m_context.log("attempt_lost", {{"attempt", toString(id)}});
            m_runner.dropLost(id, error, now, out);
        }
    }
    m_missing = std::move(missing);
}

void EngineReconciler::tick(TimePoint now, AgentActions &out)
{
    if (m_runner.engineUp() && (!m_asked || now - *m_asked >= m_context.settings.heldInterval)) {
        ask(now, out);
    }
}

void EngineReconciler::ask(TimePoint now, AgentActions &out)
{
    m_asked = now;
    commandEngine(EngineListHeld {}, out);
}

} // namespace ibismast
