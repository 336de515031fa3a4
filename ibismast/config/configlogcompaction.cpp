#include "ibismast/config/configlogcompaction.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// The next change starts another attempt, so a compaction need not outlast an outage.
constexpr int MostFailures = 3;

} // namespace

void ConfigLog::startCompaction()
{
    m_compaction = std::make_unique<Compaction>();
    m_compaction->revision = m_replica->revision();
    const std::string bytes = encodeState(m_replica->state());
    for (std::size_t offset = 0; offset < bytes.size(); offset += m_settings.snapshotPartBytes) {
        m_compaction->parts.push_back(bytes.substr(offset, m_settings.snapshotPartBytes));
    }
}

ConfigHead ConfigLog::compactedHead(std::vector<std::string> &deletes) const
{
    ConfigHead head = m_head;
    for (std::int64_t part = 0; head.snapshot > Revision() && part < head.snapshotParts; ++part) {
        deletes.push_back(configSnapshotKey(head.snapshot, part));
    }
    head.snapshot = m_compaction->revision;
    head.snapshotParts = static_cast<std::int64_t>(m_compaction->parts.size());
    // A segment may go if the one behind it still begins at or before the first revision after the snapshot.
    while (head.segments.size() > m_settings.keptSegments && head.segments[1] <= head.snapshot + Revision(1)) {
        deletes.push_back(configSegmentKey(head.segments.front()));
        head.segments.erase(head.segments.begin());
    }
    return head;
}

void ConfigLog::advanceCompaction(TimePoint now, StoreCalls &out)
{
    Compaction &compaction = *m_compaction;
    if (compaction.pending != StoreCallId()) {
        return;
    }
    if (m_head.snapshot >= compaction.revision) {
        // Another writer has stored a newer snapshot. The same one has the same keys, which must stay.
        if (m_head.snapshot > compaction.revision) {
            StoreTransactionCall removal;
            for (std::size_t part = 0; part < compaction.next; ++part) {
                removal.deletes.push_back(configSnapshotKey(compaction.revision, static_cast<std::int64_t>(part)));
            }
            out.push_back({m_ids->next(), std::move(removal)});
        }
        m_compaction.reset();
        advance(now, out);
        return;
    }
    if (compaction.next < compaction.parts.size()) {
        // Needs no compare: the key fixes the value, and no head names the part yet.
        const std::string key = configSnapshotKey(compaction.revision, static_cast<std::int64_t>(compaction.next));
        compaction.pending = m_ids->next();
        out.push_back(
            {compaction.pending, StoreTransactionCall {{}, {{key, compaction.parts[compaction.next], {}}}, {}, {}}});
        return;
    }
    std::vector<std::string> deletes;
    m_batch = {};
    m_batch.head = compactedHead(deletes);
    send(
        now + m_settings.timeout,
        [revision = compaction.revision](const ConfigHead &head) {
            return head.snapshot >= revision ? ChangeEvidence::Applied : ChangeEvidence::NotApplied;
        },
        out);
}

bool ConfigLog::handleCompaction(const StoreAnswer &answer, TimePoint now, StoreCalls &out)
{
    if (!m_compaction || answer.id != m_compaction->pending) {
        return false;
    }
    m_compaction->pending = StoreCallId();
    if (std::holds_alternative<StoreTransactionResult>(answer.outcome)) {
        m_compaction->next += 1;
    } else {
        m_compaction->failures += 1;
        m_retryAt = now + m_settings.retryPause;
        if (m_compaction->failures > MostFailures) {
            m_compaction.reset();
        }
    }
    advance(now, out);
    return true;
}

} // namespace ibismast
