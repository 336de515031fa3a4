#include "UnitTests/harness/fleet.h"

#include "UnitTests/harness/variantname.h"

#include <algorithm>
#include <cassert>

namespace ibismast::harness
{

namespace
{

/// Bytes of a prompt for each token, as callers' texts are counted.
constexpr std::size_t BytesPerToken = 4;

struct EntryNode
{
    PeerSummary self;
    std::unique_ptr<EntryCore> core;
    TimePoint frozenUntil;
    int starts = 0;
};

struct AgentNode
{
    PeerSummary self;
    std::unique_ptr<AgentCore> core;
    std::unique_ptr<EngineModel> engine;
    std::unique_ptr<FakeService> service;
    TimePoint frozenUntil;
    bool engineUp = true;
    int starts = 0;
};

struct Link
{
    bool up = false;
    /// Messages of an earlier connection are dropped.
    int epoch = 0;
    TimePoint toAgentBusyUntil;
    TimePoint toEntryBusyUntil;
};

} // namespace

class Fleet::Private
{
public:
    explicit Private(const FleetSettings &settings)
        : m_settings(settings), m_random(settings.seed), m_store(FakeStoreSettings {})
    {
    }

    void start()
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

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.emplace(std::max(time, m_now), std::move(action));
    }

    void runUntil(TimePoint end)
    {
        while (true) {
            const TimePoint next = std::min(nextTime(), end);
            m_now = next;
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                auto event = m_events.extract(m_events.begin());
                event.mapped()();
            }
            advanceOutside();
            if (m_now >= m_nextTick) {
                m_nextTick = m_now + m_settings.tickInterval;
                tickAll();
            }
            if (m_now >= end) {
                return;
            }
        }
    }

    // Processes

    void startEntry(EntryNode &node)
    {
        ++node.starts;
        node.self.incarnation = Incarnation(static_cast<std::uint64_t>(node.starts) * 1'000 + nodeNumber(node.self));
        node.core = std::make_unique<EntryCore>(m_settings.entry, node.self, m_random.next(), nullptr);
    }

    void startAgent(AgentNode &node)
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

    void killEntry(const InstanceId &entry, Duration downFor)
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

    void killAgent(const InstanceId &agent, Duration downFor)
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

    void killEngine(const InstanceId &agent, Duration downFor)
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

    void freeze(const InstanceId &instance, Duration time)
    {
        TimePoint &until =
            m_entries.contains(instance) ? m_entries.at(instance).frozenUntil : m_agents.at(instance).frozenUntil;
        until = std::max(until, m_now + time);
    }

    // Links

    void connect(const InstanceId &entry, const InstanceId &agent)
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

    void disconnect(const InstanceId &entry, const InstanceId &agent)
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

    void cutLink(const InstanceId &entry, const InstanceId &agent, Duration time)
    {
        disconnect(entry, agent);
        at(m_now + time, [this, entry, agent] {
            connect(entry, agent);
        });
    }

    void send(const InstanceId &entry, const InstanceId &agent, bool toAgent, const PeerMessage &message)
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
        const int deliveries = (fate.deliver ? 1 : 0) + fate.copies;
        for (int i = 0; i < deliveries; ++i) {
            at(arrival + fate.delay * i, [this, entry, agent, toAgent, epoch, frame] {
                receive(entry, agent, toAgent, epoch, frame);
            });
        }
    }

    void receive(const InstanceId &entry, const InstanceId &agent, bool toAgent, int epoch, const PeerFrame &frame)
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

    // Actions

    void carryOut(const InstanceId &entry, const EntryActions &actions)
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

    void carryOut(const InstanceId &agent, const AgentActions &actions)
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

    void sendFromAgent(const InstanceId &agent, const SendToPeer &send)
    {
        if (std::holds_alternative<DispatchAccepted>(send.message)) {
            m_starts.emplace_back(agent, m_now);
        }
        if (m_entries.contains(send.receiver)) {
            this->send(send.receiver, agent, false, send.message);
        }
    }

    void engineCommand(const InstanceId &agent, const EngineCommand &command)
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

    /// Passes events to the agent in a later turn, as a socket would.
    void deliverEngineEvents(const InstanceId &agent, const EngineEvents &events)
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

    void engineEvent(const InstanceId &agent, const EngineEvent &event)
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

    void engineEvents(AgentNode &node, const EngineEvents &events)
    {
        for (const EngineEvent &event : events) {
            AgentActions actions;
            node.core->handleEngine(event, m_now, actions);
            carryOut(node.self.instance, actions);
        }
    }

    void serviceCall(const InstanceId &agent, const ServiceInvoke &call)
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
                             fate.deliver
                                 ? reply
                                 : ServiceFailure {call.operation, {ResultCode::ServiceFailed, "lost", {}}, true});
            }
        });
    }

    void serviceEvent(const InstanceId &agent, const ServiceEvent &event)
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

    void storeCall(const InstanceId &entry, const StoreCall &call)
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

    void storeAnswer(const StoreAnswer &answer)
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

    // Callers

    std::size_t submit(int index, const CustomerId &customer, Tokens prompt, Tokens output, Duration timeLeft)
    {
        const InstanceId entry("entry-" + std::to_string(index));
        CompletionRequest request;
        request.customer = customer;
        request.model = ModelName("model");
        request.promptTokens = prompt;
        request.maxOutputTokens = output;
        request.timeLeft = timeLeft;
        std::string body = "prompt " + std::to_string(m_callers.size());
        body.resize(std::min<std::size_t>(static_cast<std::size_t>(prompt.value()) * BytesPerToken, 64), ' ');
        request.body = std::make_shared<const std::string>(body);

        CallerRecord record = newRecord(entry, timeLeft);
        const AnswerText answer(body, output.value());
        for (std::uint64_t i = 0; i < answer.length(); ++i) {
            record.expectedTokens.push_back(answer.token(i));
        }
        EntryNode &node = m_entries.at(entry);
        EntryActions actions;
        if (node.core) {
            record.request = node.core->submit(std::move(request), m_now, actions);
        } else {
            record.ending = Ending::ConnectionLost;
        }
        return add(std::move(record), actions);
    }

    std::size_t callService(int index,
                            const std::string &logicalCall,
                            const std::string &key,
                            std::optional<OperationId> operation,
                            Duration timeLeft)
    {
        const InstanceId entry("entry-" + std::to_string(index));
        ServiceRequest request;
        request.customer = CustomerId("customer");
        request.service = ServiceName("orders");
        request.method = "POST";
        request.path = "/orders";
        request.contentType = "text/plain";
        request.body = std::make_shared<const std::string>(logicalCall);
        request.timeLeft = timeLeft;
        request.idempotencyKey = key;
        request.operation = std::move(operation);

        CallerRecord record = newRecord(entry, timeLeft);
        record.isService = true;
        record.logicalCall = logicalCall;
        EntryNode &node = m_entries.at(entry);
        EntryActions actions;
        if (node.core) {
            record.request = node.core->callService(std::move(request), m_now, actions);
        } else {
            record.ending = Ending::ConnectionLost;
        }
        return add(std::move(record), actions);
    }

    void callWithOperationId(int index, const std::string &logicalCall, Duration timeLeft)
    {
        const InstanceId entry("entry-" + std::to_string(index));
        EntryNode &node = m_entries.at(entry);
        if (!node.core) {
            return;
        }
        EntryActions actions;
        const RequestId request = node.core->requestOperationId(ServiceName("orders"), timeLeft, m_now, actions);
        m_awaitedIds[request] = {logicalCall, timeLeft, index};
        carryOut(entry, actions);
    }

    void issue(const DeliverOperationId &issued)
    {
        const auto awaited = m_awaitedIds.find(issued.request);
        if (awaited == m_awaitedIds.end()) {
            return;
        }
        const auto [logicalCall, timeLeft, index] = awaited->second;
        m_awaitedIds.erase(awaited);
        at(m_now, [=, this, operation = issued.operation] {
            callService(index, logicalCall, {}, operation, timeLeft);
            // The caller does not wait for the answer: the retry through another entry overlaps with the first call.
            const int other = (index + 1) % m_settings.entries;
            at(m_now + m_settings.latency * 3, [=, this] {
                callService(other, logicalCall, {}, operation, timeLeft);
            });
        });
    }

    void leave(std::size_t index)
    {
        CallerRecord &caller = m_callers.at(index);
        EntryNode &node = m_entries.at(caller.entry);
        if (caller.ending != Ending::Open || !node.core) {
            return;
        }
        caller.ending = Ending::ConnectionLost;
        caller.ended = m_now;
        EntryActions actions;
        node.core->callerLeft(caller.request, m_now, actions);
        carryOut(caller.entry, actions);
    }

    CallerRecord newRecord(const InstanceId &entry, Duration timeLeft) const
    {
        CallerRecord record;
        record.entry = entry;
        record.submitted = m_now;
        record.deadline = m_now + timeLeft;
        return record;
    }

    std::size_t add(CallerRecord record, const EntryActions &actions)
    {
        const std::size_t index = m_callers.size();
        const InstanceId entry = record.entry;
        if (record.ending == Ending::Open) {
            m_callerIndex[record.request] = index;
        }
        m_callers.push_back(std::move(record));
        carryOut(entry, actions);
        return index;
    }

    CallerRecord *find(const RequestId &request)
    {
        const auto index = m_callerIndex.find(request);
        return index == m_callerIndex.end() ? nullptr : &m_callers[index->second];
    }

    void deliver(const DeliverTokens &tokens)
    {
        CallerRecord *caller = find(tokens.request);
        if (caller && caller->ending != Ending::ConnectionLost) {
            caller->tokens.insert(caller->tokens.end(), tokens.tokens.begin(), tokens.tokens.end());
        }
    }

    void deliver(const InstanceId &entry, const DeliverFailure &failure)
    {
        m_awaitedIds.erase(failure.request);
        if (CallerRecord *caller = finish(entry, failure.request, Ending::Failure)) {
            caller->error = failure.error;
        }
    }

    CallerRecord *finish(const InstanceId &entry, const RequestId &request, Ending ending)
    {
        takeStep("entry>caller " + std::to_string(static_cast<int>(ending)), entry, {});
        CallerRecord *caller = find(request);
        if (!caller || caller->ending == Ending::ConnectionLost) {
            return nullptr;
        }
        ++caller->finals;
        caller->ending = ending;
        caller->ended = m_now;
        return caller;
    }

    // Planned stops

    void drainAgent(const InstanceId &agent, Duration listLag)
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

    void drainEntry(const InstanceId &entry)
    {
        EntryNode &node = m_entries.at(entry);
        if (node.core) {
            EntryActions actions;
            node.core->beginShutdown(m_now, actions);
            carryOut(entry, actions);
        }
    }

    RunRecord record() const
    {
        RunRecord record;
        record.callers = m_callers;
        record.startedRequests = m_startedRequests;
        record.leavingSince = m_leaving;
        record.starts = m_starts;
        record.end = m_now;
        for (const auto &[agent, node] : m_agents) {
            if (node.service) {
                record.serviceRuns.insert(node.service->runs().begin(), node.service->runs().end());
            }
            Residue residue {agent, {}, {}, 0};
            residue.engineMemory = node.engine ? node.engine->usedMemory() : Tokens();
            residue.reservedMemory = node.core ? node.core->reservedMemory() : Tokens();
            residue.openWork = node.core ? node.core->openWork() : 0;
            record.residues.push_back(residue);
        }
        return record;
    }

    FleetSettings m_settings;
    SeededRandom m_random;
    FakeStore m_store;
    StepHook m_hook;
    TimePoint m_now;
    TimePoint m_nextTick;
    std::map<InstanceId, EntryNode> m_entries;
    std::map<InstanceId, AgentNode> m_agents;

