#pragma once

#include "ibismast/core/units.h"

#include <array>
#include <cstddef>

namespace ibismast
{

/// Settings of a `RetryBudget`.
struct RetryBudgetSettings
{
    /// Retries allowed for each request of the last ten seconds.
    double ratio = 0.1;
    /// Retries allowed in ten seconds whatever the number of requests, so that a lone request may be retried.
    double minimum = 3.0;
};

/// Bounds retries to a share of the requests of the last ten seconds, so that retries cannot multiply an overload.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /// Replaces the limits; what was counted stays.
    void setSettings(const RetryBudgetSettings &settings)
    {
        m_settings = settings;
    }
    void noteRequest(TimePoint now);
    /// Takes one retry from the budget; returns false and takes nothing if it is used up.
    [[nodiscard]] bool take(TimePoint now);

private:
    struct Slot
    {
        std::int64_t second = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };
    static constexpr std::size_t SlotCount = 10;

    Slot &slotAt(TimePoint now);

    RetryBudgetSettings m_settings;
    std::array<Slot, SlotCount> m_slots {};
};

} // namespace ibismast
