#pragma once

#include "adapters/agentprocess.h"
#include "adapters/fleetsettings.h"
#include "adapters/gracefulstop.h"
#include "adapters/plumbing/logging.h"
#include "adapters/plumbing/metrics.h"
#include "adapters/plumbing/settingsfile.h"
#include "adapters/supervisor.h"

#include "ibismast/agent/agentcoresettings.h"

namespace ibismast
{

/// All settings of an agent instance.
struct AgentDaemonSettings
{
    InstanceId instance;
    FailureDomain domain;
    HttpEndpoint peerListen;
    std::optional<QSslConfiguration> peerTls;
    AgentProcessSettings process;
    std::optional<InstanceListClientSettings> instances;
    /// Key-value service and the fleet's configuration in it, if there is one.
    std::optional<FleetSettings> store;
    AgentCoreSettings core;
    /// Times of a stop after the first signal.
    StopTimes stop {std::chrono::seconds(1), std::chrono::minutes(10)};
};

/// Reads the settings of an agent; violations are reported by `SettingsFile::finish`.
[[nodiscard]] AgentDaemonSettings readAgentSettings(SettingsFile &file);

/// Agent instance with all its parts.
class AgentDaemon
{
public:
    /// @p onFailure is called when the process cannot go on.
    AgentDaemon(AgentDaemonSettings settings, Incarnation incarnation, Supervisor::FailureHandler onFailure);

    /// Starts all parts.
    [[nodiscard]] Result<Success> start();
    /// Refuses new work; that in progress goes on.
    void beginShutdown();
    /// True once the agent refuses new work, after a signal or a declared drain.
    [[nodiscard]] bool isLeaving() const;
    /// Number of attempts, reservations and operations that have not ended or whose last message is not sent yet.
    [[nodiscard]] std::size_t openWork();
    /// Stops all parts in reverse order.
    void stop();

    /// Port for peers.
    [[nodiscard]] quint16 peerPort();
    /// Returns the fleet's configuration as this process holds it, or null if the settings name no key-value service.
    [[nodiscard]] const ConfigSource *config() const;

private:
    [[nodiscard]] PeerSummary self(Incarnation incarnation) const;

    AgentDaemonSettings m_settings;
    Metrics m_metrics;
    LoggingListener m_listener;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<ConfigDriver> m_fleet;
    AgentProcess m_process;
    std::unique_ptr<InstanceListClient> m_instances;
    Supervisor m_supervisor;
};

} // namespace ibismast
