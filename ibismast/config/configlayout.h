#pragma once

#include "ibismast/config/configstate.h"

/// Keys and values of the configuration in the store.
///
/// `config/head` is the only key that writers race for; each transaction that writes another key compares it.
/// `config/log/<first revision>` holds a segment of records, `config/snapshot/<revision>/<part>` a part of a state.
namespace ibismast
{

/// Value of `config/head`.
struct ConfigHead
{
    Revision revision;
    /// Revision of the newest snapshot; 0 if there is none.
    Revision snapshot;
    std::int64_t snapshotParts = 0;
    /// First revision of each segment that is kept, in ascending order.
    std::vector<Revision> segments;
    /// Change ids of the newest revisions, in ascending order.
    std::vector<std::pair<Revision, std::string>> recent;

    bool operator==(const ConfigHead &) const = default;

    /// Returns the revision that was accepted for @p changeId, if it is among the recent ones.
    [[nodiscard]] std::optional<Revision> findChange(std::string_view changeId) const;
    /// Returns the first revision of the segment that holds @p wanted, if it is kept.
    [[nodiscard]] std::optional<Revision> segmentOf(Revision wanted) const;
};

inline constexpr std::string_view ConfigHeadKey = "config/head";
/// End of the range that holds the head and all segments, but no snapshots.
inline constexpr std::string_view ConfigLogEnd = "config/log0";

[[nodiscard]] std::string configSegmentKey(Revision first);
[[nodiscard]] std::string configSnapshotKey(Revision revision, std::int64_t part);

[[nodiscard]] std::string encodeHead(const ConfigHead &head);
[[nodiscard]] std::optional<ConfigHead> decodeHead(std::string_view bytes);

/// Appends an encoded record to an encoded segment.
void appendToSegment(std::string &segment, std::string_view record);
/// Returns the encoded records of a segment, or nothing if it is malformed.
[[nodiscard]] std::optional<std::vector<std::string>> splitSegment(std::string_view segment);

} // namespace ibismast
