#pragma once

#include "adapters/agentprocess.h"
#include "adapters/gracefulstop.h"
#include "adapters/logging.h"
#include "adapters/metrics.h"
#include "adapters/settingsfile.h"
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
    /// Number of attempts, reservations and operations that have not ended or whose last message is not sent yet.
    [[nodiscard]] std::size_t openWork();
    /// Stops all parts in reverse order.
    void stop();

    /// Port for peers.
    [[nodiscard]] quint16 peerPort();

private:
    AgentDaemonSettings m_settings;
    Metrics m_metrics;
    LoggingListener m_listener;
    AgentProcess m_process;
    Supervisor m_supervisor;
};

} // namespace ibismast
