#pragma once

#include "ibismast/config/configlogreader.h"
#include "ibismast/core/seededrandom.h"

#include <set>

namespace ibismast
{

/// Settings of `ConfigRelay`.
struct ConfigRelaySettings
{
    /// Processes of each failure domain that hold a watch on the log.
    std::size_t relaysPerDomain = 2;
    /// Peers that a new revision is pushed to.
    std::size_t fanOut = 8;
    /// Larger pushes send only the revision; the receiver asks for the records.
    std::size_t pushBytes = 16'384;
    /// Time between two questions to a random peer, which repair lost pushes.
    Duration antiEntropyInterval = std::chrono::seconds(1);
    /// Time after which another peer is asked.
    Duration requestTimeout = std::chrono::milliseconds(300);
    /// Time between two readings of the head by a relay, which repair lost watch events.
    Duration headReadInterval = std::chrono::seconds(2);
    /// Pause after a failed reading.
    Duration retryPause = std::chrono::milliseconds(500);
    /// Peers that a starting process asks, and how long it waits for more answers after the first one.
    std::size_t startPeers = 5;
    Duration startTimeout = std::chrono::milliseconds(500);

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Message to a peer.
struct ConfigSend
{
    InstanceId receiver;
    PeerMessage message;
};

/// What a `ConfigRelay` asks its process to do.
struct ConfigRelayOutput
{
    std::vector<ConfigSend> sends;
    StoreCalls calls;
};

/// Returns the members of @p domain that hold the watch: the @p count largest rendezvous scores.
[[nodiscard]] std::vector<InstanceId>
chooseRelays(const std::vector<PeerSummary> &members, const FailureDomain &domain, std::size_t count);

/// Keeps the replica of one process at the newest revision and passes it on.
///
/// Every process has one. It pushes each new revision to a few peers and asks a peer that shows a higher one. It reads
/// and watches the store only while it is one of the relays of its failure domain.
class ConfigRelay
{
public:
    ConfigRelay(const ConfigRelaySettings &settings,
                const PeerSummary &self,
                ConfigReplica &replica,
                StoreCallIds &ids,
                std::uint64_t seed);

    /// Sets the live members of the fleet, this process included.
    void setMembers(const std::vector<PeerSummary> &members);
    /// Sets the peers that this process has a connection to.
    void setPeers(std::vector<InstanceId> peers);

    /// Notes the revision of any frame and handles the messages of the configuration.
    void handlePeer(const PeerFrame &frame, TimePoint now, ConfigRelayOutput &out);
    /// Handles an answer; returns false if it belongs to another call.
    bool handleStore(const StoreAnswer &answer, TimePoint now, ConfigRelayOutput &out);
    /// Does what is due.
    void tick(TimePoint now, ConfigRelayOutput &out);

    /// True once the replica holds the newest configuration that the store or the reached peers had.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool isRelay() const;
    /// Newest revision that each connected peer has shown.
    [[nodiscard]] const std::map<InstanceId, Revision> &peerRevisions() const;

private:
    void noteRevision(const PeerFrame &frame, TimePoint now, ConfigRelayOutput &out);
    void answer(const InstanceId &peer, Revision have, ConfigRelayOutput &out);
    void request(const InstanceId &peer, TimePoint now, ConfigRelayOutput &out);
    void requestNewest(TimePoint now, ConfigRelayOutput &out);
    void push(ConfigRelayOutput &out);
    void askAtStart(TimePoint now, ConfigRelayOutput &out);
    void updateReadiness(TimePoint now);
    void serveWatch(TimePoint now, ConfigRelayOutput &out);
    void handleWatch(const StoreOutcome &outcome, TimePoint now, ConfigRelayOutput &out);
    void readingEnded(const ConfigLogReader::Reading &reading, TimePoint now, ConfigRelayOutput &out);
    [[nodiscard]] std::vector<InstanceId> somePeers(std::size_t count, Revision below);

    ConfigRelaySettings m_settings;
    PeerSummary m_self;
    ConfigReplica *m_replica;
    StoreCallIds *m_ids;
    SeededRandom m_random;
    ConfigLogReader m_reader;
    std::vector<InstanceId> m_peers;
    std::map<InstanceId, Revision> m_peerRevisions;
    Revision m_pushed;
    std::optional<TimePoint> m_requestedAt;
    TimePoint m_nextAntiEntropy {};

    bool m_ready = false;
    std::set<InstanceId> m_startAnswers;
    std::optional<TimePoint> m_firstAnswer;
    TimePoint m_nextStartRequest {};

    bool m_isRelay = false;
    StoreCallId m_watch;
    StoreRevision m_watchFrom;
    TimePoint m_nextRead {};
};

} // namespace ibismast
