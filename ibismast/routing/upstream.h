#pragma once

#include "ibismast/core/messages.h"

namespace ibismast
{

/// What this entry knows of one upstream and its agent.
struct Upstream
{
    InstanceId id;
    Incarnation incarnation;
    FailureDomain domain;
    InstanceState state = InstanceState::Starting;
    /// True while the connection to the agent is usable.
    bool connected = false;
    /// True while the agent's heartbeats are overdue.
    bool suspected = false;
    /// True from the first signal that the incarnation is leaving.
    bool leaving = false;
    /// True while the upstream is a member of the subset selection.
    bool routable = false;
    LoadReport load;
    TimePoint lastHeartbeat;
    /// When this entry sends its next heartbeat to the agent.
    TimePoint nextHeartbeat = TimePoint::min();
    /// Own dispatched work, by class, that the agent has not acknowledged.
    PerClass<Tokens> unacknowledged {};
    /// Own dispatched work, by class, acknowledged since the last load report.
    PerClass<Tokens> acknowledged {};
    /// Own calls of plain services without an answer.
    std::int64_t openCalls = 0;

    /// Tokens that the agent has reported plus own dispatches behind that report.
    [[nodiscard]] Tokens outstanding(PriorityClass priorityClass) const
    {
        const std::size_t index = classIndex(priorityClass);
        return load.outstanding[index] + unacknowledged[index] + acknowledged[index];
    }
};

} // namespace ibismast
