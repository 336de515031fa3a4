#pragma once

#include "ibismast/entry/entrycontext.h"

#include <set>

namespace ibismast
{

/// Sends heartbeats to the agents that this entry works with.
class HeartbeatSender
{
public:
    explicit HeartbeatSender(EntryContext &context);

    /// Sends what is due. Agents in @p active hold work of this entry.
    void send(const std::set<InstanceId> &active, TimePoint now, EntryActions &out);
    /// Sends a heartbeat to @p agent at once.
    void sendNow(Upstream &agent, TimePoint now, EntryActions &out);
    /// The next `send` sends to all.
    void announce();

private:
    /// Returns the time between heartbeats to @p agent.
    [[nodiscard]] Duration interval(const Upstream &agent, const std::set<InstanceId> &active) const;

    EntryContext &m_context;
};

} // namespace ibismast
