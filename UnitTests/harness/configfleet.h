#pragma once

#include "UnitTests/harness/fakestore.h"
#include "ibismast/config/configlog.h"
#include "ibismast/config/configrelay.h"
#include "ibismast/store/storegate.h"

#include <functional>
#include <memory>

namespace ibismast::harness
{

/// Settings of `ConfigFleet`.
struct ConfigFleetSettings
{
    std::size_t nodes = 16;
    std::size_t domains = 3;
    /// Connections that each node opens; it has about twice as many.
    std::size_t connections = 16;
    /// Share of messages that are lost.
    double loss = 0.0;
    Duration latency = std::chrono::milliseconds(1);
    Duration tick = std::chrono::milliseconds(20);
    std::uint64_t seed = 1;
    FakeStoreSettings store;
    ConfigRelaySettings relay;
    ConfigLogSettings log;
};

/// One process of a `ConfigFleet`.
struct ConfigNode
{
    PeerSummary self;
    StoreCallIds ids {0};
    ConfigReplica replica;
    std::unique_ptr<ConfigRelay> relay;
    std::unique_ptr<ConfigLog> log;
    std::unique_ptr<StoreGate> gate;
    std::vector<InstanceId> peers;
    bool alive = true;
    std::int64_t bytesSent = 0;
    std::int64_t messagesSent = 0;
    std::vector<ChangeOutcome> outcomes;
};

/// Fleet of configuration replicas on one fake store, joined by one message loop in virtual time.
class ConfigFleet
{
public:
    explicit ConfigFleet(const ConfigFleetSettings &settings);

    /// Runs for @p length.
    void run(Duration length);
    /// Runs until all live nodes are at @p revision or @p limit has passed; returns the time it took, if they are.
    std::optional<Duration> runUntilInForce(Revision revision, Duration limit);
    /// Submits a change through node @p index.
    void submit(std::size_t index, ConfigChange change);
    /// Ends a node; its connections and its state are gone.
    void kill(std::size_t index);
    /// Starts a new run of a node without configuration.
    void restart(std::size_t index);
    /// Messages between nodes for which @p cut returns true are lost.
    void setCut(std::function<bool(std::size_t, std::size_t)> cut);
    /// Tells all nodes the present live members, as the instance list does.
    void publishMembers();

    [[nodiscard]] FakeStore &store();
    [[nodiscard]] ConfigNode &node(std::size_t index);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] TimePoint now() const;
    [[nodiscard]] std::size_t inForce(Revision revision) const;
    /// False if the revision of a node ever decreased within one run.
    [[nodiscard]] bool neverWentBack() const;

private:
    struct Delivery
    {
        std::size_t receiver = 0;
        PeerFrame frame;
    };

    void start(std::size_t index);
    void step();
    void tickNode(std::size_t index);
    void deliver(std::size_t receiver, const PeerFrame &frame);
    void answerStore(const StoreAnswer &answer);
    void carryOut(std::size_t index, ConfigRelayOutput &output, Revision before);
    void passStoreCalls(std::size_t index, StoreCalls calls);

    ConfigFleetSettings m_settings;
    SeededRandom m_random;
    FakeStore m_store;
    std::vector<std::unique_ptr<ConfigNode>> m_nodes;
    std::map<InstanceId, std::size_t> m_indexOf;
    std::multimap<TimePoint, Delivery> m_deliveries;
    std::multimap<TimePoint, std::size_t> m_ticks;
    std::function<bool(std::size_t, std::size_t)> m_cut;
    TimePoint m_now {std::chrono::seconds(1)};
    bool m_neverWentBack = true;
};

/// Returns a change that declares that @p instance is draining.
[[nodiscard]] ConfigChange drainChange(const std::string &id, const std::string &instance, std::string reason = "disk");

/// Returns the approximate size of @p message on the wire, with frame, TCP and IP headers.
[[nodiscard]] std::int64_t wireBytes(const PeerMessage &message);

} // namespace ibismast::harness
