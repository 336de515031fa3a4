#pragma once

#include "ibismast/scheduling/fairqueuesettings.h"
#include "ibismast/scheduling/prioritypolicy.h"

namespace ibismast
{

/// Settings of an `EngineSchedule`.
struct EngineScheduleSettings
{
    FairQueueSettings queue;
    PriorityPolicySettings priorities;
    /// Maximum prefill work of one class in the engine at once, as time at the measured prefill rate. With smaller
    /// values the queue decides more of the execution order; larger values keep the engine busy despite longer delays
    /// between agent and engine.
    Duration prefillWindow {100'000};
    /// Maximum lead of a class over its fair share (`FairQueue::lead`), as time at the measured prefill rate. No
    /// attempts of a class with a larger lead are submitted while the engine has enough work.
    Duration classLead {250'000};
    /// Maximum number of attempts in the engine.
    std::size_t maxRunning = 200;
    /// Fraction of the KV memory that long and huge prompts must leave free for short and medium ones.
    double shortMemoryReserve = 0.15;
    /// Fraction of the KV memory that medium prompts must leave free for short ones.
    double shortestMemoryReserve = 0.05;
    /// Maximum fraction of the KV memory that short and medium prompts together may use while a long or huge prompt
    /// waits for memory.
    double shortMemoryLimit = 0.5;

    /// Returns `ResultCode::SettingsInvalid` with the name of the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

} // namespace ibismast
