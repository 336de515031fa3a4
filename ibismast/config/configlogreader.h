#pragma once

#include "ibismast/config/configlayout.h"
#include "ibismast/config/configreplica.h"
#include "ibismast/store/keyvaluestore.h"

namespace ibismast
{

/// Brings a replica to the revision of the log's head: reads the head, then the missing segments or the snapshot.
class ConfigLogReader
{
public:
    /// What a reading came to.
    struct Reading
    {
        /// Empty if the reading succeeded.
        std::string failure;
        ConfigHead head;
        /// Store revision of the head; 0 if there is no head yet.
        StoreRevision headRevision;
        /// Value of the newest segment, if it was asked for.
        std::string newestSegment;
    };

    ConfigLogReader(ConfigReplica &replica, StoreCallIds &ids);

    /// Begins a reading; does nothing if one is under way. A writer also needs the newest segment.
    void start(bool wantNewestSegment, StoreCalls &out);
    /// Handles an answer; returns false if it belongs to another call.
    bool handle(const StoreAnswer &answer, StoreCalls &out);
    [[nodiscard]] bool busy() const;
    /// Returns the result of a reading that has ended, once.
    [[nodiscard]] std::optional<Reading> takeReading();

private:
    enum class Step : std::uint8_t {
        Idle,
        Head,
        Snapshot,
        Segments,
    };

    void read(Step step, std::string key, std::string end, StoreCalls &out);
    void readHead(StoreCalls &out);
    void handleHead(const StoreReadResult &result, StoreCalls &out);
    void handleSnapshot(const StoreReadResult &result, StoreCalls &out);
    void handleSegments(const StoreReadResult &result, StoreCalls &out);
    void readRest(StoreCalls &out);
    void restart(StoreCalls &out);
    void finish(std::string failure);

    ConfigReplica *m_replica;
    StoreCallIds *m_ids;
    Step m_step = Step::Idle;
    StoreCallId m_pending;
    Reading m_reading;
    std::optional<Reading> m_finished;
    std::string m_snapshot;
    std::int64_t m_snapshotPart = 0;
    bool m_wantNewestSegment = false;
    int m_restarts = 0;
};

} // namespace ibismast
