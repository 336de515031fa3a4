#pragma once

#include "ibismast/admission/capacityestimator.h"
#include "ibismast/agent/attempttable.h"
#include "ibismast/agent/engineschedulesettings.h"
#include "ibismast/memory/memoryaccount.h"
#include "ibismast/scheduling/engineprogress.h"
#include "ibismast/scheduling/fairqueue.h"

namespace ibismast
{

/// New priority of an attempt that was submitted to the engine.
struct PriorityChange
{
    AttemptId attempt;
    int priority = 0;
};

/// Decides when queued attempts are submitted to the engine and with which priority.
class EngineSchedule
{
public:
    EngineSchedule(const EngineScheduleSettings &settings, MemoryAccount &memory);

    /// Queues an attempt; returns false if the queue is full.
    [[nodiscard]] bool enqueue(const Attempt &attempt, const EngineRates &rates);
    /// Dequeues the next attempt to submit to the engine now and reserves its memory until its deadline; returns
    /// nothing if no attempt may be submitted.
    [[nodiscard]] std::optional<AttemptId> takeReady(AttemptTable &attempts, const EngineRates &rates, TimePoint now);
    /// Accounts for @p attempt as submitted to the engine.
    void handleSubmitted(const Attempt &attempt);
    /// Accounts for the end of the prefill of @p attempt; returns the tokens that were estimated to remain.
    double handlePrefilled(const Attempt &attempt);
    /// Removes an attempt from the queue and from the accounts of the engine's work.
    void remove(const AttemptId &attempt);
    /// Updates the estimate of the engine's prefill progress to @p now; returns the estimated number of tokens
    /// prefilled since the last call.
    double advance(const EngineRates &rates, TimePoint now);
    /// Returns the priority that @p attempt should have on the engine; larger values run first.
    [[nodiscard]] int priorityOf(const Attempt &attempt, const EngineRates &rates, TimePoint now) const;
    /// Recomputes the priorities of the attempts in the engine, stores them, and returns those that have changed.
    [[nodiscard]] std::vector<PriorityChange>
    reprioritise(AttemptTable &attempts, const EngineRates &rates, TimePoint now);
    /// Estimated time to complete @p attempt if it had the engine for itself.
    [[nodiscard]] Duration remainingWork(const Attempt &attempt, const EngineRates &rates) const;

    /// Estimated prefill progress of the attempts in the engine.
    [[nodiscard]] const EngineProgress &progress() const;
    [[nodiscard]] const FairQueue &queue() const;
    /// Number of attempts in the engine.
    [[nodiscard]] std::size_t running() const;
    /// Maximum KV memory that one attempt of @p priorityClass can reserve.
    [[nodiscard]] Tokens maxAttemptMemory(PriorityClass priorityClass) const;
    /// Sets the amount of memory that is kept free for the group reservation at the head of the wait queue.
    void setGroupReserve(Tokens amount);

private:
    /// Tells the queue which classes have prompts in prefill on the engine.
    void updateInService();
    /// Returns whether a queued attempt may be submitted to the engine now.
    [[nodiscard]] bool fits(const QueuedAttempt &queued, AttemptTable &attempts, const EngineRates &rates);
    [[nodiscard]] bool memoryFits(PriorityClass priorityClass, Tokens amount) const;

    EngineScheduleSettings m_settings;
    MemoryAccount &m_memory;
    FairQueue m_queue;
    PriorityPolicy m_priorities;
    EngineProgress m_progress;
    /// Attempts in the engine, with their share of `m_shortMemory`: zero for long and huge prompts.
    std::map<AttemptId, Tokens> m_running;
    /// KV memory of the short and medium prompts in the engine.
    Tokens m_shortMemory;
    /// True while a long or huge prompt at the head of its queue waits for memory.
    bool m_longBlocked = false;
    /// Memory that is kept free for a waiting group reservation.
    Tokens m_groupReserve;
};

} // namespace ibismast
