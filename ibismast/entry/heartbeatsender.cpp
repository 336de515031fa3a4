#include "ibismast/entry/heartbeatsender.h"

namespace ibismast
{

namespace
{

// Factor of the heartbeat interval for idle agents outside the subset. They only need to know that this entry exists,
// in case the subset changes.
constexpr int OutsideSubsetFactor = 10;

} // namespace

HeartbeatSender::HeartbeatSender(EntryContext &context) : m_context(context) { }

void HeartbeatSender::send(const std::set<InstanceId> &active, TimePoint now, EntryActions &out)
{
    for (auto &[id, agent] : m_context.upstreams.all()) {
        if (!agent.connected || now < agent.nextHeartbeat) {
            continue;
        }
        const Duration pause = interval(agent, active);
        agent.nextHeartbeat = now + pause * 9 / 10 + fromSeconds(toSeconds(pause) * 0.2 * m_context.random.uniform());
        out.emplace_back(SendToPeer {id, Heartbeat {m_context.self, std::nullopt, {}}});
    }
}

void HeartbeatSender::sendNow(Upstream &agent, TimePoint now, EntryActions &out)
{
    agent.nextHeartbeat = now + m_context.settings.heartbeatInterval;
    out.emplace_back(SendToPeer {agent.id, Heartbeat {m_context.self, std::nullopt, {}}});
}

void HeartbeatSender::makeAllDue()
{
    for (auto &[id, agent] : m_context.upstreams.all()) {
        agent.nextHeartbeat = TimePoint::min();
    }
}

Duration HeartbeatSender::interval(const Upstream &agent, const std::set<InstanceId> &active) const
{
    // Agents that are not routable yet, or are suspected, need regular heartbeats too: they answer only to entries from
    // which they receive heartbeats.
    const bool frequent = !agent.routable || active.contains(agent.id) || m_context.upstreams.isInSubset(agent);
    return m_context.settings.heartbeatInterval * (frequent ? 1 : OutsideSubsetFactor);
}

} // namespace ibismast
