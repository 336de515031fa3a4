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
    /// Time after which an unanswered call is reported as failed. Watches have no limit.
    Duration callTimeout = std::chrono::seconds(2);
    /// Calls that may wait for a token; further ones fail at once.
    std::size_t longestQueue = 1'000;

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Passes the calls of all state machines of a process to the store within its `StoreBudget`, and turns a missing
/// answer into a failure.
class StoreGate
{
public:
    StoreGate(const StoreGateSettings &settings, std::uint64_t seed);

    /// Queues @p call.
    void submit(StoreCall call, TimePoint now);
    /// Filters an answer of the store; returns false if its call was already reported as failed.
    [[nodiscard]] bool accept(const StoreAnswer &answer, TimePoint now);
    /// Appends the calls to send now to @p out and the failures of calls that timed out to @p failures.
    void tick(TimePoint now, StoreCalls &out, StoreAnswers &failures);
    /// Returns the time of the next `tick` that can do something, if there is one.
    [[nodiscard]] std::optional<TimePoint> nextTick(TimePoint now);
    /// True while the store seems to be down.
    [[nodiscard]] bool suspectsOutage() const;

private:
    struct Waiting
    {
        StoreCall call;
        TimePoint since {};
    };

    StoreGateSettings m_settings;
    StoreBudget m_budget;
    std::deque<Waiting> m_waiting;
    std::map<StoreCallId, TimePoint> m_pending;
    std::map<StoreCallId, bool> m_watches;
    StoreAnswers m_rejected;
};

} // namespace ibismast
