#pragma once

#include "ibismast/core/priorityclass.h"
#include "ibismast/core/result.h"

namespace ibismast
{

/// Settings of a `PriorityPolicy`.
struct PriorityPolicySettings
{
    /// An attempt becomes urgent when the time left until its deadline falls to this multiple of its remaining run
    /// time.
    double urgencyFactor = 2.0;
    /// Urgent prompts of the classes long and huge have the top priority only in every second time slice of this
    /// length, so that shorter prompts keep at least half of the engine's steps.
    Duration urgentSlice {100'000};
    /// False to never make an attempt urgent; disabled only in benchmarks.
    bool ageing = true;
    /// False to give all classes the same priority; disabled only in benchmarks.
    bool separateClasses = true;

    /// Returns an error that names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Computes the priority with which an attempt runs on the engine: shorter classes first, urgent attempts before all
/// others.
class PriorityPolicy
{
public:
    explicit PriorityPolicy(const PriorityPolicySettings &settings);

    /// Returns the time from which an attempt is urgent if it needs @p remainingWork of run time before @p deadline.
    [[nodiscard]] TimePoint urgentAt(TimePoint deadline, Duration remainingWork) const;
    /// Returns the engine priority of an attempt at @p now; larger values run first.
    [[nodiscard]] int priority(PriorityClass priorityClass, bool urgent, TimePoint now) const;

private:
    PriorityPolicySettings m_settings;
};

} // namespace ibismast
