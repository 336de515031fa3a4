#pragma once

#include "ibismast/agent/attemptrunner.h"

namespace ibismast
{

/// Compares the attempts that the engine holds with those of the agent: cancels attempts that are unknown to the agent,
/// and ends attempts that the engine has lost.
class EngineReconciler
{
public:
    EngineReconciler(const AgentContext &context, AttemptRunner &runner);

    /// Handles that the engine became reachable; it may have been restarted and have lost all attempts.
    void handleEngineUp(TimePoint now, AgentActions &out);
    /// Compares the agent's attempts with the list that the engine returned.
    void handleHeld(const EngineHeld &held, TimePoint now, AgentActions &out);
    /// Requests the list if `AgentCoreSettings::heldInterval` has passed since the last request.
    void tick(TimePoint now, AgentActions &out);

private:
    void requestHeldList(TimePoint now, AgentActions &out);

    const AgentContext &m_context;
    AttemptRunner &m_runner;
    /// Time of the last list request; empty before the first one.
    std::optional<TimePoint> m_requestedAt;
    /// Time at which the engine last became reachable; empty if that was never reported.
    std::optional<TimePoint> m_upSince;
    /// Submitted attempts that the last list did not contain.
    std::set<AttemptId> m_missing;
};

} // namespace ibismast
