#pragma once

#include "ibismast/agent/agentcontext.h"
#include "ibismast/agent/engineschedule.h"

namespace ibismast
{

/// Carries attempts from the queue through the engine to their end, and frees their memory.
///
/// The memory of an attempt that the engine has seen is released only when the engine confirms that it holds nothing
/// more of it, or is known to have lost it.
class AttemptRunner
{
public:
    explicit AttemptRunner(const AgentContext &context);

    /// Queues a new attempt; returns false if the queue is full.
    [[nodiscard]] bool enqueue(Attempt attempt);
    /// Starts an attempt whose memory is already reserved.
    void start(Attempt attempt, TimePoint now, AgentActions &out);
    /// Stops an attempt without a message to its owner.
    CancelOutcome cancel(const AttemptId &id, TimePoint now, AgentActions &out);
    /// Stops an attempt and tells its owner why.
    void fail(const AttemptId &id, Error error, TimePoint now, AgentActions &out);
    /// Fails the attempts that have not started.
    void failQueued(const Error &error, TimePoint now, AgentActions &out);
    /// Cancels all attempts of @p owner.
    void cancelOwnedBy(const InstanceId &owner, TimePoint now, AgentActions &out);
    /// Ends an attempt that the engine does not hold any more.
    void dropLost(const AttemptId &id, const Error &error, TimePoint now, AgentActions &out);
    /// Ends all attempts after the engine was lost.
    void engineLost(TimePoint now, AgentActions &out);

    void handleTokens(const EngineTokens &event, TimePoint now, AgentActions &out);
    void handleFinished(const EngineFinished &event, TimePoint now, AgentActions &out);
    void handleExported(const EngineSegmentExported &event, TimePoint now, AgentActions &out);
    void handleFailed(const EngineFailed &event, TimePoint now, AgentActions &out);
    void handleCancelled(const EngineCancelled &event, TimePoint now);

    /// Moves the estimates to @p now.
    void advance(TimePoint now);
    /// Does what is due: deadlines, repeated cancels, priorities.
    void tick(TimePoint now, AgentActions &out);
    /// Gives the engine what it can take.
    void submitReady(TimePoint now, AgentActions &out);
    /// Tells whether commands can reach the engine.
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
    /// Returns the tokens that are queued or running, by class.
    [[nodiscard]] PerClass<Tokens> outstanding() const;
    /// Number of attempts that generate.
    [[nodiscard]] std::size_t decoding() const;
    /// Returns the expected time until one more attempt of @p priorityClass can get @p amount of memory.
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
