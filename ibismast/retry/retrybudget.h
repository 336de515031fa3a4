#pragma once

#include "ibismast/core/units.h"

#include <array>
#include <cstddef>

namespace ibismast
{

/// Settings of a `RetryBudget`.
struct RetryBudgetSettings
{
    /// Number of retries allowed for each request of the last ten seconds.
    double ratio = 0.1;
    /// Number of retries allowed in ten seconds in addition, whatever the number of requests, so that requests can be
    /// retried at a low request rate too.
    double minimum = 3.0;
};

/// Limits retries to a fraction of the requests of the last ten seconds, so that retries cannot amplify an overload.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /// Replaces the limits. The counts of requests and retries are kept.
    void setSettings(const RetryBudgetSettings &settings)
    {
        m_settings = settings;
    }
    void noteRequest(TimePoint now);
    /// Takes one retry from the budget. Returns false and takes nothing if the budget is used up.
    [[nodiscard]] bool take(TimePoint now);

private:
    /// Counts of one second.
    struct Slot
    {
        /// Second on the clock of `TimePoint`, -1 if the slot is unused.
        std::int64_t second = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };
    /// One slot for each second of the ten-second window.
    static constexpr std::size_t SlotCount = 10;

    /// Returns the slot for the second of @p now; clears it if it holds counts of an earlier second.
    Slot &slotAt(TimePoint now);

    RetryBudgetSettings m_settings;
    std::array<Slot, SlotCount> m_slots {};
};

} // namespace ibismast
