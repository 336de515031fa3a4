#include "UnitTests/harness/fleetprivate.h"

#include "UnitTests/harness/variantname.h"

#include <algorithm>

namespace ibismast::harness
{

namespace
{

/// Time between a message and each further copy of it; other messages arrive in between.
constexpr Duration CopyInterval = std::chrono::milliseconds(20);

} // namespace

void Fleet::Private::connect(const InstanceId &entry, const InstanceId &agent)
{
    Link &link = m_links[{entry, agent}];
    if (link.up || !m_entries.at(entry).core || !m_agents.at(agent).core) {
        return;
    }
    link.up = true;
    ++link.epoch;
    EntryActions actions;
    m_entries.at(entry).core->peerConnected(agent, m_now, actions);
    carryOut(entry, actions);
}

void Fleet::Private::disconnect(const InstanceId &entry, const InstanceId &agent)
{
    Link &link = m_links[{entry, agent}];
    if (!link.up) {
        return;
    }
    link.up = false;
    ++link.epoch;
    if (m_entries.at(entry).core) {
        EntryActions actions;
        m_entries.at(entry).core->peerDisconnected(agent, m_now, actions);
        carryOut(entry, actions);
    }
    if (m_agents.at(agent).core) {
        AgentActions actions;
        m_agents.at(agent).core->peerDisconnected(entry, m_now, actions);
        carryOut(agent, actions);
    }
}

void Fleet::Private::cutLink(const InstanceId &entry, const InstanceId &agent, Duration time)
{
    disconnect(entry, agent);
    at(m_now + time, [this, entry, agent] {
        connect(entry, agent);
    });
}

void Fleet::Private::send(const InstanceId &entry, const InstanceId &agent, bool toAgent, const PeerMessage &message)
{
    Link &link = m_links[{entry, agent}];
    if (!link.up) {
        return;
    }
    const PeerSummary &sender = toAgent ? m_entries.at(entry).self : m_agents.at(agent).self;
    PeerFrame frame {sender.instance, sender.incarnation, Revision(1), message};
    const char *interface = toAgent ? "entry>agent " : "agent>entry ";
    const int epoch = link.epoch;
    const Fate fate = takeStep(interface + std::string(alternativeName(message)), entry, agent);
    if (!link.up || link.epoch != epoch) {
        return;
    }
    // A connection keeps the order; only a fault that delays a message lets others overtake it.
    TimePoint &busyUntil = toAgent ? link.toAgentBusyUntil : link.toEntryBusyUntil;
    TimePoint arrival = std::max(busyUntil, m_now + m_settings.latency);
    busyUntil = arrival;
    arrival += fate.delay;
    if (fate.crossed && !toAgent) {
        crossToOtherEntries(entry, agent, frame);
    }
    if (fate.deliver) {
        at(arrival, [this, entry, agent, toAgent, epoch, frame] {
            receive(entry, agent, toAgent, epoch, frame);
        });
    }
    for (int copy = 1; copy <= fate.copies; ++copy) {
        at(arrival + CopyInterval * copy, [this, entry, agent, toAgent, epoch, frame] {
            receive(entry, agent, toAgent, epoch, frame);
        });
    }
}

void Fleet::Private::crossToOtherEntries(const InstanceId &entry, const InstanceId &agent, const PeerFrame &frame)
{
    for (const auto &[other, node] : m_entries) {
        if (other != entry) {
            const int epoch = m_links[{other, agent}].epoch;
            at(m_now + m_settings.latency, [this, other = other, agent, epoch, frame] {
                receive(other, agent, false, epoch, frame);
            });
        }
    }
}

void Fleet::Private::receive(
    const InstanceId &entry, const InstanceId &agent, bool toAgent, int epoch, const PeerFrame &frame)
{
    const Link &link = m_links[{entry, agent}];
    if (!link.up || link.epoch != epoch) {
        return;
    }
    const TimePoint frozenUntil = toAgent ? m_agents.at(agent).frozenUntil : m_entries.at(entry).frozenUntil;
    if (frozenUntil > m_now) {
        at(frozenUntil, [=, this] {
            receive(entry, agent, toAgent, epoch, frame);
        });
        return;
    }
    if (toAgent && m_agents.at(agent).core) {
        AgentActions actions;
        m_agents.at(agent).core->handlePeer(frame, m_now, actions);
        carryOut(agent, actions);
    } else if (!toAgent && m_entries.at(entry).core) {
        EntryActions actions;
        m_entries.at(entry).core->handlePeer(frame, m_now, actions);
        carryOut(entry, actions);
    }
}

} // namespace ibismast::harness
