#pragma once

#include "ibismast/entry/entrycontext.h"

#include <set>

namespace ibismast
{

/// Sends heartbeats to all connected agents, less often to agents that this entry does not work with.
class HeartbeatSender
{
public:
    explicit HeartbeatSender(EntryContext &context);

    /// Sends all heartbeats that are due. Agents in @p active hold work of this entry.
    void send(const std::set<InstanceId> &active, TimePoint now, EntryActions &out);
    /// Sends a heartbeat to @p agent immediately.
    void sendNow(Upstream &agent, TimePoint now, EntryActions &out);
    /// Makes the next `send` send a heartbeat to every connected agent.
    void makeAllDue();

private:
    /// Returns the time between heartbeats to @p agent, without jitter.
    [[nodiscard]] Duration interval(const Upstream &agent, const std::set<InstanceId> &active) const;

    EntryContext &m_context;
};

} // namespace ibismast
