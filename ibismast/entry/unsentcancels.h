#pragma once

#include "ibismast/entry/entryactions.h"

#include <map>

namespace ibismast
{

/// Cancellations of attempts that were lost with the connection to their agent. They are sent when the connection is
/// established again.
class UnsentCancels
{
public:
    /// The cancellation is not sent after @p deadline, at which the attempt ends in any case.
    void add(const InstanceId &agent, const AttemptId &attempt, TimePoint deadline);
    /// Sends and removes all cancellations for @p agent.
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
