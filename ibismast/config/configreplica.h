#pragma once

#include "ibismast/config/configstate.h"
#include "ibismast/core/messages.h"

#include <deque>

namespace ibismast
{

/// Settings of `ConfigReplica`.
struct ConfigReplicaSettings
{
    /// Bytes of encoded records that are kept to answer peers and to show changes.
    std::size_t keptRecordBytes = 524'288;
    /// Bytes of records in one `ConfigUpdate`; a receiver that is further behind asks again.
    std::size_t updateBytes = 131'072;
};

/// Configuration that is in force in one process. Its revision never decreases.
class ConfigReplica
{
public:
    /// What became of an update.
    enum class Outcome : std::uint8_t {
        Applied,
        /// The update holds nothing newer.
        NothingNew,
        /// The update starts behind the replica's revision; nothing was applied.
        Gap,
        /// The update could not be decoded. Records before the malformed one were applied.
        Malformed,
    };

    explicit ConfigReplica(const ConfigReplicaSettings &settings = {});

    /// Applies an update of a peer.
    Outcome apply(const ConfigUpdate &update);
    /// Applies encoded records in ascending order; older ones are skipped.
    Outcome applyRecords(const std::vector<std::string> &records);
    /// Replaces the state by @p state if it is newer.
    Outcome applyState(ConfigState state);

    /// Returns what leads from @p have towards the own revision: records, or a snapshot if they are not kept.
    [[nodiscard]] ConfigUpdate updateSince(Revision have) const;
    /// Returns the kept records after @p revision.
    [[nodiscard]] std::vector<ConfigRecord> recordsSince(Revision revision) const;

    [[nodiscard]] const ConfigState &state() const;
    [[nodiscard]] Revision revision() const;

private:
    void keepRecord(std::string record);
    [[nodiscard]] Revision keptAfter() const;

    ConfigReplicaSettings m_settings;
    ConfigState m_state;
    /// Encoded records of the newest revisions, without gaps up to the own revision.
    std::deque<std::string> m_records;
    std::size_t m_recordBytes = 0;
    mutable std::string m_snapshot;
    mutable Revision m_snapshotRevision {-1};
};

} // namespace ibismast
