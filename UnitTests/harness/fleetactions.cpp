#include "UnitTests/harness/fleetprivate.h"

#include "UnitTests/harness/variantname.h"

#include <algorithm>

namespace ibismast::harness
{

void Fleet::Private::carryOut(const InstanceId &entry, const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        std::visit(Overloaded {
                       [&](const SendToPeer &send) {
                           this->send(entry, send.receiver, true, send.message);
                       },
                       [&](const StoreCall &call) {
                           storeCall(entry, call);
                       },
                       [&](const DeliverTokens &tokens) {
                           deliver(tokens);
                       },
                       [&](const DeliverEnd &end) {
                           if (CallerRecord *caller = finish(entry, end.request, Ending::Answer)) {
                               caller->reportedTokens = end.outputTokens;
                           }
                       },
                       [&](const DeliverFailure &failure) {
                           deliver(entry, failure);
                       },
                       [&](const DeliverServiceReply &reply) {
                           if (CallerRecord *caller = finish(entry, reply.request, Ending::ServiceReply)) {
                               caller->reply = *reply.body;
                           }
                       },
                       [&](const DeliverOperationId &issued) {
                           issue(issued);
                       },
                   },
                   action);
    }
}

void Fleet::Private::carryOut(const InstanceId &agent, const AgentActions &actions)
{
    for (const AgentAction &action : actions) {
        std::visit(Overloaded {
                       [&](const SendToPeer &send) {
                           sendFromAgent(agent, send);
                       },
                       [&](const EngineCommand &command) {
                           engineCommand(agent, command);
                       },
                       [&](const ServiceInvoke &call) {
                           serviceCall(agent, call);
                       },
                   },
                   action);
    }
}

void Fleet::Private::sendFromAgent(const InstanceId &agent, const SendToPeer &send)
{
    if (std::holds_alternative<DispatchAccepted>(send.message)) {
        m_starts.emplace_back(agent, m_now);
    }
    if (m_entries.contains(send.receiver)) {
        this->send(send.receiver, agent, false, send.message);
    }
}

void Fleet::Private::engineCommand(const InstanceId &agent, const EngineCommand &command)
{
    const Fate fate = takeStep("agent>engine " + std::string(alternativeName(command)), {}, agent);
    AgentNode &node = m_agents.at(agent);
    if (!fate.deliver || !node.engine) {
        return;
    }
    if (const auto *submit = std::get_if<EngineSubmit>(&command); submit && node.engineUp) {
        m_startedRequests.insert(submit->attempt.request);
    }
    EngineEvents events;
    node.engine->handle(command, m_now, events);
    deliverEngineEvents(agent, events);
}

void Fleet::Private::deliverEngineEvents(const InstanceId &agent, const EngineEvents &events)
{
    for (const EngineEvent &event : events) {
        const Fate fate = takeStep("engine>agent " + std::string(alternativeName(event)), {}, agent);
        if (!fate.deliver) {
            continue;
        }
        at(m_now + fate.delay, [this, agent, event] {
            engineEvent(agent, event);
        });
    }
}

void Fleet::Private::engineEvent(const InstanceId &agent, const EngineEvent &event)
{
    AgentNode &node = m_agents.at(agent);
    if (node.frozenUntil > m_now) {
        at(node.frozenUntil, [this, agent, event] {
            engineEvent(agent, event);
        });
        return;
    }
    if (node.core) {
        engineEvents(node, {event});
    }
}

void Fleet::Private::engineEvents(AgentNode &node, const EngineEvents &events)
{
    for (const EngineEvent &event : events) {
        AgentActions actions;
        node.core->handleEngine(event, m_now, actions);
        carryOut(node.self.instance, actions);
    }
}

void Fleet::Private::serviceCall(const InstanceId &agent, const ServiceInvoke &call)
{
    const Fate fate = takeStep("agent>service ServiceInvoke", {}, agent);
    if (!fate.deliver) {
        serviceEvent(agent, ServiceFailure {call.operation, {ResultCode::ServiceFailed, "lost", {}}, true});
        return;
    }
    const int starts = m_agents.at(agent).starts;
    at(m_now + m_settings.serviceTime + fate.delay, [this, agent, call, starts] {
        const ServiceEvent reply = m_agents.at(agent).service->run(call);
        const Fate fate = takeStep("service>agent ServiceReply", {}, agent);
        if (m_agents.at(agent).starts == starts) {
            serviceEvent(agent,
                         fate.deliver ? reply
                                      : ServiceFailure {call.operation, {ResultCode::ServiceFailed, "lost", {}}, true});
        }
    });
}

void Fleet::Private::serviceEvent(const InstanceId &agent, const ServiceEvent &event)
{
    at(std::max(m_now, m_agents.at(agent).frozenUntil), [this, agent, event] {
        AgentNode &node = m_agents.at(agent);
        if (node.core) {
            AgentActions actions;
            node.core->handleService(event, m_now, actions);
            carryOut(agent, actions);
        }
    });
}

void Fleet::Private::storeCall(const InstanceId &entry, const StoreCall &call)
{
    const Fate fate = takeStep("entry>store " + std::string(alternativeName(call.operation)), entry, {});
    // The store is shared; the ids of two entries may be equal.
    const StoreCallId id(m_nextStoreCall++);
    m_storeCalls[id] = {entry, call.id, m_entries.at(entry).starts};
    if (fate.deliver) {
        m_store.submit(StoreCall {id, call.operation}, m_now);
    } else {
        at(m_now, [this, id] {
            storeAnswer(StoreAnswer {id, StoreFailure {"lost", true}});
        });
    }
}

void Fleet::Private::storeAnswer(const StoreAnswer &answer)
{
    const auto call = m_storeCalls.find(answer.id);
    if (call == m_storeCalls.end()) {
        return;
    }
    const auto [entry, id, starts] = call->second;
    takeStep("store>entry " + std::string(alternativeName(answer.outcome)), entry, {});
    EntryNode &node = m_entries.at(entry);
    if (!node.core || node.starts != starts) {
        return;
    }
    if (node.frozenUntil > m_now) {
        at(node.frozenUntil, [this, answer] {
            storeAnswer(answer);
        });
        return;
    }
    EntryActions actions;
    node.core->handleStore(StoreAnswer {id, answer.outcome}, m_now, actions);
    carryOut(entry, actions);
}

std::optional<KvSegment> Fleet::Private::findSegment(const std::string &handle) const
{
    for (const auto &[agent, node] : m_agents) {
        if (node.engine && node.engineUp) {
            if (auto segment = node.engine->exportedSegment(handle)) {
                return segment;
            }
        }
    }
    return std::nullopt;
}

Fate Fleet::Private::takeStep(const std::string &label, const InstanceId &entry, const InstanceId &agent)
{
    return m_hook ? m_hook(Step {label, entry, agent}) : Fate {};
}

} // namespace ibismast::harness
