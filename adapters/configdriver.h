#pragma once

#include "adapters/fleetconfig.h"

#include "ibismast/config/configrelay.h"
#include "ibismast/membership/membershiptable.h"

#include <QtCore/QTimer>

#include <functional>

namespace ibismast
{

class StoreClient;

/// Settings of a `ConfigDriver`.
struct ConfigDriverSettings
{
    ConfigReplicaSettings replica;
    ConfigRelaySettings relay;
    MembershipTableSettings membership;
    /// Interval of `ConfigRelay::tick`.
    Duration tickInterval = std::chrono::milliseconds(50);
};

/// Drives a `ConfigRelay`: connects it with the process's peers, the key-value service and the instance list.
///
/// The members from which the relays are chosen are the instances of the list and the peers whose heartbeats arrive,
/// without those whose heartbeats have stopped or that are leaving.
class ConfigDriver : public QObject
{
public:
    using SendHandler = std::function<void(const InstanceId &receiver, const PeerMessage &message)>;

    /// @p store must outlive the driver; @p listener may be null.
    ConfigDriver(const ConfigDriverSettings &settings,
                 const PeerSummary &self,
                 StoreClient &store,
                 std::uint64_t seed,
                 EventListener *listener);
    ~ConfigDriver() override;

    /// Sets the function that sends a message to a connected peer.
    void setSender(SendHandler send);
    void start();
    void stop();
    /// The process is leaving: it is not chosen as a relay any more.
    void beginShutdown();

    /// The platform's list holds @p instances.
    void setInstances(const std::vector<PeerSummary> &instances);
    /// Messages can be sent to @p peer.
    void peerConnected(const InstanceId &peer);
    void peerDisconnected(const InstanceId &peer);
    /// Handles a frame of a connected peer. Returns true if its message concerns the configuration only.
    bool handleFrame(const PeerFrame &frame);
    /// Another state machine of the process has changed the replica.
    void replicaChanged();

    [[nodiscard]] const FleetConfig &config() const;
    [[nodiscard]] ConfigReplica &replica();
    [[nodiscard]] const ConfigRelay &relay() const;

private:
    void feed(const std::function<void(ConfigRelayOutput &out)> &input);
    void addPeer(const InstanceId &peer);
    void updatePeers();
    void updateMembers();
    void tick();

    ConfigDriverSettings m_settings;
    PeerSummary m_self;
    StoreClient &m_store;
    StoreCallIds m_ids;
    ConfigReplica m_replica;
    ConfigRelay m_relay;
    FleetConfig m_config;
    MembershipTable m_heard;
    std::map<InstanceId, PeerSummary> m_instances;
    std::set<InstanceId> m_peers;
    SendHandler m_send;
    QTimer m_timer;
};

} // namespace ibismast
