#pragma once

#include "PerformanceTest/serving.h"
#include "ibismast/agent/agentcore.h"
#include "ibismast/agent/agentcoresettings.h"
#include "standins/engine/enginemodel.h"

namespace ibismast
{

/// Mechanisms of the agent that a measurement can turn off.
struct Ablation
{
    bool classes = true;
    bool ageing = true;
    bool admission = true;
    bool customerFairness = true;
};

/// Requests go to agents in turn; a refused one is offered to the other agents once each.
class AgentServing : public Serving
{
public:
    AgentServing(const WorkloadSettings &settings, const Ablation &ablation);

    void submit(const WorkItem &item, TimePoint now) override;
    void advance(TimePoint now) override;
    [[nodiscard]] TimePoint nextEvent() const override;

private:
    struct Node
    {
        std::unique_ptr<AgentCore> agent;
        std::unique_ptr<EngineModel> engine;
    };
    struct Open
    {
        DispatchRequest request;
        TimePoint deadline;
        std::size_t offers = 0;
        std::size_t node = 0;
    };

    void offer(std::uint64_t sequence, TimePoint now);
    void send(std::size_t node, PeerMessage message, TimePoint now);
    void carryOut(std::size_t node, AgentActions &actions, TimePoint now);
    void deliver(std::size_t node, const EngineEvents &events, TimePoint now);
    void handle(const PeerMessage &message, TimePoint now);

    WorkloadSettings m_settings;
    std::vector<Node> m_nodes;
    std::map<std::uint64_t, Open> m_open;
    std::vector<std::uint64_t> m_refused;
    std::size_t m_next = 0;
    TimePoint m_now {};
    TimePoint m_nextTick {};
    TimePoint m_nextHeartbeat {};
};

} // namespace ibismast
