#include "ibismast/config/audittrail.h"

#include "ibismast/config/configlayout.h"
#include "ibismast/config/fieldcodec.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// First field of an encoded head; a later format gets another number.
constexpr std::int64_t HeadFormat = 1;
// A write is resolved within seconds; this many others do not pass in that time.
constexpr std::size_t RecentWrites = 64;
// Records of one write; with cut texts it stays far below the store's limit of 1 MB.
constexpr std::size_t BatchRecords = 16;
constexpr std::string_view CutMark = "... (cut)";

std::string encodeAuditHead(const AuditHead &head)
{
    FieldWriter writer;
    writer.number(HeadFormat).number(head.firstSegment).number(head.lastSegment);
    writer.number(static_cast<std::int64_t>(head.recentWrites.size()));
    for (const std::string &id : head.recentWrites) {
        writer.text(id);
    }
    return writer.take();
}

void cut(std::string &text, std::size_t length)
{
    if (text.size() > length) {
        text.resize(length);
        text += CutMark;
    }
}

bool holdsWrite(const AuditHead &head, const std::string &id)
{
    return std::ranges::find(head.recentWrites, id) != head.recentWrites.end();
}

} // namespace

std::string encodeAudit(const AuditRecord &record)
{
    FieldWriter writer;
    writer.number(record.time.value()).text(record.who).text(record.role).text(record.action).text(record.changeId);
    writer.number(record.from.value()).number(record.to.value()).number(static_cast<std::int64_t>(record.code));
    writer.text(record.message).text(record.diff);
    return writer.take();
}

std::optional<AuditRecord> decodeAudit(std::string_view bytes)
{
    FieldReader reader(bytes);
    AuditRecord record;
    record.time = WallTime(reader.number());
    record.who = reader.text();
    record.role = reader.text();
    record.action = reader.text();
    record.changeId = reader.text();
    record.from = Revision(reader.number());
    record.to = Revision(reader.number());
    record.code = static_cast<ResultCode>(reader.number());
    record.message = reader.text();
    record.diff = reader.text();
    return reader.ok() && reader.atEnd() ? std::optional(std::move(record)) : std::nullopt;
}

std::optional<AuditHead> decodeAuditHead(std::string_view bytes)
{
    FieldReader reader(bytes);
    if (reader.number() != HeadFormat) {
        return std::nullopt;
    }
    AuditHead head;
    head.firstSegment = reader.number();
    head.lastSegment = reader.number();
    for (std::size_t left = reader.count(); left > 0; --left) {
        head.recentWrites.push_back(reader.text());
    }
    return reader.ok() && reader.atEnd() ? std::optional(std::move(head)) : std::nullopt;
}

std::string auditSegmentKey(std::int64_t segment)
{
    const std::string digits = std::to_string(segment);
    return "audit/log/" + std::string(digits.size() < 12 ? 12 - digits.size() : 0, '0') + digits;
}

AuditTrail::AuditTrail(const AuditTrailSettings &settings, std::string writer, StoreCallIds &ids)
    : m_settings(settings), m_writer(std::move(writer)), m_ids(&ids)
{
}

std::size_t AuditTrail::queued() const
{
    return m_queue.size();
}

void AuditTrail::add(AuditRecord record, TimePoint now, StoreCalls &out)
{
    if (m_queue.size() >= m_settings.longestQueue) {
        m_dropped += 1;
        return;
    }
    cut(record.diff, m_settings.textBytes);
    cut(record.message, m_settings.textBytes);
    m_queue.push_back(encodeAudit(record));
    advance(now, out);
}

void AuditTrail::read(std::string key, StoreCalls &out)
{
    m_reading = m_ids->next();
    out.push_back({m_reading, StoreRead {std::move(key), {}, 1}});
}

bool AuditTrail::handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out)
{
    if (m_transaction && m_transaction->handle(answer, now, out)) {
        if (m_transaction->outcome()) {
            finish(*m_transaction->outcome(), now);
            advance(now, out);
        }
        return true;
    }
    if (m_reading == StoreCallId() || answer.id != m_reading) {
        return false;
    }
    m_reading = StoreCallId();
    if (const auto *result = std::get_if<StoreReadResult>(&answer.outcome)) {
        handleRead(*result, now, out);
    } else {
        m_retryAt = now + m_settings.retryPause;
    }
    return true;
}

void AuditTrail::handleRead(const StoreReadResult &result, TimePoint now, StoreCalls &out)
{
    if (m_readingSegment) {
        m_segment = result.entries.empty() ? std::string() : result.entries.front().value;
        m_synced = true;
        advance(now, out);
        return;
    }
    m_head = {};
    m_headRevision = {};
    m_segment.clear();
    if (!result.entries.empty()) {
        m_head = decodeAuditHead(result.entries.front().value).value_or(AuditHead());
        m_headRevision = result.entries.front().modRevision;
    }
    if (!m_writeId.empty() && holdsWrite(m_head, m_writeId)) {
        // The write whose outcome was uncertain took effect.
        m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(m_writeSize));
        m_writeId.clear();
    }
    if (m_head.lastSegment > 0) {
        m_readingSegment = true;
        read(auditSegmentKey(m_head.lastSegment), out);
    } else {
        m_synced = true;
        advance(now, out);
    }
}

void AuditTrail::tick(TimePoint now, StoreCalls &out)
{
    if (m_transaction) {
        m_transaction->tick(now);
        if (m_transaction->outcome()) {
            finish(*m_transaction->outcome(), now);
        }
    }
    advance(now, out);
}

