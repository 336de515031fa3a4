#pragma once

#include "ibismast/agent/attemptrunner.h"

namespace ibismast
{

/// Compares the attempts that the engine holds with the agent's: cancels those that nobody owns and ends those that
/// the engine has lost.
class EngineReconciler
{
public:
    EngineReconciler(const AgentContext &context, AttemptRunner &runner);

    /// The engine became reachable and may be a new run.
    void engineUp(TimePoint now, AgentActions &out);
    void handleHeld(const EngineHeld &held, TimePoint now, AgentActions &out);
    /// Asks for the list when it is due.
    void tick(TimePoint now, AgentActions &out);

private:
    void ask(TimePoint now, AgentActions &out);

    const AgentContext &m_context;
    AttemptRunner &m_runner;
    /// Time of the last list request; nothing before the first one.
    std::optional<TimePoint> m_asked;
    /// Time at which the engine became reachable last.
    std::optional<TimePoint> m_upSince;
    /// Attempts that the last list did not contain.
    std::set<AttemptId> m_missing;
};

} // namespace ibismast
