#include "UnitTests/harness/fleetprivate.h"

#include <algorithm>

namespace ibismast::harness
{

void Fleet::Private::start()
{
    for (int i = 0; i < m_settings.entries; ++i) {
        EntryNode &node = m_entries[InstanceId("entry-" + std::to_string(i))];
        node.self.instance = InstanceId("entry-" + std::to_string(i));
        node.self.role = InstanceRole::Entry;
        node.self.domain = FailureDomain("domain-" + std::to_string(i % 3));
        startEntry(node);
    }
    const int agents = m_settings.engineAgents + m_settings.serviceAgents;
    for (int i = 0; i < agents; ++i) {
        AgentNode &node = m_agents[InstanceId("agent-" + std::to_string(i))];
        node.self.instance = InstanceId("agent-" + std::to_string(i));
        node.self.role = InstanceRole::Agent;
        node.self.domain = FailureDomain("domain-" + std::to_string(i % 3));
        if (i < m_settings.engineAgents) {
            EngineModelSettings engine = m_settings.engine;
            engine.name = node.self.instance.value();
            node.engine = std::make_unique<EngineModel>(engine, m_random.next());
            node.engine->setSegmentSource([this](const std::string &handle) {
                return findSegment(handle);
            });
        } else {
            node.service = std::make_unique<FakeService>();
        }
        startAgent(node);
    }
    for (auto &[entry, entryNode] : m_entries) {
        for (auto &[agent, agentNode] : m_agents) {
            connect(entry, agent);
        }
    }
}

void Fleet::Private::startEntry(EntryNode &node)
{
    ++node.starts;
    node.self.incarnation = Incarnation(static_cast<std::uint64_t>(node.starts) * 1'000 + nodeNumber(node.self));
    node.core = std::make_unique<EntryCore>(m_settings.entry, node.self, m_random.next(), nullptr);
}

void Fleet::Private::startAgent(AgentNode &node)
{
    ++node.starts;
    node.self.incarnation = Incarnation(static_cast<std::uint64_t>(node.starts) * 1'000 + nodeNumber(node.self));
    AgentCoreSettings settings = m_settings.agent;
    if (node.service) {
        settings.models.clear();
        settings.services = {ServiceName("orders")};
    } else {
        settings.models = {ModelName("model")};
        settings.memoryCapacity = m_settings.engine.memoryCapacity;
    }
    node.core = std::make_unique<AgentCore>(settings, node.self, m_random.next(), nullptr);
    if (node.engine && node.engineUp) {
        engineEvents(node, {EngineUp {}});
    }
}

void Fleet::Private::killEntry(const InstanceId &entry, Duration downFor)
{
    EntryNode &node = m_entries.at(entry);
    if (!node.core) {
        return;
    }
    node.core.reset();
    for (CallerRecord &caller : m_callers) {
        if (caller.entry == entry && caller.ending == Ending::Open) {
            caller.ending = Ending::ConnectionLost;
            caller.ended = m_now;
        }
    }
    for (auto &[agent, unused] : m_agents) {
        disconnect(entry, agent);
    }
    at(m_now + downFor, [this, entry] {
        startEntry(m_entries.at(entry));
        for (auto &[agent, unused] : m_agents) {
            connect(entry, agent);
        }
    });
}

void Fleet::Private::killAgent(const InstanceId &agent, Duration downFor)
{
    AgentNode &node = m_agents.at(agent);
    if (!node.core) {
        return;
    }
    node.core.reset();
    for (auto &[entry, unused] : m_entries) {
        disconnect(entry, agent);
    }
    at(m_now + downFor, [this, agent] {
        startAgent(m_agents.at(agent));
        m_leaving.erase(agent);
        for (auto &[entry, unused] : m_entries) {
            connect(entry, agent);
        }
    });
}

void Fleet::Private::killEngine(const InstanceId &agent, Duration downFor)
{
    AgentNode &node = m_agents.at(agent);
    if (!node.engine || !node.engineUp) {
        return;
    }
    node.engineUp = false;
    EngineEvents events;
    node.engine->die(events);
    deliverEngineEvents(agent, events);
    at(m_now + downFor, [this, agent] {
        AgentNode &later = m_agents.at(agent);
        later.engineUp = true;
        EngineEvents restarted;
        later.engine->restart(m_now, restarted);
        deliverEngineEvents(agent, restarted);
    });
}

void Fleet::Private::freeze(const InstanceId &instance, Duration time)
{
    TimePoint &until =
        m_entries.contains(instance) ? m_entries.at(instance).frozenUntil : m_agents.at(instance).frozenUntil;
    until = std::max(until, m_now + time);
}

void Fleet::Private::drainAgent(const InstanceId &agent, Duration listLag)
{
    AgentNode &node = m_agents.at(agent);
    if (!node.core) {
        return;
    }
    m_leaving.emplace(agent, m_now);
    AgentActions actions;
    node.core->beginShutdown(m_now, actions);
    carryOut(agent, actions);
    at(m_now + listLag, [this, agent] {
        for (auto &[entry, entryNode] : m_entries) {
            if (entryNode.core) {
                EntryActions told;
                entryNode.core->instanceLeaving(agent, m_now, told);
                carryOut(entry, told);
            }
        }
    });
}

void Fleet::Private::drainEntry(const InstanceId &entry)
{
    EntryNode &node = m_entries.at(entry);
    if (node.core) {
        EntryActions actions;
        node.core->beginShutdown(m_now, actions);
        carryOut(entry, actions);
    }
}

std::uint64_t Fleet::Private::nodeNumber(const PeerSummary &self)
{
    return static_cast<std::uint64_t>(self.instance.value().back() - '0')
        + (self.role == InstanceRole::Agent ? 100U : 1U);
}

} // namespace ibismast::harness
