#pragma once

#include "UnitTests/harness/fleet.h"

namespace ibismast::harness
{

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

/// Implementation of `Fleet`: processes, links, actions and callers, each in a file of its own.
class Fleet::Private
{
public:
    explicit Private(const FleetSettings &settings);
    void start();
    void at(TimePoint time, std::function<void()> action);
    void runUntil(TimePoint end);

    // Processes

    void startEntry(EntryNode &node);
    void startAgent(AgentNode &node);
    void killEntry(const InstanceId &entry, Duration downFor);
    void killAgent(const InstanceId &agent, Duration downFor);
    void killEngine(const InstanceId &agent, Duration downFor);
    void freeze(const InstanceId &instance, Duration time);

    // Links

    void connect(const InstanceId &entry, const InstanceId &agent);
    void disconnect(const InstanceId &entry, const InstanceId &agent);
    void cutLink(const InstanceId &entry, const InstanceId &agent, Duration time);
    void send(const InstanceId &entry, const InstanceId &agent, bool toAgent, const PeerMessage &message);
    void crossToOtherEntries(const InstanceId &entry, const InstanceId &agent, const PeerFrame &frame);
    void receive(const InstanceId &entry, const InstanceId &agent, bool toAgent, int epoch, const PeerFrame &frame);

    // Actions

    void carryOut(const InstanceId &entry, const EntryActions &actions);
    void carryOut(const InstanceId &agent, const AgentActions &actions);
    void sendFromAgent(const InstanceId &agent, const SendToPeer &send);
    void engineCommand(const InstanceId &agent, const EngineCommand &command);

    /// Passes events to the agent in a later turn, as a socket would.
    void deliverEngineEvents(const InstanceId &agent, const EngineEvents &events);
    void engineEvent(const InstanceId &agent, const EngineEvent &event);
    void engineEvents(AgentNode &node, const EngineEvents &events);
    void serviceCall(const InstanceId &agent, const ServiceInvoke &call);
    void serviceEvent(const InstanceId &agent, const ServiceEvent &event);
    void storeCall(const InstanceId &entry, const StoreCall &call);
    void storeAnswer(const StoreAnswer &answer);

    // Callers

    std::size_t submit(int index, const CustomerId &customer, Tokens prompt, Tokens output, Duration timeLeft);
    std::size_t callService(int index,
                            const std::string &logicalCall,
                            const std::string &key,
                            std::optional<OperationId> operation,
                            Duration timeLeft);
    void callWithOperationId(int index, const std::string &logicalCall, Duration timeLeft);
    void issue(const DeliverOperationId &issued);
    void leave(std::size_t index);
    CallerRecord newRecord(const InstanceId &entry, Duration timeLeft) const;
    std::size_t add(CallerRecord record, const EntryActions &actions);
    CallerRecord *find(const RequestId &request);
    void deliver(const DeliverTokens &tokens);
    void deliver(const InstanceId &entry, const DeliverFailure &failure);
    CallerRecord *finish(const InstanceId &entry, const RequestId &request, Ending ending);

    // Planned stops

    void drainAgent(const InstanceId &agent, Duration listLag);
    void drainEntry(const InstanceId &entry);
    RunRecord record() const;

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

    [[nodiscard]] static std::uint64_t nodeNumber(const PeerSummary &self);
    [[nodiscard]] std::optional<KvSegment> findSegment(const std::string &handle) const;
    Fate takeStep(const std::string &label, const InstanceId &entry, const InstanceId &agent);
    [[nodiscard]] TimePoint nextTime() const;
    void advanceOutside();
    void tickAll();

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

} // namespace ibismast::harness
