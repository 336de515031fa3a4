#pragma once

#include "ibismast/agent/agentcore.h"
#include "ibismast/agent/agentcoresettings.h"
#include "standins/engine/enginemodel.h"

#include <deque>

namespace ibismast
{

/// Runs one agent and an engine model on a virtual clock; the test takes the role of the entries.
class AgentRig
{
public:
    explicit AgentRig(const AgentCoreSettings &settings = defaultSettings(), EngineModelSettings engine = {});

    /// Settings of an agent that serves the model `model` and the service `registry`.
    [[nodiscard]] static AgentCoreSettings defaultSettings();
    /// Returns the first dispatch of request @p sequence by incarnation 1 of an entry.
    [[nodiscard]] static DispatchRequest request(std::uint64_t sequence,
                                                 std::int64_t promptTokens,
                                                 std::int64_t outputTokens,
                                                 Duration timeLeft = Duration(60'000'000));

    /// Passes @p message to the agent as if incarnation 1 of `entry-1` had sent it.
    void send(PeerMessage message);
    /// Passes @p message to the agent as if @p incarnation of @p sender had sent it.
    void sendAs(const std::string &sender, std::uint64_t incarnation, PeerMessage message);
    /// Advances the virtual clock by @p time and processes everything that is due.
    void run(Duration time);
    void shutDown();
    void crashEngine();
    void restartEngine();
    void disconnect(const std::string &peer);
    /// Passes an event to the agent as if the plain service had sent it.
    void sendServiceEvent(const ServiceEvent &event);
    /// Passes an event to the agent as if the engine had sent it.
    void sendEngineEvent(const EngineEvent &event);

    /// Messages of type @p Message that the agent has sent, in order.
    template<typename Message> [[nodiscard]] std::vector<Message> sent() const
    {
        std::vector<Message> messages;
        for (const SendToPeer &action : m_sent) {
            if (const auto *message = std::get_if<Message>(&action.message)) {
                messages.push_back(*message);
            }
        }
        return messages;
    }
    /// Tokens that the agent has relayed for @p attempt, in order.
    [[nodiscard]] std::vector<std::string> tokensOf(const AttemptId &attempt) const;
    /// Tokens that a correct agent relays for @p request.
    [[nodiscard]] static std::vector<std::string> expectedAnswer(const DispatchRequest &request);
    /// Clears the recorded messages and engine commands.
    void clearSent();

    AgentCore core;
    EngineModel engine;
    TimePoint now {};
    /// If true, `run` sends a heartbeat of `entry-1` to the agent once per second.
    bool heartbeats = true;
    /// Engine commands and service calls that the agent has issued, in order.
    std::vector<EngineCommand> commands;
    std::vector<ServiceInvoke> invocations;
    /// If true, commands are recorded but do not reach the engine.
    bool dropCommands = false;
    /// Messages that the agent has sent, with their receivers, in order.
    [[nodiscard]] const std::vector<SendToPeer> &messages() const;

private:
    /// Records the actions and passes commands on to the engine model.
    void execute(AgentActions &actions);
    void deliver(EngineEvents &events);

    std::vector<SendToPeer> m_sent;
    TimePoint m_nextHeartbeat {};
};

} // namespace ibismast
