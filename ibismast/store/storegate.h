#pragma once

#include "ibismast/store/keyvaluestore.h"
#include "ibismast/store/storebudget.h"

#include <deque>
#include <map>

namespace ibismast
{

/// Settings of `StoreGate`.
struct StoreGateSettings
{
    StoreBudgetSettings budget;
    /// Longest time that a call may wait in the queue, and longest time that a sent call may remain unanswered; the
    /// call is then reported as failed. A watch has no time limit once it has been sent.
    Duration callTimeout = std::chrono::seconds(2);
    /// Maximum number of queued calls; further ones are rejected and reported as failed by the next `tick`.
    std::size_t longestQueue = 1'000;

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Queues the store calls of all state machines of a process, releases them in order within the limits of a
/// `StoreBudget`, and reports a call as failed if it is not answered in time.
class StoreGate
{
public:
    StoreGate(const StoreGateSettings &settings, std::uint64_t seed);

    /// Queues @p call, or rejects it if the queue is full; the next `tick` reports the rejection.
    void submit(StoreCall call, TimePoint now);
    /// Records an answer from the store. Returns false if the answer must be discarded because its call is not pending:
    /// it was already answered or reported as failed, or its watch has ended or was cancelled.
    [[nodiscard]] bool accept(const StoreAnswer &answer, TimePoint now);
    /// Appends the calls to send now to @p out, and the failures of calls that timed out or were rejected to
    /// @p failures.
    void tick(TimePoint now, StoreCalls &out, StoreAnswers &failures);
    /// Returns the time at which `tick` must be called next, or nothing if no call is queued, pending or rejected.
    [[nodiscard]] std::optional<TimePoint> nextTick(TimePoint now);
    /// Returns true from a failed call until the next answered one.
    [[nodiscard]] bool suspectsOutage() const;

private:
    struct Waiting
    {
        StoreCall call;
        TimePoint queuedAt {};
    };

    StoreGateSettings m_settings;
    StoreBudget m_budget;
    std::deque<Waiting> m_waiting;
    /// Deadlines of the calls that were sent and are not yet answered, except watches and their cancellations.
    std::map<StoreCallId, TimePoint> m_pending;
    /// Active watches. The value is always true.
    std::map<StoreCallId, bool> m_watches;
    /// Failures of rejected calls, to be reported by the next `tick`.
    StoreAnswers m_rejected;
};

} // namespace ibismast
