#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/relay/platformrecords.h"
#include "ibismast/relay/relaycore.h"

#include <deque>

namespace ibismast
{

/// Reads the records of all upstreams from the store.
struct ReadUpstreams
{
    Duration timeout {};
};
/// Reads the operators' records from the store.
struct ReadConfig
{
    Duration timeout {};
};
/// Long poll: waits up to @p wait for a change of the operators' records after @p revision.
struct AwaitConfig
{
    std::int64_t revision = 0;
    Duration wait {};
    Duration timeout {};
};
/// Fetches another entry's copy of the records from @p address.
struct FetchRecordCopy
{
    std::string address;
    Duration timeout {};
    CopyContents contents;
};
/// Request that the surrounding process has to carry out. Each one is answered by exactly one call of the matching
/// method of `ClusterWatch`, also if it fails.
using WatchRequest = std::variant<ReadUpstreams, ReadConfig, AwaitConfig, FetchRecordCopy>;

/// Settings of a `ClusterWatch`.
struct ClusterWatchSettings
{
    /// Interval between two reads of the upstreams. A leaving upstream must get no new work after 2 s, even if one read
    /// in between fails.
    Duration listInterval = std::chrono::milliseconds(700);
    /// Timeout of a read. The store answers in 4 ms, and in 300 ms when it is slow.
    Duration readTimeout = std::chrono::milliseconds(500);
    /// Time for which the store holds a long poll for a new configuration. A dead connection is detected after this
    /// time plus the read timeout, so it must stay below the time allowed for applying a configuration.
    Duration configWait = std::chrono::milliseconds(1200);
    /// Backoff after a failed read, doubled with each further failure up to `longestRetryPause`. The pause is a random
    /// time between half the backoff and the whole.
    Duration retryPause = std::chrono::milliseconds(150);
    Duration longestRetryPause = std::chrono::milliseconds(700);
    /// Age of the list of upstreams from which on it is requested from other entries too.
    Duration staleListAge = std::chrono::milliseconds(1100);
    /// Minimum interval between two requests for other entries' copies.
    Duration copyRequestInterval = std::chrono::milliseconds(400);
    /// Entries share their reads of the store, whose calls cost money, in fleets with more entries than this. A smaller
    /// fleet saves little and would depend on a single reader.
    std::size_t sharedReadsFleetSize = 5;
    /// Interval between reads when reads are shared, counted from the latest read of the same list by any entry, and
    /// the maximum random jitter added to it so that few entries read at once. The sum plus one failed read must stay
    /// below the time after which a leaving upstream gets no new work.
    Duration sharedListInterval = std::chrono::milliseconds(600);
    Duration sharedListJitter = std::chrono::milliseconds(300);
    /// Maximum age of the upstreams' reports when reads are shared: a digest that confirms the list does not carry
    /// them.
    Duration ownListInterval = std::chrono::milliseconds(2100);
    /// Maximum random time by which this interval is shortened.
    Duration ownListJitter = std::chrono::milliseconds(900);
    /// The list is taken from another entry of the own failure domain if that one has read it itself within this time;
    /// otherwise it is read from the store. With the interval between shared reads and a failed request for a copy, it
    /// must stay below the time after which a leaving upstream gets no new work.
    Duration copyableListAge = std::chrono::milliseconds(500);
    /// Number of entries that long-poll the store for a new configuration on behalf of the whole fleet; the entries
    /// with the smallest ids do. A new configuration is noticed late only if all of them fail at once.
    std::size_t configWaiters = 4;
    /// Time for which another entry's statement that it long-polls for a new configuration is valid. Entries announce
    /// their state every 500 ms.
    Duration waiterTimeout = std::chrono::milliseconds(1200);
};

/// Keeps the configuration and the list of upstreams current. Reads them from the store, and from the copies of other
/// entries while the store does not answer this entry.
class ClusterWatch
{
public:
    ClusterWatch(const ClusterWatchSettings &settings,
                 const RecordDecoder &decoder,
                 RelayCore &core,
                 std::uint64_t seed,
                 EventListener &listener);

    /// Appends the requests that are due at @p now.
    void tick(TimePoint now, std::vector<WatchRequest> &requests);
    void upstreamsRead(const Result<StoredUpstreams> &result, TimePoint now);
    void configRead(const Result<StoredConfig> &result, TimePoint now);
    /// @p result is also an error if the store has compacted the history after the requested revision.
    void configAwaited(const Result<StoredConfig> &result, TimePoint now);
    void copyReceived(const Result<RecordCopy> &result, TimePoint now);

    /// Records the state of the records that the entry @p id has announced.
    void noteEntry(const InstanceId &id, const EntryRecordStatus &knowledge, TimePoint now);
    /// Returns the state of this entry's records, without the address of its copy.
    [[nodiscard]] EntryRecordStatus knowledge(TimePoint now) const;
    /// Returns whether a read or a change has to be announced to other entries without delay, and clears that flag.
    [[nodiscard]] bool takeAnnouncementDue();
    /// Returns whether a change of the evacuated domains that was read from the store has to be announced to all other
    /// entries without delay, and clears that flag.
    [[nodiscard]] bool takeEvacuationAnnouncementDue();
    /// Removes entries that have not announced themselves for some time.
    void expire(TimePoint now);
    /// Returns the part @p contents of this entry's records for another entry.
    [[nodiscard]] RecordCopy copy(const CopyContents &contents, TimePoint now) const;
    /// Revision of the list of upstreams; 0 if there is none.
    [[nodiscard]] std::int64_t listRevision() const
    {
        return m_upstreams ? m_upstreams->revision.number : 0;
    }

private:
    struct KnownEntry
    {
        EntryRecordStatus knowledge;
        TimePoint lastHeard;
    };

