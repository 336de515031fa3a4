#include "ibismast/config/configdiff.h"
#include "ibismast/operator/operatorservice.h"
#include "ibismast/operator/operatorservicestate.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// Undoes records, newest first, until @p state is at @p revision. @p records ascend.
bool undoTo(ConfigState &state, Revision revision, const std::vector<ConfigRecord> &records)
{
    for (auto record = records.rbegin(); record != records.rend() && state.revision > revision; ++record) {
        if (record->revision == state.revision) {
            undoRecord(state, *record);
        }
    }
    return state.revision == revision;
}

} // namespace

void OperatorService::startReading(OperatorCallId id, PendingReading reading, TimePoint now, StoreCalls &out)
{
    if (m_readings.size() >= m_settings.concurrentReadings) {
        reply(id, Error {ResultCode::QueueFull, "too many history calls are running", std::chrono::seconds(1)});
        return;
    }
    const Revision revision = m_replica->revision();
    reading.state = m_replica->state();
    Revision from = revision;
    if (const auto *history = std::get_if<HistoryCall>(&reading.call)) {
        const auto limit = std::min(history->limit, m_settings.longestHistory);
        if (history->audit) {
            reading.audit.start(limit, out);
            m_readings.emplace(id, std::move(reading));
            return;
        }
        from = Revision(std::max<std::int64_t>(0, revision.value() - static_cast<std::int64_t>(limit)));
    } else if (const auto *show = std::get_if<ShowCall>(&reading.call)) {
        from = show->revision == Revision() ? revision : show->revision;
    } else {
        from = std::get<RollbackCall>(reading.call).revision;
    }
    if (from > revision || from < Revision()) {
        refuse(reading.change,
               ResultCode::RevisionNotFound,
               "the newest revision here is " + std::to_string(revision.value()),
               now,
               out);
        return;
    }
    if (from < revision) {
        reading.history.start(from, out);
        m_readings.emplace(id, std::move(reading));
        return;
    }
    finishReading(id, reading, now, out);
}

void OperatorService::finishHistory(OperatorCallId id,
                                    const HistoryCall &call,
                                    const std::vector<ConfigRecord> &records)
{
    HistoryReply result;
    result.changes.assign(records.rbegin(), records.rend());
    result.changes.resize(std::min(result.changes.size(), call.limit));
    reply(id, std::move(result));
}

void OperatorService::finishAuditReading(OperatorCallId id, const PendingReading &reading)
{
    if (!reading.audit.failure().empty()) {
        reply(id, Error {ResultCode::StoreUnavailable, reading.audit.failure(), std::nullopt});
    } else {
        reply(id, HistoryReply {{}, reading.audit.records()});
    }
}

void OperatorService::finishReading(OperatorCallId id, PendingReading &reading, TimePoint now, StoreCalls &out)
{
    if (reading.history.failure()) {
        refuse(reading.change, reading.history.failure()->code, reading.history.failure()->message, now, out);
        return;
    }
    const auto &records = reading.history.records();
    if (const auto *history = std::get_if<HistoryCall>(&reading.call)) {
        finishHistory(id, *history, records);
        return;
    }
    const auto *show = std::get_if<ShowCall>(&reading.call);
    const auto *rollback = std::get_if<RollbackCall>(&reading.call);
    ConfigState past = reading.state;
    const Revision wanted = rollback   ? rollback->revision
        : show->revision == Revision() ? past.revision
                                       : show->revision;
    if (!undoTo(past, wanted, records)) {
        refuse(reading.change, ResultCode::RevisionNotFound, "the history has a gap", now, out);
        return;
    }
    if (show) {
        ShowReply result {wanted, {}};
        for (const auto &[name, object] : past.objects) {
            if (name.starts_with(show->prefix)) {
                result.objects.emplace(name, object);
            }
        }
        reply(id, std::move(result));
        return;
    }
    ConfigChange change {rollback->changeId, reading.change.who.name, rollback->reason, reading.change.time, {}, {}};
    std::map<ObjectName, ObjectValues> after;
    for (const auto &[name, object] : past.objects) {
        after.emplace(name, object.values);
    }
    for (ConfigEdit &edit : diffObjects(reading.state.objects, after)) {
        const auto present = reading.state.objects.find(edit.object);
        // The operator has seen the state that is rolled back; a change behind it is a conflict.
        change.expected[edit.object] = present == reading.state.objects.end() ? Revision() : present->second.version;
        change.edits.emplace(edit.object, std::move(edit.after));
    }
    submit(reading.change, std::move(change), now, out);
}

} // namespace ibismast
