#pragma once

#include "ibismast/agent/agentcontext.h"
#include "ibismast/agent/engineschedule.h"

namespace ibismast
{

/// Manages attempts from the queue through their execution on the engine to their end.
///
/// The memory of an attempt that was submitted to the engine is released only when the engine has reported its end or
/// confirmed its cancel, or is known to have lost it.
class AttemptRunner
{
public:
    explicit AttemptRunner(const AgentContext &context);

    /// Queues a new attempt; returns false if the queue is full.
    [[nodiscard]] bool enqueue(Attempt attempt);
    /// Submits an attempt whose memory is already reserved to the engine, bypassing the queue.
    void start(Attempt attempt, TimePoint now, AgentActions &out);
    /// Stops a live attempt without a message to its owner.
    CancelOutcome cancel(const AttemptId &id, TimePoint now, AgentActions &out);
    /// Stops a live attempt and reports @p error to its owner.
    void fail(const AttemptId &id, Error error, TimePoint now, AgentActions &out);
    /// Fails all queued attempts with @p error.
    void failQueued(const Error &error, TimePoint now, AgentActions &out);
    /// Cancels all attempts of @p owner.
    void cancelOwnedBy(const InstanceId &owner, TimePoint now, AgentActions &out);
    /// Ends an attempt that the engine no longer holds, and reports @p error to its owner unless it was cancelled.
    void dropLost(const AttemptId &id, const Error &error, TimePoint now, AgentActions &out);
    /// Ends all attempts after the engine became unreachable.
    void handleEngineDown(TimePoint now, AgentActions &out);

    void handleTokens(const EngineTokens &event, TimePoint now, AgentActions &out);
    void handleFinished(const EngineFinished &event, TimePoint now, AgentActions &out);
    void handleExported(const EngineSegmentExported &event, TimePoint now, AgentActions &out);
    void handleFailed(const EngineFailed &event, TimePoint now, AgentActions &out);
    void handleCancelled(const EngineCancelled &event, TimePoint now);

    /// Updates the estimates of prefill progress and engine capacity to @p now.
    void advance(TimePoint now);
    /// Fails attempts whose deadline has passed, repeats unconfirmed cancels, and updates priorities.
    void tick(TimePoint now, AgentActions &out);
    /// Submits queued attempts for as long as the schedule admits them to the engine.
    void submitReady(TimePoint now, AgentActions &out);
    /// Returns whether the engine is reachable.
    [[nodiscard]] bool engineUp() const;
    void setEngineUp(bool up);

    [[nodiscard]] AttemptTable &attempts();
    [[nodiscard]] const AttemptTable &attempts() const;
    [[nodiscard]] MemoryAccount &memory();
    [[nodiscard]] const MemoryAccount &memory() const;
    [[nodiscard]] EngineSchedule &schedule();
    [[nodiscard]] const EngineSchedule &schedule() const;
    [[nodiscard]] CapacityEstimator &estimator();
    [[nodiscard]] EngineRates rates() const;
    /// Returns the tokens still to be prefilled or generated, by priority class; cancelled and exported attempts are
    /// not counted.
    [[nodiscard]] PerClass<Tokens> outstanding() const;
    /// Number of attempts in the decode phase.
    [[nodiscard]] std::size_t decoding() const;
    /// Returns the expected time until a new attempt of @p priorityClass can reserve @p amount of memory.
    [[nodiscard]] Duration memoryWait(PriorityClass priorityClass, Tokens amount, TimePoint now) const;

private:
    void submit(Attempt &attempt, TimePoint now, AgentActions &out);
    void end(const AttemptId &id, AttemptRecord record, TimePoint now);

    const AgentContext &m_context;
    AttemptTable m_attempts;
    MemoryAccount m_memory;
    EngineSchedule m_schedule;
    CapacityEstimator m_estimator;
    TimePoint m_nextPriorities {};
    bool m_engineUp = true;
};

} // namespace ibismast
