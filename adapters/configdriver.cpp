#include "adapters/configdriver.h"

#include "adapters/plumbing/processclock.h"
#include "adapters/storecallranges.h"
#include "adapters/storeclient.h"

#include "ibismast/membership/timeoutdetector.h"

namespace ibismast
{

ConfigDriver::ConfigDriver(const ConfigDriverSettings &settings,
                           const PeerSummary &self,
                           StoreClient &store,
                           std::uint64_t seed,
                           EventListener *listener)
    : m_settings(settings)
    , m_self(self)
    , m_store(store)
    , m_ids(StoreCallRanges::Config)
    , m_replica(settings.replica)
    , m_relay(settings.relay, self, m_replica, m_ids, seed)
    , m_config(m_replica, listener)
    , m_heard(settings.membership, std::make_unique<TimeoutDetector>(TimeoutDetectorSettings()))
{
    m_store.setHandler(StoreCallRanges::Config, [this](const StoreAnswer &answer) {
        feed([this, &answer](ConfigRelayOutput &out) {
            m_relay.handleStore(answer, processNow(), out);
        });
    });
    m_timer.callOnTimeout(this, [this] {
        tick();
    });
    updateMembers();
}

ConfigDriver::~ConfigDriver()
{
    m_store.setHandler(StoreCallRanges::Config, [](const StoreAnswer &) {});
}

void ConfigDriver::setSender(SendHandler send)
{
    m_send = std::move(send);
}

void ConfigDriver::start()
{
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.tickInterval));
    tick();
}

void ConfigDriver::stop()
{
    m_timer.stop();
}

void ConfigDriver::beginShutdown()
{
    m_self.state = InstanceState::Leaving;
    updateMembers();
}

void ConfigDriver::setInstances(const std::vector<PeerSummary> &instances)
{
    m_instances.clear();
    for (const PeerSummary &instance : instances) {
        m_instances.emplace(instance.instance, instance);
    }
    updateMembers();
}

void ConfigDriver::peerConnected(const InstanceId &peer)
{
    addPeer(peer);
}

void ConfigDriver::peerDisconnected(const InstanceId &peer)
{
    if (m_peers.erase(peer) > 0) {
        updatePeers();
    }
}

void ConfigDriver::addPeer(const InstanceId &peer)
{
    if (m_peers.insert(peer).second) {
        updatePeers();
    }
}

void ConfigDriver::updatePeers()
{
    m_relay.setPeers({m_peers.begin(), m_peers.end()});
}

bool ConfigDriver::handleFrame(const PeerFrame &frame)
{
    addPeer(frame.sender);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&frame.message)) {
        m_heard.heartbeat(heartbeat->self, processNow());
        if (!m_heard.takeChanges().empty()) {
            updateMembers();
        }
    }
    feed([this, &frame](ConfigRelayOutput &out) {
        m_relay.handlePeer(frame, processNow(), out);
    });
    return std::holds_alternative<ConfigRequest>(frame.message) || std::holds_alternative<ConfigUpdate>(frame.message);
}

void ConfigDriver::replicaChanged()
{
    feed([this](ConfigRelayOutput &out) {
        m_relay.tick(processNow(), out);
    });
}

const FleetConfig &ConfigDriver::config() const
{
    return m_config;
}

ConfigReplica &ConfigDriver::replica()
{
    return m_replica;
}

const ConfigRelay &ConfigDriver::relay() const
{
    return m_relay;
}

void ConfigDriver::feed(const std::function<void(ConfigRelayOutput &out)> &input)
{
    ConfigRelayOutput out;
    input(out);
    // Before the messages are sent: each carries the revision that is in force.
    m_config.refresh();
    m_config.setReady(m_relay.ready());
    for (const StoreCall &call : out.calls) {
        m_store.execute(call);
    }
    for (const ConfigSend &send : out.sends) {
        if (m_send) {
            m_send(send.receiver, send.message);
        }
    }
}

void ConfigDriver::updateMembers()
{
    std::map<InstanceId, PeerSummary> members = m_instances;
    for (const auto &[id, member] : m_heard.members()) {
        switch (member.state) {
        case MemberState::Known:
            break;
        case MemberState::Alive:
            // The list may lag, but an instance that it calls leaving does not come back.
            members.emplace(id, member.summary);
            break;
        case MemberState::Suspected:
        case MemberState::Leaving:
        case MemberState::Dead:
            members.erase(id);
            break;
        }
    }
    const auto own = m_instances.find(m_self.instance);
    const bool leaving = own != m_instances.end() && own->second.state == InstanceState::Leaving;
    members[m_self.instance] = m_self;
    if (leaving) {
        members[m_self.instance].state = InstanceState::Leaving;
    }
    std::vector<PeerSummary> list;
    list.reserve(members.size());
    for (auto &[id, summary] : members) {
        list.push_back(std::move(summary));
    }
    m_relay.setMembers(list);
}

void ConfigDriver::tick()
{
    m_heard.tick(processNow());
    if (!m_heard.takeChanges().empty()) {
        updateMembers();
    }
    replicaChanged();
}

} // namespace ibismast
