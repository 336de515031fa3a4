#pragma once

#include "adapters/actionloop.h"
#include "adapters/configsource.h"
#include "adapters/entryport.h"
#include "adapters/peerlink.h"

#include "ibismast/entry/entrycore.h"

#include <map>

namespace ibismast
{

class ConfigDriver;
class Metrics;
struct EntryCoreSettings;

/// Address of an agent.
struct AgentAddress
{
    InstanceId instance;
    QHostAddress address;
    quint16 port = 0;

    bool operator==(const AgentAddress &) const = default;
};

/// Settings of the entry process.
struct EntryProcessSettings
{
    PeerLinkSettings links;
    /// Interval of `EntryCore::tick`.
    Duration tickInterval = std::chrono::milliseconds(10);
};

/// Drives an `EntryCore`: connects it with the HTTP front end, the agents and the key-value service.
class EntryProcess : public QObject, public EntryPort
{
public:
    /// @p metrics and @p listener may be null; @p config must outlive the process.
    EntryProcess(const EntryProcessSettings &settings,
                 const EntryCoreSettings &coreSettings,
                 const PeerSummary &self,
                 const ConfigSource &config,
                 std::uint64_t seed,
                 EventListener *listener,
                 Metrics *metrics);

    /// Encrypts links that are opened from now on.
    void setTls(const QSslConfiguration &configuration);
    /// Sets the function that starts a call of the key-value service. Without one the calls fail as not executed.
    void setStore(std::function<void(const StoreCall &call)> store);
    /// Gives the frames and connections of the peers to @p driver too, which must outlive the process.
    void setConfigDriver(ConfigDriver &driver);
    /// Passes an answer of the key-value service on.
    void storeAnswered(const StoreAnswer &answer);

    /// Keeps links to the agents in @p agents and to those that are connected.
    void setAgents(const std::vector<AgentAddress> &agents);
    /// The platform's list says that @p instance is leaving.
    void instanceLeaving(const InstanceId &instance);
    /// Begins to drive the core.
    void start();
    /// Refuses new requests from now on.
    void beginShutdown();
    /// Number of requests that have not ended.
    [[nodiscard]] std::size_t openRequests() const;
    /// Number of agents that are connected.
    [[nodiscard]] std::size_t connectedAgents() const;
    /// Closes all links.
    void stop();

    void submit(CompletionRequest request, std::shared_ptr<CallerReply> reply) override;
    void callService(ServiceRequest request, std::shared_ptr<CallerReply> reply) override;
    void requestOperationId(const ServiceName &service, Duration timeLeft, std::shared_ptr<CallerReply> reply) override;
    void callerLeft(const RequestId &request) override;
    [[nodiscard]] std::optional<Error> refusal() const override;

private:
    struct Link
    {
        AgentAddress address;
        std::unique_ptr<PeerLink> link;
        /// Incarnation in the last frame of the agent.
        Incarnation incarnation;
    };
    struct OpenRequest
    {
        std::shared_ptr<CallerReply> reply;
        TimePoint started;
        std::string requestClass;
        bool hasTokens = false;
    };

    void addLink(const AgentAddress &address);
    void execute(EntryAction &action);
    void sendToPeer(const SendToPeer &action);
    void refuseLocally(const SendToPeer &action, const Error &error);
    void deliver(const DeliverTokens &part);
    /// Removes the request and returns its reply, or null if the caller has left.
    std::shared_ptr<CallerReply> take(const RequestId &request, std::string_view outcome);

    EntryProcessSettings m_settings;
    PeerSummary m_self;
    const ConfigSource &m_config;
    EventListener *m_listener;
    Metrics *m_metrics;
    SeededRandom m_random;
    EntryCore m_core;
    ActionLoop<EntryAction> m_loop;
    std::optional<QSslConfiguration> m_tls;
    std::function<void(const StoreCall &call)> m_store;
    ConfigDriver *m_configDriver = nullptr;
    std::map<InstanceId, Link> m_links;
    std::map<RequestId, OpenRequest> m_open;
    QTimer m_timer;
    bool m_shuttingDown = false;
};

} // namespace ibismast