private:
    struct StoreCaller
    {
        InstanceId entry;
        StoreCallId id;
        int starts = 0;
    };
    struct AwaitedId
    {
        std::string logicalCall;
        Duration timeLeft {};
        int entry = 0;
    };

    [[nodiscard]] static std::uint64_t nodeNumber(const PeerSummary &self)
    {
        return static_cast<std::uint64_t>(self.instance.value().back() - '0')
            + (self.role == InstanceRole::Agent ? 100U : 1U);
    }

    [[nodiscard]] std::optional<KvSegment> findSegment(const std::string &handle) const
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

    Fate takeStep(const std::string &label, const InstanceId &entry, const InstanceId &agent)
    {
        return m_hook ? m_hook(Step {label, entry, agent}) : Fate {};
    }

    [[nodiscard]] TimePoint nextTime() const
    {
        TimePoint next = m_nextTick;
        if (!m_events.empty()) {
            next = std::min(next, m_events.begin()->first);
        }
        if (const auto storeEvent = m_store.nextEvent()) {
            next = std::min(next, *storeEvent);
        }
        for (const auto &[agent, node] : m_agents) {
            if (node.engine && node.engineUp) {
                next = std::min(next, node.engine->nextEvent());
            }
        }
        return std::max(next, m_now);
    }

    void advanceOutside()
    {
        for (const StoreAnswer &answer : m_store.takeAnswers(m_now)) {
            storeAnswer(answer);
        }
        for (auto &[agent, node] : m_agents) {
            if (node.engine && node.engineUp && node.engine->nextEvent() <= m_now) {
                EngineEvents events;
                node.engine->advance(m_now, events);
                deliverEngineEvents(agent, events);
            }
        }
    }

    void tickAll()
    {
        for (auto &[entry, node] : m_entries) {
            if (node.core && node.frozenUntil <= m_now) {
                EntryActions actions;
                node.core->tick(m_now, actions);
                carryOut(entry, actions);
            }
        }
        for (auto &[agent, node] : m_agents) {
            if (node.core && node.frozenUntil <= m_now) {
                AgentActions actions;
                node.core->tick(m_now, actions);
                carryOut(agent, actions);
            }
        }
    }

    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::pair<InstanceId, InstanceId>, Link> m_links;
    std::map<StoreCallId, StoreCaller> m_storeCalls;
    std::uint64_t m_nextStoreCall = 1;
    std::vector<CallerRecord> m_callers;
    std::map<RequestId, std::size_t> m_callerIndex;
    std::map<RequestId, AwaitedId> m_awaitedIds;
    std::set<RequestId> m_startedRequests;
    std::map<InstanceId, TimePoint> m_leaving;
    std::vector<std::pair<InstanceId, TimePoint>> m_starts;
};

