#pragma once

#include "ibismast/config/configissue.h"
#include "ibismast/config/configlogreader.h"
#include "ibismast/core/resultcode.h"
#include "ibismast/store/storetransaction.h"

#include <deque>
#include <functional>
#include <memory>

namespace ibismast
{

/// Settings of `ConfigLog`.
struct ConfigLogSettings
{
    /// A segment that would grow beyond this size is closed.
    std::size_t segmentBytes = 32'768;
    /// Largest encoded change. Segment, head and change of one transaction stay below the store's limit of 1 MB.
    std::size_t changeBytes = 262'144;
    /// Change ids kept in the head, by which lost answers are resolved and repeated changes recognised.
    std::size_t recentChanges = 256;
    /// Changes that one transaction may hold.
    std::size_t batchChanges = 64;
    /// Revisions between two snapshots.
    std::int64_t snapshotInterval = 1'000;
    std::size_t snapshotPartBytes = 524'288;
    /// Segments kept for history and rollback; those behind the snapshot are always kept.
    std::size_t keptSegments = 256;
    /// Time after which a change gets an outcome even if the store does not answer.
    Duration timeout = std::chrono::seconds(10);
    /// Pause before the log is read again after a failure.
    Duration retryPause = std::chrono::milliseconds(200);

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Change that an operator asks for.
struct ConfigChange
{
    /// Unique id chosen by the client, so that a repeated call is recognised.
    std::string changeId;
    std::string author;
    std::string reason;
    WallTime time;
    /// New values of each object; nothing removes it.
    std::map<ObjectName, std::optional<ObjectValues>> edits;
    /// Version of each object that the change is based on; 0 if it must not exist. Objects that are not named may have
    /// any version.
    std::map<ObjectName, Revision> expected;
};

/// What became of a change.
struct ChangeOutcome
{
    std::string changeId;
    /// `Ok`, `ConfigConflict`, `ConfigInvalid`, `StoreUnavailable` (not written) or `ConfigOutcomeUnknown`.
    ResultCode code = ResultCode::Ok;
    /// Revision of the change if it was accepted, else the revision that it was checked against.
    Revision revision;
    std::vector<ConfigEdit> edits;
    /// The accepted changes that came between, if the code is `ConfigConflict`.
    std::vector<ConfigRecord> between;
    ConfigIssues issues;
    std::string message;
};

/// Writer of the configuration log: one CAS on the head for each batch of changes.
class ConfigLog
{
public:
    /// @p replica is shared with the relay of the process.
    ConfigLog(const ConfigLogSettings &settings, ConfigReplica &replica, StoreCallIds &ids);
    ~ConfigLog();

    /// Queues @p change; its outcome comes from `takeOutcomes`.
    void submit(ConfigChange change, TimePoint now, StoreCalls &out);
    /// Handles an answer; returns false if it belongs to another call.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    /// Retries and gives up what is due.
    void tick(TimePoint now, StoreCalls &out);
    /// Returns the outcomes since the last call.
    [[nodiscard]] std::vector<ChangeOutcome> takeOutcomes();
    /// True while a call to the store or a change is pending.
    [[nodiscard]] bool busy() const;

private:
    struct Pending
    {
        ConfigChange change;
        TimePoint deadline {};
    };
    struct Batch
    {
        std::vector<ConfigRecord> records;
        std::vector<std::string> encoded;
        ConfigHead head;
        std::string segment;
    };
    struct Compaction;

    void advance(TimePoint now, StoreCalls &out);
    void expire(TimePoint now);
    /// Moves accepted changes of the queue to the batch; returns false if the log must be read first.
    bool fillBatch();
    [[nodiscard]] ChangeOutcome check(const ConfigChange &change, const ConfigState &state) const;
    /// Resolves the first change of the queue; returns its record if it is to be written.
    [[nodiscard]] std::optional<ConfigRecord> takeFirst(const ConfigState &state, bool &stale);
    void requeueBatch();
    void read(StoreCalls &out);
    void commitBatch(TimePoint now, StoreCalls &out);
    void send(TimePoint giveUpAt, std::function<ChangeEvidence(const ConfigHead &)> evidence, StoreCalls &out);
    void finishTransaction(const TransactionOutcome &outcome, TimePoint now, StoreCalls &out);
    void batchApplied();
    void resolve(ChangeOutcome outcome);
    void readingEnded(const ConfigLogReader::Reading &reading, TimePoint now);
    void startCompaction();
    void advanceCompaction(TimePoint now, StoreCalls &out);
    bool handleCompaction(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    [[nodiscard]] ConfigHead compactedHead(std::vector<std::string> &deletes) const;

    ConfigLogSettings m_settings;
    ConfigReplica *m_replica;
    StoreCallIds *m_ids;
    ConfigLogReader m_reader;
    std::deque<Pending> m_queue;
    std::vector<Pending> m_inFlight;
    std::vector<ChangeOutcome> m_outcomes;
    Batch m_batch;
    std::optional<StoreTransaction> m_transaction;
    std::unique_ptr<Compaction> m_compaction;
    ConfigHead m_head;
    StoreRevision m_headRevision;
    /// Encoded records of the newest segment.
    std::string m_segment;
    /// True if `m_head` is as the store had it last, as far as is known.
    bool m_synced = false;
    /// True if nothing was committed since the last reading.
    bool m_fresh = false;
    TimePoint m_retryAt {};
};

} // namespace ibismast
