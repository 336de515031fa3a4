#include "ibismast/config/configlog.h"

#include "ibismast/config/configdiff.h"
#include "ibismast/config/configlogcompaction.h"
#include "ibismast/config/declarations.h"

#include <algorithm>

namespace ibismast
{

Result<Success> ConfigLogSettings::validate() const
{
    const auto invalid = [](const std::string &field) {
        return Error {ResultCode::SettingsInvalid, "ConfigLogSettings::" + field, std::nullopt};
    };
    if (segmentBytes == 0 || segmentBytes > 262'144) {
        return invalid("segmentBytes must be 1 to 262144");
    }
    if (changeBytes == 0 || changeBytes > 262'144) {
        return invalid("changeBytes must be 1 to 262144");
    }
    if (snapshotPartBytes == 0 || snapshotPartBytes > 1'000'000) {
        return invalid("snapshotPartBytes must be 1 to 1000000");
    }
    if (recentChanges < batchChanges) {
        return invalid("recentChanges must be at least batchChanges");
    }
    if (batchChanges == 0) {
        return invalid("batchChanges must be positive");
    }
    if (snapshotInterval < 1) {
        return invalid("snapshotInterval must be positive");
    }
    if (timeout <= Duration::zero() || retryPause <= Duration::zero()) {
        return invalid("timeout and retryPause must be positive");
    }
    return Success();
}

ConfigLog::ConfigLog(const ConfigLogSettings &settings, ConfigReplica &replica, StoreCallIds &ids)
    : m_settings(settings), m_replica(&replica), m_ids(&ids), m_reader(replica, ids)
{
}

ConfigLog::~ConfigLog() = default;

bool ConfigLog::busy() const
{
    return m_transaction || m_reader.busy() || !m_queue.empty() || m_compaction;
}

std::vector<ChangeOutcome> ConfigLog::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

void ConfigLog::resolve(ChangeOutcome outcome)
{
    m_outcomes.push_back(std::move(outcome));
}

void ConfigLog::submit(ConfigChange change, TimePoint now, StoreCalls &out)
{
    m_queue.push_back({std::move(change), now + m_settings.timeout});
    advance(now, out);
}

bool ConfigLog::handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out)
{
    if (m_reader.handle(answer, out)) {
        if (const auto reading = m_reader.takeReading()) {
            readingEnded(*reading, now);
            advance(now, out);
        }
        return true;
    }
    if (m_transaction && m_transaction->handle(answer, now, out)) {
        if (const auto outcome = m_transaction->outcome()) {
            finishTransaction(*outcome, now, out);
        }
        return true;
    }
    return handleCompaction(answer, now, out);
}

void ConfigLog::tick(TimePoint now, StoreCalls &out)
{
    if (m_transaction) {
        m_transaction->tick(now);
        if (const auto outcome = m_transaction->outcome()) {
            finishTransaction(*outcome, now, out);
        }
    }
    advance(now, out);
}

void ConfigLog::expire(TimePoint now)
{
    std::erase_if(m_queue, [&](const Pending &pending) {
        if (now < pending.deadline) {
            return false;
        }
        ChangeOutcome outcome;
        outcome.changeId = pending.change.changeId;
        outcome.code = ResultCode::StoreUnavailable;
        outcome.revision = m_replica->revision();
        outcome.message = "the store did not answer in time; the change was not written";
        resolve(std::move(outcome));
        return true;
    });
}

void ConfigLog::read(StoreCalls &out)
{
    m_synced = false;
    m_reader.start(true, out);
}

void ConfigLog::readingEnded(const ConfigLogReader::Reading &reading, TimePoint now)
{
    m_head = reading.head;
    m_headRevision = reading.headRevision;
    m_segment = reading.newestSegment;
    // The replica is ahead of the head if a peer's update arrived between; the next reading will see the same.
    m_synced = reading.failure.empty() && m_replica->revision() == m_head.revision;
    m_fresh = m_synced;
    if (!m_synced) {
        m_retryAt = now + m_settings.retryPause;
    }
}

void ConfigLog::advance(TimePoint now, StoreCalls &out)
{
    expire(now);
    if (m_transaction || m_reader.busy() || now < m_retryAt || (m_queue.empty() && !m_compaction)) {
        return;
    }
    if (!m_synced || m_replica->revision() != m_head.revision) {
        read(out);
    } else if (m_compaction) {
        advanceCompaction(now, out);
    } else if (!fillBatch()) {
        requeueBatch();
        read(out);
    } else if (!m_batch.records.empty()) {
        commitBatch(now, out);
    }
}

