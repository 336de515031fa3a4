#include "ibismast/config/configlogreader.h"

namespace ibismast
{

namespace
{

// Eight segments of 32 KB keep one answer well below the store's limit of 1 MB.
constexpr std::int64_t SegmentsPerRead = 8;
// A compaction between two reads removes keys; one restart then suffices, unless compactions follow each other.
constexpr int MostRestarts = 3;

} // namespace

ConfigLogReader::ConfigLogReader(ConfigReplica &replica, StoreCallIds &ids) : m_replica(&replica), m_ids(&ids) { }

bool ConfigLogReader::busy() const
{
    return m_step != Step::Idle;
}

std::optional<ConfigLogReader::Reading> ConfigLogReader::takeReading()
{
    return std::exchange(m_finished, std::nullopt);
}

void ConfigLogReader::start(bool wantNewestSegment, StoreCalls &out)
{
    if (!busy()) {
        m_wantNewestSegment = wantNewestSegment;
        m_restarts = 0;
        m_finished.reset();
        readHead(out);
    }
}

void ConfigLogReader::read(Step step, std::string key, std::string end, StoreCalls &out)
{
    m_step = step;
    m_pending = m_ids->next();
    const std::int64_t limit = end.empty() ? 1 : SegmentsPerRead;
    out.push_back({m_pending, StoreRead {std::move(key), std::move(end), limit}});
}

void ConfigLogReader::readHead(StoreCalls &out)
{
    m_reading = {};
    m_snapshot.clear();
    m_snapshotPart = 0;
    read(Step::Head, std::string(ConfigHeadKey), {}, out);
}

void ConfigLogReader::restart(StoreCalls &out)
{
    m_restarts += 1;
    if (m_restarts > MostRestarts) {
        finish("the configuration log in the store is incomplete");
    } else {
        readHead(out);
    }
}

void ConfigLogReader::finish(std::string failure)
{
    m_step = Step::Idle;
    m_reading.failure = std::move(failure);
    m_finished = std::move(m_reading);
}

bool ConfigLogReader::handle(const StoreAnswer &answer, StoreCalls &out)
{
    if (!busy() || answer.id != m_pending) {
        return false;
    }
    const auto *result = std::get_if<StoreReadResult>(&answer.outcome);
    if (!result) {
        const auto *failure = std::get_if<StoreFailure>(&answer.outcome);
        finish(failure ? failure->message : "unexpected answer of the store");
    } else if (m_step == Step::Head) {
        handleHead(*result, out);
    } else if (m_step == Step::Snapshot) {
        handleSnapshot(*result, out);
    } else {
        handleSegments(*result, out);
    }
    return true;
}

void ConfigLogReader::handleHead(const StoreReadResult &result, StoreCalls &out)
{
    if (result.entries.empty()) {
        finish({});
        return;
    }
    auto head = decodeHead(result.entries.front().value);
    if (!head) {
        finish("the head of the configuration log is malformed");
        return;
    }
    m_reading.head = std::move(*head);
    m_reading.headRevision = result.entries.front().modRevision;
    readRest(out);
}

void ConfigLogReader::readRest(StoreCalls &out)
{
    const ConfigHead &head = m_reading.head;
    if (m_replica->revision() >= head.revision) {
        if (m_wantNewestSegment && m_reading.newestSegment.empty() && !head.segments.empty()) {
            read(Step::Segments, configSegmentKey(head.segments.back()), {}, out);
        } else {
            finish({});
        }
        return;
    }
    const auto segment = head.segmentOf(m_replica->revision() + Revision(1));
    if (!segment || (m_replica->revision() == Revision() && head.snapshot > Revision())) {
        read(Step::Snapshot, configSnapshotKey(head.snapshot, m_snapshotPart), {}, out);
    } else {
        read(Step::Segments, configSegmentKey(*segment), std::string(ConfigLogEnd), out);
    }
}

void ConfigLogReader::handleSnapshot(const StoreReadResult &result, StoreCalls &out)
{
    if (result.entries.empty()) {
        restart(out);
        return;
    }
    m_snapshot += result.entries.front().value;
    m_snapshotPart += 1;
    if (m_snapshotPart < m_reading.head.snapshotParts) {
        readRest(out);
        return;
    }
    auto state = decodeState(m_snapshot);
    m_snapshot.clear();
    m_snapshotPart = 0;
    if (!state) {
        finish("the snapshot of the configuration is malformed");
        return;
    }
    m_replica->applyState(std::move(*state));
    readRest(out);
}

void ConfigLogReader::handleSegments(const StoreReadResult &result, StoreCalls &out)
{
    const Revision before = m_replica->revision();
    const bool caughtUp = before >= m_reading.head.revision;
    for (const StoreEntry &entry : result.entries) {
        const auto records = splitSegment(entry.value);
        if (!records || m_replica->applyRecords(*records) == ConfigReplica::Outcome::Malformed) {
            finish("a segment of the configuration log is malformed");
            return;
        }
        if (entry.key == configSegmentKey(m_reading.head.segments.back())) {
            m_reading.newestSegment = entry.value;
        }
    }
    if (caughtUp ? m_reading.newestSegment.empty() : m_replica->revision() == before) {
        restart(out);
    } else {
        readRest(out);
    }
}

} // namespace ibismast
