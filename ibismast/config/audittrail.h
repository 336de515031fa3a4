#pragma once

#include "ibismast/config/configstate.h"
#include "ibismast/core/resultcode.h"
#include "ibismast/store/storetransaction.h"

#include <deque>

namespace ibismast
{

/// One operator call and its outcome.
struct AuditRecord
{
    WallTime time;
    std::string who;
    std::string role;
    /// Name of the call, for example `apply`.
    std::string action;
    std::string changeId;
    /// Revision that the caller saw, and the one that the call led to; equal if it led to none.
    Revision from;
    Revision to;
    ResultCode code = ResultCode::Ok;
    std::string message;
    std::string diff;

    bool operator==(const AuditRecord &) const = default;
};

[[nodiscard]] std::string encodeAudit(const AuditRecord &record);
[[nodiscard]] std::optional<AuditRecord> decodeAudit(std::string_view bytes);

/// Settings of `AuditTrail`.
struct AuditTrailSettings
{
    std::size_t segmentBytes = 65'536;
    /// Segments that are kept; older ones are deleted.
    std::size_t keptSegments = 64;
    /// Longer diffs and messages are cut. The configuration log holds the whole change.
    std::size_t textBytes = 8'192;
    /// Records that wait for the store; further ones are counted and reported by one record.
    std::size_t longestQueue = 1'000;
    Duration timeout = std::chrono::seconds(10);
    Duration retryPause = std::chrono::seconds(1);
};

/// Place of the segments: value of `audit/head`.
struct AuditHead
{
    std::int64_t firstSegment = 1;
    std::int64_t lastSegment = 0;
    /// Ids of the newest writes, by which a lost answer is resolved.
    std::vector<std::string> recentWrites;
};

[[nodiscard]] std::optional<AuditHead> decodeAuditHead(std::string_view bytes);
[[nodiscard]] std::string auditSegmentKey(std::int64_t segment);
inline constexpr std::string_view AuditHeadKey = "audit/head";

/// Writer of the audit trail: bounded segments under `audit/log/`, one CAS on `audit/head` per batch of records.
///
/// Accepted changes are also in the configuration log with author and diff, so a process that ends before its audit
/// record is written loses no accepted change.
class AuditTrail
{
public:
    /// @p writer names this process run, for write ids.
    AuditTrail(const AuditTrailSettings &settings, std::string writer, StoreCallIds &ids);

    /// Queues @p record.
    void add(AuditRecord record, TimePoint now, StoreCalls &out);
    /// Handles an answer; returns false if it belongs to another call.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    void tick(TimePoint now, StoreCalls &out);
    /// Number of records that are not written yet.
    [[nodiscard]] std::size_t queued() const;

private:
    void advance(TimePoint now, StoreCalls &out);
    void handleRead(const StoreReadResult &result, TimePoint now, StoreCalls &out);
    void commit(TimePoint now, StoreCalls &out);
    void finish(const TransactionOutcome &outcome, TimePoint now);
    void read(std::string key, StoreCalls &out);

    AuditTrailSettings m_settings;
    std::string m_writer;
    StoreCallIds *m_ids;
    std::deque<std::string> m_queue;
    std::int64_t m_dropped = 0;
    AuditHead m_head;
    StoreRevision m_headRevision;
    std::string m_segment;
    bool m_synced = false;
    StoreCallId m_reading;
    bool m_readingSegment = false;
    std::optional<StoreTransaction> m_transaction;
    /// Id and size of the batch at the front of the queue; kept until it is known to be written.
    std::string m_writeId;
    std::size_t m_writeSize = 0;
    std::uint64_t m_writes = 0;
    AuditHead m_nextHead;
    std::string m_nextSegment;
    TimePoint m_retryAt {};
};

/// Reads the newest records of the audit trail.
class AuditReader
{
public:
    explicit AuditReader(StoreCallIds &ids);

    /// Begins to read up to @p limit records.
    void start(std::size_t limit, StoreCalls &out);
    bool handle(const StoreAnswer &answer, StoreCalls &out);
    [[nodiscard]] bool busy() const;
    /// Newest first; complete once the reader is not busy.
    [[nodiscard]] const std::vector<AuditRecord> &records() const;
    /// Empty if the reading succeeded.
    [[nodiscard]] const std::string &failure() const;

private:
    void readNext(StoreCalls &out);

    StoreCallIds *m_ids;
    StoreCallId m_pending;
    std::size_t m_limit = 0;
    AuditHead m_head;
    bool m_haveHead = false;
    std::vector<AuditRecord> m_records;
    std::string m_failure;
};

} // namespace ibismast
