#pragma once

#include "ibismast/admission/capacityestimator.h"
#include "ibismast/agent/attempttable.h"
#include "ibismast/agent/engineschedulesettings.h"
#include "ibismast/memory/memoryaccount.h"
#include "ibismast/scheduling/engineprogress.h"
#include "ibismast/scheduling/fairqueue.h"

namespace ibismast
{

/// Change of priority of an attempt that runs on the engine.
struct PriorityChange
{
    AttemptId attempt;
    int priority = 0;
};

/// Decides when queued attempts go to the engine and with which priority.
class EngineSchedule
{
public:
    EngineSchedule(const EngineScheduleSettings &settings, MemoryAccount &memory);

    /// Queues an attempt; returns false if the queue is full.
    [[nodiscard]] bool enqueue(const Attempt &attempt, const EngineRates &rates);
    /// Returns the next attempt that the engine should get now, with its memory reserved until its deadline.
    [[nodiscard]] std::optional<AttemptId> takeReady(AttemptTable &attempts, const EngineRates &rates, TimePoint now);
    /// Notes that the engine was given @p attempt.
    void submitted(const Attempt &attempt);
    /// Notes that the engine has prefilled an attempt; returns the part that was estimated to remain.
    double prefilled(const Attempt &attempt);
    /// Removes an attempt from the queue or from the engine's work.
    void remove(const AttemptId &attempt);
    /// Moves the estimate of the engine's progress to @p now; returns the tokens prefilled since the last call.
    double advance(const EngineRates &rates, TimePoint now);
    /// Returns the priority that @p attempt should have on the engine.
    [[nodiscard]] int priorityOf(const Attempt &attempt, const EngineRates &rates, TimePoint now) const;
    /// Returns the changes of priority that are due.
    [[nodiscard]] std::vector<PriorityChange>
    reprioritise(AttemptTable &attempts, const EngineRates &rates, TimePoint now);
    /// Time that @p attempt needs alone on the engine for what remains of it.
    [[nodiscard]] Duration remainingWork(const Attempt &attempt, const EngineRates &rates) const;

    /// Estimated prefill tokens that remain in the engine.
    [[nodiscard]] const EngineProgress &progress() const;
    [[nodiscard]] const FairQueue &queue() const;
    [[nodiscard]] std::size_t running() const;
    /// Largest KV memory that one attempt of @p priorityClass can get.
    [[nodiscard]] Tokens largestAttempt(PriorityClass priorityClass) const;
    /// Keeps memory free for a group member that waits for it.
    void setSetAside(Tokens amount);

private:
    void updateInService();
    [[nodiscard]] bool fits(const QueuedAttempt &queued, AttemptTable &attempts, const EngineRates &rates);
    [[nodiscard]] bool memoryFits(PriorityClass priorityClass, Tokens amount) const;

    EngineScheduleSettings m_settings;
    MemoryAccount &m_memory;
    FairQueue m_queue;
    PriorityPolicy m_priorities;
    EngineProgress m_progress;
    /// Attempts in the engine, with their memory if they are short or medium.
    std::map<AttemptId, Tokens> m_running;
    Tokens m_shortMemory;
    /// True while the head of a class of long prompts waits for memory.
    bool m_longBlocked = false;
    Tokens m_setAside;
};

} // namespace ibismast
