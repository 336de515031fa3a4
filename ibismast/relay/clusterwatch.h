#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/relay/platformrecords.h"
#include "ibismast/relay/relaycore.h"

namespace ibismast
{

/// Reads the records of all upstreams.
struct ReadUpstreams
{
    Duration timeout {};
};
/// Reads the configuration's record.
struct ReadConfig
{
    Duration timeout {};
};
/// Waits up to @p wait for a change of the configuration's record behind @p revision.
struct AwaitConfig
{
    std::int64_t revision = 0;
    Duration wait {};
    Duration timeout {};
};
/// Asks another entry for its copy of the records.
struct FetchRecordCopy
{
    std::string address;
    Duration timeout {};
};
/// Read that the shell has to carry out. Each is answered by exactly one call of the same kind.
using WatchRequest = std::variant<ReadUpstreams, ReadConfig, AwaitConfig, FetchRecordCopy>;

/// Settings of a `ClusterWatch`.
struct ClusterWatchSettings
{
    /// Pause between two reads of the upstreams. A leaving upstream gets no new work after 2 s, one failed read
    /// included.
    Duration listInterval = std::chrono::milliseconds(700);
    /// A read without an answer is given up after this time; the store answers in 4 ms, and in 300 ms when it is slow.
    Duration readTimeout = std::chrono::milliseconds(500);
    /// Time for which the store holds back the answer to a wait for a new configuration. A connection that has gone
    /// silent is noticed after this time and the timeout, so it must stay below the time to apply a configuration.
    Duration configWait = std::chrono::milliseconds(1200);
    /// Pause after a failed read.
    Duration retryPause = std::chrono::milliseconds(150);
    Duration longestRetryPause = std::chrono::milliseconds(700);
    /// Other entries are asked once the list is older than this.
    Duration staleList = std::chrono::milliseconds(1100);
    /// Pause between two questions to other entries.
    Duration askInterval = std::chrono::milliseconds(400);
    /// Entries of a fleet larger than this share their reads of the store, whose calls cost money; a smaller one gains
    /// little and would rest on a single reader.
    std::size_t sharingFleet = 5;
    /// Pause between reads of a sharing entry, counted from the newest read of the same list by any entry, and the
    /// random time added to it so that few entries read at once. The sum and one failed read must stay below the time
    /// after which a leaving upstream gets no new work.
    Duration sharedListInterval = std::chrono::milliseconds(600);
    Duration sharedListSpread = std::chrono::milliseconds(300);
    /// A sharing entry reads at least this often, since only a read shows the upstreams' reports.
    Duration ownListInterval = std::chrono::milliseconds(2100);
    /// Number of entries that wait at the store for a new configuration for the whole fleet, those with the smallest
    /// ids. All of them must fail at once before a new configuration is noticed late.
    std::size_t configWaiters = 4;
    /// Time for which an entry's word that it waits for a new configuration counts; entries greet every 500 ms.
    Duration waiterSilence = std::chrono::milliseconds(1200);
};

/// Keeps the configuration and the list of upstreams current: by the store, and by other entries' copies while the
/// store does not answer this one.
class ClusterWatch
{
public:
    ClusterWatch(const ClusterWatchSettings &settings,
                 const RecordDecoder &decoder,
                 RelayCore &core,
                 std::uint64_t seed,
                 EventListener &listener);

    /// Appends the reads that are due at @p now.
    void tick(TimePoint now, std::vector<WatchRequest> &requests);
    void upstreamsRead(const Result<StoredUpstreams> &result, TimePoint now);
    void configRead(const Result<StoredConfig> &result, TimePoint now);
    /// @p result is an error also if the history behind the asked revision is gone.
    void configAwaited(const Result<StoredConfig> &result, TimePoint now);
    void copyReceived(const Result<RecordCopy> &result, TimePoint now);

    /// The entry @p id has told what it knows.
    void noteEntry(const InstanceId &id, const EntryKnowledge &knowledge, TimePoint now);
    /// Returns what this entry knows, without the address of its copy.
    [[nodiscard]] EntryKnowledge knowledge(TimePoint now) const;
    /// True once after a read or a change that other entries should hear of at once.
    [[nodiscard]] bool takeAnnouncementDue();
    /// Forgets the addresses of entries that are gone.
    void expire(TimePoint now);
    /// Returns the records that this entry knows.
    [[nodiscard]] RecordCopy copy(TimePoint now) const;
    /// Revision of the list of upstreams; 0 if there is none.
    [[nodiscard]] std::int64_t listRevision() const
    {
        return m_upstreams ? m_upstreams->revision : 0;
    }

private:
    struct KnownEntry
    {
        EntryKnowledge knowledge;
        TimePoint heard;
    };

    void applyConfig(const StoredRecord &record, std::string_view source, TimePoint now);
    void applyUpstreams(const StoredUpstreams &upstreams, std::string_view source, TimePoint read, TimePoint now);
    void noteStore(bool answered, std::string_view reason, TimePoint now);
    [[nodiscard]] Duration nextPause();
    [[nodiscard]] std::optional<std::string> entryToAsk(TimePoint now);
    /// True if the fleet is large enough to share reads of the store.
    [[nodiscard]] bool sharesReads() const;
    /// Returns the pause between a read by any entry and the next one of this entry.
    [[nodiscard]] Duration sharedPause();
    /// True if enough other entries wait at the store for a new configuration.
    [[nodiscard]] bool othersAwaitConfig(TimePoint now) const;
    /// Another entry has read the list that this one has at @p read.
    void confirmList(TimePoint read);
    /// Version in force; 0 if there is none.
    [[nodiscard]] RelayConfigVersion configVersion() const;

    ClusterWatchSettings m_settings;
    const RecordDecoder *m_decoder;
    RelayCore *m_core;
    SeededRandom m_random;
    EventListener *m_listener;

    std::optional<StoredRecord> m_config;
    std::optional<StoredUpstreams> m_upstreams;
    /// Time at which the list was true, by this process's clock.
    TimePoint m_listTime = TimePoint::min();
    /// Time of this entry's read of the list that it has; the earliest time if the list is another entry's copy. Only
    /// own reads are told to others: a time that was passed on would grow younger with each delay on its way.
    TimePoint m_ownListTime = TimePoint::min();
    std::uint64_t m_listDigest = 0;
    std::set<std::pair<std::string, std::int64_t>> m_reportedRecords;

    bool m_listPending = false;
    bool m_configPending = false;
    bool m_askPending = false;
    /// Changes up to this revision of the store have been seen.
    std::int64_t m_configSeen = 0;
    /// True if the configuration must be read rather than awaited.
    bool m_configUnknown = true;
    TimePoint m_nextList = TimePoint::min();
    TimePoint m_nextConfig = TimePoint::min();
    TimePoint m_nextAsk = TimePoint::min();
    bool m_storeAnswers = true;
    bool m_newsDue = false;
    Duration m_pause {};
    std::map<InstanceId, KnownEntry> m_entries;
};

} // namespace ibismast
