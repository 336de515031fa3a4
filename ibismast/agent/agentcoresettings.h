#pragma once

#include "ibismast/admission/admissioncontroller.h"
#include "ibismast/agent/engineschedulesettings.h"
#include "ibismast/core/messages.h"
#include "ibismast/operations/operationtable.h"

namespace ibismast
{

/// Settings of an `AgentCore`.
struct AgentCoreSettings
{
    /// Models of the engine until it reports its own; empty for an agent beside a plain service.
    std::vector<ModelName> models;
    /// Plain services beside the agent.
    std::vector<ServiceName> services;
    /// KV memory until the engine reports it.
    Tokens memoryCapacity {400'000};
    EngineScheduleSettings schedule;
    AdmissionSettings admission;
    CapacityEstimatorSettings capacity;
    /// Interval of heartbeats to each known entry.
    Duration heartbeatInterval {1'000'000};
    /// Time without frames after which an entry counts as gone and its attempts are cancelled.
    Duration peerTimeout {5'000'000};
    /// The same after the end of the entry's connection.
    Duration disconnectGrace {2'000'000};
    /// Interval at which the list of attempts that the engine holds is compared with the agent's.
    Duration heldInterval {2'000'000};
    /// Time after which a cancel that the engine has not confirmed is sent again.
    Duration cancelRetry {1'000'000};
    /// Interval at which the priorities of running attempts are computed.
    Duration priorityInterval {100'000};
    /// Time for which ended attempts and tombstones are kept; longer than any message can be delayed.
    Duration recordLifetime {900'000'000};
    /// Longest time for which a group reservation waits for memory.
    Duration reservationWait {2'000'000};
    /// Time after which an order that the engine has not answered is reported as unknown.
    Duration orderTimeout {60'000'000};
    /// Time for which cached prefixes still count after a gap in the engine's cache events.
    Duration prefixDoubtLifetime {10'000'000};
    /// Largest number of prefix blocks that the agent remembers.
    std::size_t prefixBlocks = 65'536;
    OperationTableSettings operations;
    /// Largest number of instances that a heartbeat names.
    std::size_t peerSample = 8;
    /// Largest number of cached prefixes that a load report names.
    std::size_t prefixSample = 256;

    /// Names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

} // namespace ibismast
