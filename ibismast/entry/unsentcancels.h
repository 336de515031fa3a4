#pragma once

#include "ibismast/entry/entryactions.h"

#include <map>

namespace ibismast
{

/// Attempts whose agents were unreachable when they had to be cancelled. The cancellations are sent when the agent is
/// reachable again.
class UnsentCancels
{
public:
    /// @p deadline ends the attempt in any case.
    void add(const InstanceId &agent, const AttemptId &attempt, TimePoint deadline);
    /// Sends what is kept for @p agent.
    void send(const InstanceId &agent, TimePoint now, EntryActions &out);

private:
    struct Cancel
    {
        AttemptId attempt;
        TimePoint deadline;
    };

    std::map<InstanceId, std::vector<Cancel>> m_cancels;
};

} // namespace ibismast