    void applyConfig(const StoredRecord &record, std::string_view source, TimePoint now);
    /// Applies the evacuated domains that this entry has read.
    void applyEvacuations(const EvacuatedDomains &evacuated, TimePoint now);
    void applyUpstreams(const StoredUpstreams &upstreams, std::string_view source, TimePoint read, TimePoint now);
    /// Records the era of the store that @p source has named.
    void noteEra(StoreEra era, std::string_view source);
    /// Remembers that @p record was not applied.
    void rejectConfig(const StoredRecord &record);
    /// Records whether the store has answered; @p reason goes to the log when this changes.
    void noteStoreResult(bool answered, std::string_view reason, TimePoint now);
    /// Returns the pause after a failed read and advances the backoff.
    [[nodiscard]] Duration nextRetryPause();
    /// Returns the request for another entry's copy that is due now, or nothing if no copy is needed.
    [[nodiscard]] std::optional<FetchRecordCopy> nextCopy(TimePoint now);
    /// Returns the request for a copy of a newer configuration, or nothing if the store supplies it.
    [[nodiscard]] std::optional<FetchRecordCopy> nextConfigCopy();
    /// Returns the address of an entry whose copy has newer reports than this entry and makes a read of the store
    /// unnecessary; empty if there is none.
    [[nodiscard]] std::optional<std::string> reportSource(TimePoint now);
    /// True if the fleet is large enough to share reads of the store.
    [[nodiscard]] bool sharesReads() const;
    /// Returns the interval, with jitter, between a read by any entry and the next one of this entry.
    [[nodiscard]] Duration sharedReadPause();
    /// Returns the time of this entry's next read when reads are shared.
    [[nodiscard]] TimePoint nextSharedRead();
    /// True if enough entries with smaller ids long-poll the store for a new configuration.
    [[nodiscard]] bool othersAwaitConfig(TimePoint now) const;
    /// Records that another entry has read, at @p read, the same list as this entry has.
    void confirmList(TimePoint read);
    /// Returns the latest version in force at any entry, this one included.
    [[nodiscard]] RelayConfigVersion newestVersion() const;
    /// Version in force; 0 if there is none.
    [[nodiscard]] RelayConfigVersion configVersion() const;

    ClusterWatchSettings m_settings;
    const RecordDecoder *m_decoder;
    RelayCore *m_core;
    SeededRandom m_random;
    EventListener *m_listener;

    /// Record of the configuration in force.
    std::optional<StoredRecord> m_config;
    /// Revisions of the latest records that were unreadable or held no newer version.
    std::deque<RecordRevision> m_rejectedConfigs;
    /// Records of the list that describe upstreams. Other writers' records are not kept or copied to other entries.
    std::optional<StoredUpstreams> m_upstreams;
    /// Latest time, by this process's clock, at which the list is known to have matched the store.
    TimePoint m_listTime = TimePoint::min();
    /// Time at which this entry read its list from the store; the minimum if the list is another entry's copy. Only own
    /// reads are announced: a read time that is passed on appears more recent after each network delay.
    TimePoint m_ownListTime = TimePoint::min();
    /// Time at which the records of the list were read from the store, by this entry or by the one it has copied.
    TimePoint m_recordsTime = TimePoint::min();
    /// Time at which the records are read again if reads are shared.
    TimePoint m_recordsDue = TimePoint::min();
    std::uint64_t m_listDigest = 0;
    /// Keys of the unreadable records in the last list; each is logged once while it stays unreadable.
    std::set<std::string> m_unreadableRecords;

    bool m_listPending = false;
    bool m_configPending = false;
    bool m_copyRequestPending = false;
    /// True while the copy that has been requested may contain a configuration.
    bool m_configCopyPending = false;
    /// Revision of the store up to which changes of the operators' records have been seen.
    RecordRevision m_configSeenRevision;
    /// Evacuated domains at that revision.
    std::set<FailureDomain> m_seenEvacuations;
    /// Latest era of the store that it or another entry's copy has named.
    StoreEra m_storeEra;
    /// True if the configuration must be read before changes of it can be awaited.
    bool m_configReadNeeded = true;
    /// Latest version that another entry had announced when the pending read of the configuration began.
    RelayConfigVersion m_announcedBeforeRead;
    /// True if the store has returned an older configuration than another entry had announced, as a restored store
    /// does.
    bool m_storeLacksConfig = false;
    TimePoint m_nextList = TimePoint::min();
    TimePoint m_nextConfig = TimePoint::min();
    TimePoint m_nextCopyRequest = TimePoint::min();
    bool m_storeAvailable = true;
    bool m_announcementDue = false;
    bool m_evacuationAnnouncementDue = false;
    /// Current backoff, before jitter; zero after a successful read.
    Duration m_retryPause {};
    std::map<InstanceId, KnownEntry> m_entries;
};

} // namespace ibismast