void AuditTrail::advance(TimePoint now, StoreCalls &out)
{
    if (m_dropped > 0 && m_queue.size() < m_settings.longestQueue) {
        AuditRecord record;
        record.who = m_writer;
        record.action = "dropped";
        record.code = ResultCode::StoreUnavailable;
        record.message = std::to_string(m_dropped) + " audit records were dropped while the store was unavailable";
        m_queue.push_back(encodeAudit(record));
        m_dropped = 0;
    }
    if (m_queue.empty() || m_transaction || m_reading != StoreCallId() || now < m_retryAt) {
        return;
    }
    if (m_synced) {
        commit(now, out);
    } else {
        m_readingSegment = false;
        read(std::string(AuditHeadKey), out);
    }
}

void AuditTrail::commit(TimePoint now, StoreCalls &out)
{
    if (m_writeId.empty()) {
        m_writes += 1;
        m_writeId = m_writer + '-' + std::to_string(m_writes);
        m_writeSize = std::min(m_queue.size(), BatchRecords);
    }
    std::string added;
    for (std::size_t index = 0; index < m_writeSize; ++index) {
        appendToSegment(added, m_queue[index]);
    }
    StoreTransactionPlan plan;
    m_nextHead = m_head;
    if (m_nextHead.lastSegment == 0 || m_segment.size() + added.size() > m_settings.segmentBytes) {
        m_nextHead.lastSegment += 1;
        m_nextSegment = std::move(added);
    } else {
        m_nextSegment = m_segment + added;
    }
    while (m_nextHead.lastSegment - m_nextHead.firstSegment >= static_cast<std::int64_t>(m_settings.keptSegments)) {
        plan.call.deletes.push_back(auditSegmentKey(m_nextHead.firstSegment));
        m_nextHead.firstSegment += 1;
    }
    m_nextHead.recentWrites.push_back(m_writeId);
    if (m_nextHead.recentWrites.size() > RecentWrites) {
        m_nextHead.recentWrites.erase(m_nextHead.recentWrites.begin());
    }
    plan.evidenceKey = AuditHeadKey;
    plan.call.compares = {{plan.evidenceKey, m_headRevision}};
    plan.call.puts = {{plan.evidenceKey, encodeAuditHead(m_nextHead), {}},
                      {auditSegmentKey(m_nextHead.lastSegment), m_nextSegment, {}}};
    plan.evidence = [id = m_writeId](const std::string &value) {
        const auto head = decodeAuditHead(value);
        if (!head) {
            return ChangeEvidence::CannotTell;
        }
        return holdsWrite(*head, id) ? ChangeEvidence::Applied : ChangeEvidence::NotApplied;
    };
    plan.giveUpAt = now + m_settings.timeout;
    m_transaction.emplace(std::move(plan), *m_ids);
    m_transaction->start(out);
}

void AuditTrail::finish(const TransactionOutcome &outcome, TimePoint now)
{
    const auto *applied = std::get_if<TransactionApplied>(&outcome);
    m_synced = applied && applied->revision != StoreRevision();
    if (applied) {
        m_head = std::move(m_nextHead);
        m_segment = std::move(m_nextSegment);
        m_headRevision = applied->revision;
        m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(m_writeSize));
        m_writeId.clear();
    } else if (!std::holds_alternative<TransactionConflict>(outcome)) {
        m_retryAt = now + m_settings.retryPause;
    }
    m_transaction.reset();
}

AuditReader::AuditReader(StoreCallIds &ids) : m_ids(&ids) { }

bool AuditReader::busy() const
{
    return m_pending != StoreCallId();
}

const std::vector<AuditRecord> &AuditReader::records() const
{
    return m_records;
}

const std::string &AuditReader::failure() const
{
    return m_failure;
}

void AuditReader::start(std::size_t limit, StoreCalls &out)
{
    m_limit = limit;
    m_haveHead = false;
    m_records.clear();
    m_failure.clear();
    readNext(out);
}

void AuditReader::readNext(StoreCalls &out)
{
    m_pending = m_ids->next();
    std::string key = m_haveHead ? auditSegmentKey(m_head.lastSegment) : std::string(AuditHeadKey);
    out.push_back({m_pending, StoreRead {std::move(key), {}, 1}});
}

bool AuditReader::handle(const StoreAnswer &answer, StoreCalls &out)
{
    if (!busy() || answer.id != m_pending) {
        return false;
    }
    m_pending = StoreCallId();
    const auto *result = std::get_if<StoreReadResult>(&answer.outcome);
    if (!result) {
        const auto *failure = std::get_if<StoreFailure>(&answer.outcome);
        m_failure = failure ? failure->message : "unexpected answer of the store";
        return true;
    }
    if (!m_haveHead) {
        m_haveHead = true;
        m_head = result->entries.empty() ? AuditHead()
                                         : decodeAuditHead(result->entries.front().value).value_or(AuditHead());
    } else {
        // A segment that is gone was deleted since the head was read, and so are those before it.
        m_head.lastSegment = result->entries.empty() ? 0 : m_head.lastSegment - 1;
        const auto bytes = result->entries.empty() ? std::nullopt : splitSegment(result->entries.front().value);
        for (std::size_t left = bytes ? bytes->size() : 0; left > 0 && m_records.size() < m_limit; --left) {
            if (auto record = decodeAudit((*bytes)[left - 1])) {
                m_records.push_back(std::move(*record));
            }
        }
    }
    if (m_records.size() < m_limit && m_head.lastSegment >= m_head.firstSegment) {
        readNext(out);
    }
    return true;
}

} // namespace ibismast
