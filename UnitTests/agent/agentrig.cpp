#include "UnitTests/agent/agentrig.h"

namespace ibismast
{

namespace
{

constexpr Duration TickInterval {10'000};

PeerSummary agentSummary()
{
    return {InstanceId("agent-1"), Incarnation(5), InstanceRole::Agent, InstanceState::Ready, {}, {}};
}

} // namespace

AgentRig::AgentRig(const AgentCoreSettings &settings, EngineModelSettings engineSettings)
    : core(settings, agentSummary(), 1, nullptr), engine(std::move(engineSettings), 1)
{
    heartbeats = true;
    send(
        Heartbeat {{InstanceId("entry-1"), Incarnation(1), InstanceRole::Entry, InstanceState::Ready, {}, {}}, {}, {}});
}

AgentCoreSettings AgentRig::defaultSettings()
{
    AgentCoreSettings settings;
    settings.models = {ModelName("model")};
    settings.services = {ServiceName("registry")};
    return settings;
}

DispatchRequest
AgentRig::request(std::uint64_t sequence, std::int64_t promptTokens, std::int64_t outputTokens, Duration timeLeft)
{
    DispatchRequest request;
    request.attempt = AttemptId {RequestId {Incarnation(1), sequence}, 0};
    request.customer = CustomerId("customer-1");
    request.model = ModelName("model");
    request.promptTokens = Tokens(promptTokens);
    request.maxOutputTokens = Tokens(outputTokens);
    request.timeLeft = timeLeft;
    request.body = std::make_shared<const std::string>("prompt " + std::to_string(sequence));
    return request;
}

void AgentRig::send(PeerMessage message)
{
    sendAs("entry-1", 1, std::move(message));
}

void AgentRig::sendAs(const std::string &sender, std::uint64_t incarnation, PeerMessage message)
{
    AgentActions actions;
    core.handlePeer(
        PeerFrame {InstanceId(sender), Incarnation(incarnation), Revision(0), std::move(message)}, now, actions);
    execute(actions);
}

void AgentRig::run(Duration time)
{
    const TimePoint end = now + time;
    while (now < end) {
        now = std::min({now + TickInterval, std::max(now, engine.nextEvent()), end});
        EngineEvents events;
        engine.advance(now, events);
        deliver(events);
        if (heartbeats && now >= m_nextHeartbeat) {
            m_nextHeartbeat = now + Duration(1'000'000);
            send(Heartbeat {
                {InstanceId("entry-1"), Incarnation(1), InstanceRole::Entry, InstanceState::Ready, {}, {}}, {}, {}});
        }
        AgentActions actions;
        core.tick(now, actions);
        execute(actions);
    }
}

void AgentRig::shutDown()
{
    AgentActions actions;
    core.beginShutdown(now, actions);
    execute(actions);
}

void AgentRig::crashEngine()
{
    EngineEvents events;
    engine.die(events);
    deliver(events);
}

void AgentRig::restartEngine()
{
    EngineEvents events;
    engine.restart(now, events);
    deliver(events);
}

void AgentRig::disconnect(const std::string &peer)
{
    AgentActions actions;
    core.peerDisconnected(InstanceId(peer), now, actions);
    execute(actions);
}

void AgentRig::sendServiceEvent(const ServiceEvent &event)
{
    AgentActions actions;
    core.handleService(event, now, actions);
    execute(actions);
}

void AgentRig::sendEngineEvent(const EngineEvent &event)
{
    EngineEvents events {event};
    deliver(events);
}

std::vector<std::string> AgentRig::tokensOf(const AttemptId &attempt) const
{
    std::vector<std::string> tokens;
    for (const StreamPart &part : sent<StreamPart>()) {
        if (part.attempt == attempt) {
            tokens.insert(tokens.end(), part.tokens.begin(), part.tokens.end());
        }
    }
    return tokens;
}

std::vector<std::string> AgentRig::expectedAnswer(const DispatchRequest &request)
{
    const AnswerText answer(*request.body, request.maxOutputTokens.value());
    std::vector<std::string> tokens;
    for (std::uint64_t position = request.resumeFrom; position < answer.length(); ++position) {
        tokens.push_back(answer.token(position));
    }
    return tokens;
}

void AgentRig::clearSent()
{
    m_sent.clear();
    commands.clear();
}

const std::vector<SendToPeer> &AgentRig::messages() const
{
    return m_sent;
}

void AgentRig::execute(AgentActions &actions)
{
    for (AgentAction &action : actions) {
        if (auto *message = std::get_if<SendToPeer>(&action)) {
            m_sent.push_back(std::move(*message));
        } else if (auto *invoke = std::get_if<ServiceInvoke>(&action)) {
            invocations.push_back(std::move(*invoke));
        } else {
            commands.push_back(std::get<EngineCommand>(action));
            if (!dropCommands) {
                EngineEvents events;
                engine.handle(commands.back(), now, events);
                deliver(events);
            }
        }
    }
}

void AgentRig::deliver(EngineEvents &events)
{
    for (const EngineEvent &event : events) {
        AgentActions actions;
        core.handleEngine(event, now, actions);
        execute(actions);
    }
}

} // namespace ibismast
