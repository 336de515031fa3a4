#pragma once

#include "adapters/actionloop.h"
#include "adapters/configsource.h"
#include "adapters/engineclient.h"
#include "adapters/peerserver.h"
#include "adapters/serviceclient.h"

#include "ibismast/agent/agentcore.h"

namespace ibismast
{

struct AgentCoreSettings;
class ConfigDriver;

/// Connections of an agent.
struct AgentProcessSettings
{
    PeerConnectionSettings peers;
    /// Engine beside the agent, if there is one.
    std::optional<EngineClientSettings> engine;
    /// Plain service beside the agent, if there is one.
    std::optional<HttpEndpoint> service;
    /// Interval of `AgentCore::tick`.
    Duration tickInterval = std::chrono::milliseconds(10);
};

/// Drives an `AgentCore`: connects it with its peers, the engine and the plain service.
class AgentProcess : public QObject
{
public:
    AgentProcess(const AgentProcessSettings &settings,
                 const AgentCoreSettings &coreSettings,
                 const PeerSummary &self,
                 std::uint64_t seed,
                 EventListener *listener);

    /// Returns the server that peers connect to; it must listen before `start`.
    [[nodiscard]] PeerServer &server();
    /// Gives the frames and connections of the peers to @p driver too, which must outlive the process.
    void setConfigDriver(ConfigDriver &driver);
    /// Begins to drive the core.
    void start();
    /// Refuses new work from now on.
    void beginShutdown();
    /// True once the process refuses new work.
    [[nodiscard]] bool isLeaving() const;
    /// Number of attempts, reservations and operations that have not ended.
    [[nodiscard]] std::size_t openWork() const;
    /// Closes all connections.
    void stop();

private:
    void execute(const AgentAction &action);
    void sendToPeer(const SendToPeer &action);
    /// Begins a shutdown once the configuration declares this instance as draining. The declaration has no way back
    /// for this run of the agent, since its peers do not return to a leaving incarnation.
    void followDrainDeclaration();

    AgentProcessSettings m_settings;
    PeerSummary m_self;
    EventListener *m_listener;
    ConfigDriver *m_configDriver = nullptr;
    AgentCore m_core;
    ActionLoop<AgentAction> m_loop;
    PeerServer m_server;
    std::unique_ptr<EngineClient> m_engine;
    std::unique_ptr<ServiceClient> m_service;
    QTimer m_timer;
    bool m_leaving = false;
};

} // namespace ibismast