Fleet::Fleet(const FleetSettings &settings) : d(std::make_unique<Private>(settings))
{
    d->start();
}

Fleet::~Fleet() = default;

void Fleet::setStepHook(StepHook hook)
{
    d->m_hook = std::move(hook);
}

TimePoint Fleet::now() const
{
    return d->m_now;
}

FakeStore &Fleet::store()
{
    return d->m_store;
}

void Fleet::runUntil(TimePoint end)
{
    d->runUntil(end);
}

void Fleet::at(TimePoint time, std::function<void()> action)
{
    d->at(time, std::move(action));
}

std::size_t Fleet::submit(int entry, const CustomerId &customer, Tokens prompt, Tokens output, Duration timeLeft)
{
    return d->submit(entry, customer, prompt, output, timeLeft);
}

std::size_t Fleet::callService(int entry, const std::string &logicalCall, const std::string &key, Duration timeLeft)
{
    return d->callService(entry, logicalCall, key, std::nullopt, timeLeft);
}

void Fleet::callWithOperationId(int entry, const std::string &logicalCall, Duration timeLeft)
{
    d->callWithOperationId(entry, logicalCall, timeLeft);
}

void Fleet::leave(std::size_t index)
{
    d->leave(index);
}

void Fleet::killEngine(const InstanceId &agent, Duration downFor)
{
    d->killEngine(agent, downFor);
}