ChangeOutcome ConfigLog::check(const ConfigChange &change, const ConfigState &state) const
{
    ChangeOutcome outcome;
    outcome.changeId = change.changeId;
    outcome.revision = state.revision;
    Revision oldest = state.revision;
    for (const auto &[name, version] : change.expected) {
        const auto object = state.objects.find(name);
        const Revision present = object == state.objects.end() ? Revision() : object->second.version;
        if (present != version) {
            outcome.code = ResultCode::ConfigConflict;
            outcome.message += (outcome.message.empty() ? "" : "\n") + std::string("[") + name + "] has version "
                + std::to_string(present.value()) + ", the change expects " + std::to_string(version.value());
            oldest = std::min(oldest, version);
        }
    }
    if (outcome.code != ResultCode::Ok) {
        for (ConfigRecord &record : m_replica->recordsSince(oldest)) {
            if (std::ranges::any_of(record.edits, [&change](const ConfigEdit &edit) {
                    return change.expected.contains(edit.object);
                })) {
                outcome.between.push_back(std::move(record));
            }
        }
        return outcome;
    }
    std::map<ObjectName, ObjectValues> after;
    std::map<ObjectName, ConfigObject> before;
    DeclaredObjects declared;
    for (const auto &[name, object] : state.objects) {
        declared.objects.emplace(name, object.values);
    }
    for (const auto &[name, values] : change.edits) {
        if (const auto object = state.objects.find(name); object != state.objects.end()) {
            before.emplace(name, object->second);
        }
        if (values) {
            after.emplace(name, *values);
            declared.objects[name] = *values;
        } else {
            declared.objects.erase(name);
        }
    }
    outcome.edits = diffObjects(before, after);
    static_cast<void>(parseDeclarations(declared, outcome.issues));
    const ConfigRecord record {state.revision, change.changeId, change.author, change.reason, {}, outcome.edits};
    if (!outcome.issues.empty()) {
        outcome.code = ResultCode::ConfigInvalid;
        outcome.message = toString(outcome.issues);
    } else if (encodeRecord(record).size() > m_settings.changeBytes) {
        outcome.code = ResultCode::ConfigInvalid;
        outcome.message = "the change is larger than " + std::to_string(m_settings.changeBytes)
            + " bytes; split it into several changes";
    }
    return outcome;
}

std::optional<ConfigRecord> ConfigLog::takeFirst(const ConfigState &state, bool &stale)
{
    const ConfigChange &change = m_queue.front().change;
    if (const auto known = m_head.findChange(change.changeId)) {
        ChangeOutcome outcome;
        outcome.changeId = change.changeId;
        outcome.revision = *known;
        outcome.message = "the change was accepted before";
        resolve(std::move(outcome));
        m_queue.pop_front();
        return std::nullopt;
    }
    ChangeOutcome outcome = check(change, state);
    if (outcome.code != ResultCode::Ok && !m_fresh) {
        stale = true;
        return std::nullopt;
    }
    if (outcome.code != ResultCode::Ok || outcome.edits.empty()) {
        resolve(std::move(outcome));
        m_queue.pop_front();
        return std::nullopt;
    }
    ConfigRecord record {
        state.revision + Revision(1), change.changeId, change.author, change.reason, change.time, outcome.edits};
    m_inFlight.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
    return record;
}

bool ConfigLog::fillBatch()
{
    m_batch = {};
    ConfigState state = m_replica->state();
    std::size_t bytes = 0;
    bool stale = false;
    while (!m_queue.empty() && m_batch.records.size() < m_settings.batchChanges && bytes < m_settings.changeBytes) {
        const bool repeated = std::ranges::any_of(m_inFlight, [this](const Pending &pending) {
            return pending.change.changeId == m_queue.front().change.changeId;
        });
        if (repeated) {
            break;
        }
        auto record = takeFirst(state, stale);
        if (stale) {
            return false;
        }
        if (record) {
            applyRecord(state, *record);
            m_batch.encoded.push_back(encodeRecord(*record));
            bytes += m_batch.encoded.back().size();
            m_batch.records.push_back(std::move(*record));
        }
    }
    m_fresh = false;
    return true;
}

void ConfigLog::requeueBatch()
{
    m_queue.insert(
        m_queue.begin(), std::make_move_iterator(m_inFlight.begin()), std::make_move_iterator(m_inFlight.end()));
    m_inFlight.clear();
    m_batch = {};
}

