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
    /// Prefill work of one class that may be in the engine at once, as time at the measured rate. Smaller values leave
    /// the order to the queue, larger ones bridge longer delays between agent and engine.
    Duration prefillWindow {100'000};
    /// Service per share, as time at the measured rate, by which a class may be ahead of its share.
    Duration classLead {250'000};
    /// Largest number of attempts in the engine.
    std::size_t maxRunning = 200;
    /// Fraction of the KV memory that long and huge prompts leave to shorter ones.
    double shortMemoryReserve = 0.15;
    /// Fraction of the KV memory that medium prompts leave to short ones.
    double shortestMemoryReserve = 0.05;
    /// Largest fraction of the KV memory that short and medium prompts use while a longer prompt waits for memory.
    double shortMemoryLimit = 0.5;

    /// Names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

} // namespace ibismast
