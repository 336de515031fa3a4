#pragma once

#include "ibismast/core/priorityclass.h"
#include "ibismast/core/result.h"

namespace ibismast
{

/// Settings of a `PriorityPolicy`.
struct PriorityPolicySettings
{
    /// An attempt is urgent once its remaining time is below this multiple of its remaining work.
    double urgencyFactor = 2.0;
    /// Long urgent prompts hold the top priority during every second slice of this length, so that short prompts keep
    /// at least half of the engine's steps.
    Duration urgentSlice {100'000};
    /// False to never raise an attempt. Only measurements turn this off.
    bool ageing = true;
    /// False to give all classes the same priority. Only measurements turn this off.
    bool separateClasses = true;

    /// Names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Priorities with which attempts run on the engine.
class PriorityPolicy
{
public:
    explicit PriorityPolicy(const PriorityPolicySettings &settings);

    /// Returns the time from which an attempt with @p remainingWork before @p deadline is urgent.
    [[nodiscard]] TimePoint urgentAt(TimePoint deadline, Duration remainingWork) const;
    /// Returns the engine priority of an attempt at @p now; larger values run first.
    [[nodiscard]] int priority(PriorityClass priorityClass, bool urgent, TimePoint now) const;

private:
    PriorityPolicySettings m_settings;
};

} // namespace ibismast