void ConfigLog::commitBatch(TimePoint now, StoreCalls &out)
{
    m_batch.head = m_head;
    m_batch.head.revision = m_batch.records.back().revision;
    for (const ConfigRecord &record : m_batch.records) {
        m_batch.head.recent.emplace_back(record.revision, record.changeId);
    }
    auto &recent = m_batch.head.recent;
    if (recent.size() > m_settings.recentChanges) {
        recent.erase(recent.begin(), recent.end() - static_cast<std::ptrdiff_t>(m_settings.recentChanges));
    }
    std::string added;
    for (const std::string &record : m_batch.encoded) {
        appendToSegment(added, record);
    }
    const Revision first = m_batch.records.front().revision;
    if (m_batch.head.segments.empty() || m_segment.size() + added.size() > m_settings.segmentBytes) {
        m_batch.head.segments.push_back(first);
        m_batch.segment = std::move(added);
    } else {
        m_batch.segment = m_segment + added;
    }
    TimePoint giveUpAt = now + m_settings.timeout;
    for (const Pending &pending : m_inFlight) {
        giveUpAt = std::min(giveUpAt, pending.deadline);
    }
    const std::string id = m_batch.records.front().changeId;
    send(
        giveUpAt,
        [id, first](const ConfigHead &head) {
            if (head.findChange(id) == first) {
                return ChangeEvidence::Applied;
            }
            const bool reachesBack = head.recent.empty() || head.recent.front().first <= first;
            return reachesBack ? ChangeEvidence::NotApplied : ChangeEvidence::CannotTell;
        },
        out);
}

void ConfigLog::send(TimePoint giveUpAt, std::function<ChangeEvidence(const ConfigHead &)> evidence, StoreCalls &out)
{
    StoreTransactionPlan plan;
    plan.evidenceKey = ConfigHeadKey;
    plan.call.compares = {{plan.evidenceKey, m_headRevision}};
    plan.call.puts = {{plan.evidenceKey, encodeHead(m_batch.head), {}}};
    if (!m_batch.segment.empty()) {
        plan.call.puts.push_back({configSegmentKey(m_batch.head.segments.back()), m_batch.segment, {}});
    }
    if (m_compaction) {
        static_cast<void>(compactedHead(plan.call.deletes));
    }
    plan.evidence = [check = std::move(evidence)](const std::string &value) {
        const auto head = decodeHead(value);
        return head ? check(*head) : ChangeEvidence::CannotTell;
    };
    plan.giveUpAt = giveUpAt;
    m_transaction.emplace(std::move(plan), *m_ids);
    m_transaction->start(out);
}

void ConfigLog::batchApplied()
{
    m_replica->applyRecords(m_batch.encoded);
    for (ConfigRecord &record : m_batch.records) {
        ChangeOutcome outcome;
        outcome.changeId = record.changeId;
        outcome.revision = record.revision;
        outcome.edits = std::move(record.edits);
        resolve(std::move(outcome));
    }
    m_inFlight.clear();
}

void ConfigLog::finishTransaction(const TransactionOutcome &outcome, TimePoint now, StoreCalls &out)
{
    m_transaction.reset();
    m_synced = false;
    if (const auto *applied = std::get_if<TransactionApplied>(&outcome)) {
        batchApplied();
        m_compaction.reset();
        m_head = std::move(m_batch.head);
        m_headRevision = applied->revision;
        if (!m_batch.segment.empty()) {
            m_segment = std::move(m_batch.segment);
        }
        m_synced = applied->revision != StoreRevision();
        if (m_head.revision - m_head.snapshot >= Revision(m_settings.snapshotInterval)) {
            startCompaction();
        }
    } else if (std::holds_alternative<TransactionConflict>(outcome)) {
        requeueBatch();
    } else {
        const bool uncertain = std::holds_alternative<TransactionUncertain>(outcome);
        for (const Pending &pending : m_inFlight) {
            ChangeOutcome result;
            result.changeId = pending.change.changeId;
            result.code = uncertain ? ResultCode::ConfigOutcomeUnknown : ResultCode::StoreUnavailable;
            result.revision = m_replica->revision();
            result.message = uncertain ? std::get<TransactionUncertain>(outcome).message
                                       : std::get<TransactionNotSent>(outcome).message;
            resolve(std::move(result));
        }
        m_inFlight.clear();
        m_compaction.reset();
        m_retryAt = now + m_settings.retryPause;
    }
    m_batch = {};
    advance(now, out);
}

} // namespace ibismast
