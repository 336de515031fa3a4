#pragma once

#include "adapters/auditlog.h"
#include "adapters/declaredconfig.h"
#include "adapters/entryprocess.h"
#include "adapters/fleetsettings.h"
#include "adapters/gracefulstop.h"
#include "adapters/httpfront.h"
#include "adapters/instancelistclient.h"
#include "adapters/operatordriver.h"
#include "adapters/operatorserver.h"
#include "adapters/plumbing/logging.h"
#include "adapters/plumbing/metrics.h"
#include "adapters/supervisor.h"
#include "adapters/tls.h"

#include "ibismast/entry/entrycoresettings.h"

namespace ibismast
{

/// All settings of an entry instance.
struct EntryDaemonSettings
{
    InstanceId instance;
    FailureDomain domain;
    HttpEndpoint httpListen;
    std::optional<QSslConfiguration> httpTls;
    HttpFrontSettings http;
    /// Agents that are reached in any case; those of the instance list come on top.
    std::vector<AgentAddress> agents;
    std::optional<QSslConfiguration> peerTls;
    EntryProcessSettings process;
    std::optional<InstanceListClientSettings> instances;
    /// Key-value service and the fleet's configuration in it. Without it the declarations of the settings file are in
    /// force and `Idempotency-Key` is refused with `StoreUnavailable`.
    std::optional<FleetSettings> store;
    /// Address for operators; needs `store`.
    std::optional<OperatorServerSettings> operators;
    EntryCoreSettings core;
    /// Times of a stop after the first signal.
    StopTimes stop {std::chrono::seconds(2), std::chrono::minutes(10)};
};

/// Reads the settings of an entry; violations are reported by `SettingsFile::finish`.
[[nodiscard]] EntryDaemonSettings readEntrySettings(SettingsFile &file);

/// Entry instance with all its parts.
class EntryDaemon
{
public:
    /// @p config is in force if the settings name no key-value service, else it may be null. @p onFailure is called
    /// when the process cannot go on.
    EntryDaemon(EntryDaemonSettings settings,
                std::unique_ptr<ConfigSource> config,
                Incarnation incarnation,
                Supervisor::FailureHandler onFailure);

    /// Starts all parts.
    [[nodiscard]] Result<Success> start();
    /// Refuses new requests; those in progress go on.
    void beginShutdown();
    /// Number of requests and operators' calls that have not ended or whose answers have not been sent completely.
    [[nodiscard]] std::size_t openRequests() const;
    /// Stops all parts in reverse order.
    void stop();

    /// Port of the HTTP front end.
    [[nodiscard]] quint16 httpPort() const;
    [[nodiscard]] EntryProcess &process();
    /// Returns the configuration in force.
    [[nodiscard]] const ConfigSource &config() const;
    /// Port for operators; 0 if they are not served.
    [[nodiscard]] quint16 operatorPort() const;
    /// Returns the operators' calls, or null if the settings name no key-value service.
    [[nodiscard]] OperatorDriver *operators();

private:
    [[nodiscard]] PeerSummary self(Incarnation incarnation) const;
    void addParts();
    void onInstances(const std::vector<PeerSummary> &instances);
    [[nodiscard]] std::string metricsText();

    EntryDaemonSettings m_settings;
    std::unique_ptr<ConfigSource> m_config;
    Metrics m_metrics;
    LoggingListener m_listener;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<ConfigDriver> m_fleet;
    AuditLog m_auditLog;
    std::unique_ptr<OperatorDriver> m_operators;
    std::unique_ptr<OperatorServer> m_operatorServer;
    /// Port that the system chose, kept over a restart of the server.
    quint16 m_operatorPort = 0;
    EntryProcess m_process;
    std::unique_ptr<HttpFront> m_front;
    std::unique_ptr<InstanceListClient> m_instances;
    Supervisor m_supervisor;
    /// Port that the system chose, kept over a restart of the front end.
    quint16 m_httpPort = 0;
};

} // namespace ibismast
