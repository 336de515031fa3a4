#include "ibismast/config/configreplica.h"

namespace ibismast
{

ConfigReplica::ConfigReplica(const ConfigReplicaSettings &settings) : m_settings(settings) { }

const ConfigState &ConfigReplica::state() const
{
    return m_state;
}

Revision ConfigReplica::revision() const
{
    return m_state.revision;
}

Revision ConfigReplica::keptAfter() const
{
    return m_state.revision - Revision(static_cast<std::int64_t>(m_records.size()));
}

void ConfigReplica::keepRecord(std::string record)
{
    m_recordBytes += record.size();
    m_records.push_back(std::move(record));
    while (m_recordBytes > m_settings.keptRecordBytes && m_records.size() > 1) {
        m_recordBytes -= m_records.front().size();
        m_records.pop_front();
    }
}

ConfigReplica::Outcome ConfigReplica::applyState(ConfigState state)
{
    if (state.revision <= m_state.revision) {
        return Outcome::NothingNew;
    }
    m_state = std::move(state);
    m_records.clear();
    m_recordBytes = 0;
    return Outcome::Applied;
}

ConfigReplica::Outcome ConfigReplica::applyRecords(const std::vector<std::string> &records)
{
    Outcome outcome = Outcome::NothingNew;
    for (const std::string &bytes : records) {
        const auto revision = peekRevision(bytes);
        if (!revision) {
            return Outcome::Malformed;
        }
        if (*revision <= m_state.revision) {
            continue;
        }
        if (*revision != m_state.revision + Revision(1)) {
            return Outcome::Gap;
        }
        const auto record = decodeRecord(bytes);
        if (!record) {
            return Outcome::Malformed;
        }
        applyRecord(m_state, *record);
        keepRecord(bytes);
        outcome = Outcome::Applied;
    }
    return outcome;
}

ConfigReplica::Outcome ConfigReplica::apply(const ConfigUpdate &update)
{
    if (!update.snapshot.empty()) {
        auto state = decodeState(update.snapshot);
        return state ? applyState(std::move(*state)) : Outcome::Malformed;
    }
    if (!update.records.empty() && update.from > m_state.revision) {
        return Outcome::Gap;
    }
    return applyRecords(update.records);
}

ConfigUpdate ConfigReplica::updateSince(Revision have) const
{
    ConfigUpdate update {have, have, {}, {}};
    if (have >= m_state.revision) {
        return update;
    }
    if (have < keptAfter()) {
        if (m_snapshotRevision != m_state.revision) {
            m_snapshot = encodeState(m_state);
            m_snapshotRevision = m_state.revision;
        }
        update.snapshot = m_snapshot;
        update.to = m_state.revision;
        return update;
    }
    std::size_t bytes = 0;
    for (auto index = static_cast<std::size_t>((have - keptAfter()).value()); index < m_records.size(); ++index) {
        bytes += m_records[index].size();
        if (bytes > m_settings.updateBytes && !update.records.empty()) {
            break;
        }
        update.records.push_back(m_records[index]);
        update.to += Revision(1);
    }
    return update;
}

std::vector<ConfigRecord> ConfigReplica::recordsSince(Revision revision) const
{
    std::vector<ConfigRecord> records;
    for (const std::string &bytes : m_records) {
        if (auto record = decodeRecord(bytes); record && record->revision > revision) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

} // namespace ibismast
