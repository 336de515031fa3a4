#include "PerformanceTest/agentserving.h"

namespace ibismast
{

namespace
{

constexpr Duration TickInterval {10'000};
constexpr std::size_t MaxOffers = 4;

AgentCoreSettings agentSettings(const Ablation &ablation)
{
    AgentCoreSettings settings;
    settings.models = {ModelName("model")};
    settings.schedule.queue.separateClasses = ablation.classes;
    settings.schedule.priorities.separateClasses = ablation.classes;
    settings.schedule.priorities.ageing = ablation.ageing;
    settings.admission.enabled = ablation.admission;
    settings.schedule.queue.separateCustomers = ablation.customerFairness;
    return settings;
}

PeerSummary summaryOf(std::string name, InstanceRole role)
{
    return {InstanceId(std::move(name)), Incarnation(1), role, InstanceState::Ready, {}, {}};
}

} // namespace

AgentServing::AgentServing(const WorkloadSettings &settings, const Ablation &ablation) : m_settings(settings)
{
    for (std::size_t index = 0; index < settings.upstreams; ++index) {
        Node node;
        node.agent = std::make_unique<AgentCore>(
            agentSettings(ablation), summaryOf("agent-" + std::to_string(index), InstanceRole::Agent), index, nullptr);
        node.engine = std::make_unique<EngineModel>(EngineModelSettings(), index);
        node.engine->setWorkObserver([this](const AttemptId &attempt, std::int64_t tokens) {
            if (m_now >= m_settings.peakStart && m_now < m_settings.peakEnd) {
                result.peakWork[attempt.request.sequence] += tokens;
            }
        });
        m_nodes.push_back(std::move(node));
    }
}

void AgentServing::submit(const WorkItem &item, TimePoint now)
{
    m_now = now;
    Open open;
    open.request.attempt = {RequestId {Incarnation(1), item.sequence}, 0};
    open.request.customer = item.customer;
    open.request.model = ModelName("model");
    open.request.promptTokens = item.prompt;
    open.request.maxOutputTokens = item.output;
    open.request.body = std::make_shared<const std::string>(std::to_string(item.sequence));
    open.deadline = now + item.timeLeft;
    open.node = m_next;
    m_next = (m_next + 1) % m_nodes.size();
    m_open.emplace(item.sequence, std::move(open));
    offer(item.sequence, now);
}

void AgentServing::advance(TimePoint now)
{
    m_now = now;
    const bool heartbeat = now >= m_nextHeartbeat;
    if (heartbeat) {
        m_nextHeartbeat = now + Duration(1'000'000);
    }
    const bool tick = now >= m_nextTick;
    if (tick) {
        m_nextTick = now + TickInterval;
    }
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        EngineEvents events;
        m_nodes[node].engine->advance(now, events);
        deliver(node, events, now);
        if (heartbeat) {
            send(node, Heartbeat {summaryOf("entry", InstanceRole::Entry), {}, {}}, now);
        }
        if (tick) {
            AgentActions actions;
            m_nodes[node].agent->tick(now, actions);
            carryOut(node, actions, now);
        }
    }
    const std::vector<std::uint64_t> refused = std::exchange(m_refused, {});
    for (const std::uint64_t sequence : refused) {
        offer(sequence, now);
    }
}

TimePoint AgentServing::nextEvent() const
{
    TimePoint next = m_nextTick;
    for (const Node &node : m_nodes) {
        next = std::min(next, node.engine->nextEvent());
    }
    return next;
}

void AgentServing::offer(std::uint64_t sequence, TimePoint now)
{
    const auto found = m_open.find(sequence);
    if (found == m_open.end()) {
        return;
    }
    Open &open = found->second;
    if (open.offers == std::min(MaxOffers, m_nodes.size()) || open.deadline <= now) {
        m_open.erase(found);
        return;
    }
    open.node = (open.node + (open.offers == 0 ? 0 : 1)) % m_nodes.size();
    open.request.attempt.number = static_cast<std::uint32_t>(open.offers++);
    open.request.timeLeft = open.deadline - now;
    send(open.node, open.request, now);
}

void AgentServing::send(std::size_t node, PeerMessage message, TimePoint now)
{
    AgentActions actions;
    const PeerFrame frame {InstanceId("entry"), Incarnation(1), Revision(0), std::move(message)};
    m_nodes[node].agent->handlePeer(frame, now, actions);
    carryOut(node, actions, now);
}

void AgentServing::carryOut(std::size_t node, AgentActions &actions, TimePoint now)
{
    for (const AgentAction &action : actions) {
        if (const auto *message = std::get_if<SendToPeer>(&action)) {
            handle(message->message, now);
        } else if (const auto *command = std::get_if<EngineCommand>(&action)) {
            EngineEvents events;
            m_nodes[node].engine->handle(*command, now, events);
            deliver(node, events, now);
        }
    }
}

void AgentServing::deliver(std::size_t node, const EngineEvents &events, TimePoint now)
{
    for (const EngineEvent &event : events) {
        AgentActions actions;
        m_nodes[node].agent->handleEngine(event, now, actions);
        carryOut(node, actions, now);
    }
}

void AgentServing::handle(const PeerMessage &message, TimePoint now)
{
    if (const auto *accepted = std::get_if<DispatchAccepted>(&message)) {
        result.items[accepted->attempt.request.sequence].admitted = true;
    } else if (const auto *part = std::get_if<StreamPart>(&message)) {
        ServedItem &item = result.items[part->attempt.request.sequence];
        item.firstToken = item.firstToken.value_or(now);
    } else if (const auto *end = std::get_if<StreamEnd>(&message)) {
        result.items[end->attempt.request.sequence].finished = now;
        m_open.erase(end->attempt.request.sequence);
    } else if (const auto *failed = std::get_if<AttemptFailed>(&message)) {
        result.items[failed->attempt.request.sequence].failed = now;
        m_open.erase(failed->attempt.request.sequence);
    } else if (const auto *refused = std::get_if<DispatchRefused>(&message)) {
        m_refused.push_back(refused->attempt.request.sequence);
    }
}

} // namespace ibismast