void Fleet::stallEngine(const InstanceId &agent, Duration time)
{
    if (d->m_agents.at(agent).engine) {
        d->m_agents.at(agent).engine->stall(d->m_now + time);
    }
}

void Fleet::killAgent(const InstanceId &agent, Duration downFor)
{
    d->killAgent(agent, downFor);
}

void Fleet::killEntry(const InstanceId &entry, Duration downFor)
{
    d->killEntry(entry, downFor);
}

void Fleet::freeze(const InstanceId &instance, Duration time)
{
    d->freeze(instance, time);
}

void Fleet::cutLink(const InstanceId &entry, const InstanceId &agent, Duration time)
{
    d->cutLink(entry, agent, time);
}

void Fleet::partitionEntry(const InstanceId &entry, Duration time)
{
    for (const auto &[agent, node] : d->m_agents) {
        d->cutLink(entry, agent, time);
    }
}

void Fleet::drainAgent(const InstanceId &agent, Duration listLag)
{
    d->drainAgent(agent, listLag);
}

void Fleet::drainEntry(const InstanceId &entry)
{
    d->drainEntry(entry);
}

InstanceId Fleet::entryId(int index) const
{
    return InstanceId("entry-" + std::to_string(index));
}

InstanceId Fleet::agentId(int index) const
{
    return InstanceId("agent-" + std::to_string(index));
}

std::size_t Fleet::openWork(const InstanceId &agent) const
{
    const AgentNode &node = d->m_agents.at(agent);
    return node.core ? node.core->openWork() : 0;
}

std::uint64_t Fleet::prefilledTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[agent, node] : d->m_agents) {
        tokens += node.engine ? node.engine->prefilledTokens() : 0;
    }
    return tokens;
}

RunRecord Fleet::record() const
{
    return d->record();
}

} // namespace ibismast::harness
