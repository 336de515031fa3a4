#pragma once

#include "ibismast/core/messages.h"

namespace ibismast
{

/// State of one upstream and its agent as known to this entry.
struct Upstream
{
    InstanceId id;
    Incarnation incarnation;
    FailureDomain domain;
    InstanceState state = InstanceState::Starting;
    /// True while the connection to the agent is usable. Cleared on disconnection and when the agent counts as lost.
    bool connected = false;
    /// True from the time when messages of the agent are overdue until the next one arrives.
    bool suspected = false;
    /// True once the current incarnation was reported as leaving; it stays true until the agent restarts.
    bool leaving = false;
    /// True while the upstream can get new work and takes part in the subset selection.
    bool routable = false;
    LoadReport load;
    /// Time of the last message of the agent, or of the last change of the connection.
    TimePoint lastHeartbeat;
    /// Time at which this entry sends its next heartbeat to the agent.
    TimePoint nextHeartbeat = TimePoint::min();
    /// Work dispatched by this entry, by class, that the agent has neither accepted nor refused yet.
    PerClass<Tokens> unacknowledged {};
    /// Work dispatched by this entry, by class, that the agent has accepted since its last load report.
    PerClass<Tokens> acknowledged {};
    /// Number of calls of plain services from this entry that are not answered yet.
    std::int64_t openCalls = 0;

    /// Outstanding work in tokens: what the agent has reported, plus what this entry has dispatched since that report.
    [[nodiscard]] Tokens outstanding(PriorityClass priorityClass) const
    {
        const std::size_t index = classIndex(priorityClass);
        return load.outstanding[index] + unacknowledged[index] + acknowledged[index];
    }
};

} // namespace ibismast
