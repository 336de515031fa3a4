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
    /// Models that the engine is assumed to serve until it reports its own; empty for an agent without an engine.
    std::vector<ModelName> models;
    /// Plain services of the agent's upstream.
    std::vector<ServiceName> services;
    /// KV memory that the engine is assumed to have until it reports its own.
    Tokens memoryCapacity {400'000};
    EngineScheduleSettings schedule;
    AdmissionSettings admission;
    CapacityEstimatorSettings capacity;
    /// Interval between heartbeats to each known peer.
    Duration heartbeatInterval {1'000'000};
    /// Time without frames after which a peer is considered lost; its attempts and reservations are then cancelled.
    Duration peerTimeout {5'000'000};
    /// Time without frames after which a peer is considered lost if its connection has ended.
    Duration disconnectGrace {2'000'000};
    /// Interval at which the agent requests the list of attempts that the engine holds and compares it with its own.
    Duration heldInterval {2'000'000};
    /// Time after which an unconfirmed cancel is sent to the engine again.
    Duration cancelRetry {1'000'000};
    /// Interval at which the priorities of running attempts are recomputed.
    Duration priorityInterval {100'000};
    /// Time for which the records of ended and cancelled attempts are kept. Must be longer than any message can be
    /// delayed, otherwise a late dispatch would run an attempt again.
    Duration recordLifetime {900'000'000};
    /// Maximum time for which a group reservation waits for memory.
    Duration reservationWait {2'000'000};
    /// Time after which an order that the engine has not answered is reported with an unknown outcome.
    Duration orderTimeout {60'000'000};
    /// Time after a gap in the engine's cache events for which older cached prefixes are still assumed to be cached.
    Duration prefixDoubtLifetime {10'000'000};
    /// Maximum number of prefix blocks that the agent tracks.
    std::size_t maxPrefixBlocks = 65'536;
    OperationTableSettings operations;
    /// Maximum number of peer summaries in a heartbeat.
    std::size_t maxHeartbeatPeers = 8;
    /// Maximum number of cached prefixes in a load report.
    std::size_t maxReportedPrefixes = 256;

    /// Returns `ResultCode::SettingsInvalid` with the name of the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

} // namespace ibismast
