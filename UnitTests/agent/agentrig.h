#pragma once

#include "ibismast/agent/agentcore.h"
#include "ibismast/agent/agentcoresettings.h"
#include "standins/engine/enginemodel.h"

#include <deque>

namespace ibismast
{

/// One agent with an engine model on the virtual clock; the test plays the entries.
class AgentRig
{
public:
    explicit AgentRig(const AgentCoreSettings &settings = defaultSettings(), EngineModelSettings engine = {});

    /// Settings that serve the model `model` and the service `registry`.
    [[nodiscard]] static AgentCoreSettings defaultSettings();
    /// Returns a dispatch of `promptTokens` and `outputTokens` by the entry with incarnation `entry`.
    [[nodiscard]] static DispatchRequest request(std::uint64_t sequence,
                                                 std::int64_t promptTokens,
                                                 std::int64_t outputTokens,
                                                 Duration timeLeft = Duration(60'000'000));

    /// Passes @p message to the agent as sent by `entry-1`.
    void send(PeerMessage message);
    /// Passes @p message to the agent as sent by @p sender in @p incarnation.
    void sendAs(const std::string &sender, std::uint64_t incarnation, PeerMessage message);
    /// Lets time pass; entry-1 sends heartbeats while `heartbeats` is true.
    void run(Duration time);
    void shutDown();
    void engineDies();
    void engineRestarts();
    void disconnect(const std::string &peer);
    void service(const ServiceEvent &event);
    /// Passes an event to the agent as if the engine had sent it.
    void engineEvent(const EngineEvent &event);

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
    /// Tokens relayed for @p attempt, in order.
    [[nodiscard]] std::vector<std::string> tokensOf(const AttemptId &attempt) const;
    /// Answer that a correct system relays for @p request.
    [[nodiscard]] static std::vector<std::string> expectedAnswer(const DispatchRequest &request);
    void clearSent();

    AgentCore core;
    EngineModel engine;
    TimePoint now {};
    bool heartbeats = true;
    /// Commands and calls that the agent has given, in order.
    std::vector<EngineCommand> commands;
    std::vector<ServiceInvoke> invocations;
    /// Commands do not reach the engine while this is true.
    bool holdCommands = false;
    /// Messages with receivers.
    [[nodiscard]] const std::vector<SendToPeer> &messages() const;

private:
    void carryOut(AgentActions &actions);
    void deliver(EngineEvents &events);

    std::vector<SendToPeer> m_sent;
    TimePoint m_nextHeartbeat {};
};

} // namespace ibismast
