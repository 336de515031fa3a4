#include "standins/keyvalue/keyvaluemodel.h"

#include <algorithm>
#include <compare>

namespace ibismast
{

namespace
{

bool relationHolds(std::strong_ordering order, KeyValueCompare::Relation relation)
{
    switch (relation) {
    case KeyValueCompare::Relation::Equal:
        return order == std::strong_ordering::equal;
    case KeyValueCompare::Relation::NotEqual:
        return order != std::strong_ordering::equal;
    case KeyValueCompare::Relation::Greater:
        return order == std::strong_ordering::greater;
    case KeyValueCompare::Relation::Less:
        return order == std::strong_ordering::less;
    }
    return false;
}

} // namespace

bool inKeyRange(const std::string &key, const std::string &begin, const std::string &end)
{
    if (end.empty()) {
        return key == begin;
    }
    const bool unbounded = end.size() == 1 && end.front() == '\0';
    return key >= begin && (unbounded || key < end);
}

KeyValueModel::KeyValueModel(const KeyValueModelSettings &settings) : m_settings(settings) { }

std::int64_t KeyValueModel::revision() const
{
    return m_revision;
}

std::int64_t KeyValueModel::firstRevision() const
{
    return m_firstRevision;
}

std::vector<KeyValueRecord> KeyValueModel::range(const std::string &key, const std::string &rangeEnd) const
{
    std::vector<KeyValueRecord> found;
    for (auto record = m_records.lower_bound(key);
         record != m_records.end() && inKeyRange(record->first, key, rangeEnd);
         ++record) {
        found.push_back(record->second);
    }
    return found;
}

bool KeyValueModel::holds(const KeyValueCompare &compare) const
{
    const auto found = m_records.find(compare.key);
    const KeyValueRecord record = found == m_records.end() ? KeyValueRecord {} : found->second;
    switch (compare.target) {
    case KeyValueCompare::Target::ModRevision:
        return relationHolds(record.modRevision <=> compare.number, compare.relation);
    case KeyValueCompare::Target::CreateRevision:
        return relationHolds(record.createRevision <=> compare.number, compare.relation);
    case KeyValueCompare::Target::Version:
        return relationHolds(record.version <=> compare.number, compare.relation);
    case KeyValueCompare::Target::Value:
        // As in etcd, a value condition on a missing key does not hold.
        return found != m_records.end() && relationHolds(record.value <=> compare.value, compare.relation);
    }
    return false;
}

Result<Success> KeyValueModel::apply(const std::vector<KeyValueWrite> &writes)
{
    for (const KeyValueWrite &write : writes) {
        if (!write.deletion && write.lease != 0 && !m_leases.contains(write.lease)) {
            return Error {ResultCode::NotFound, "requested lease not found", std::nullopt};
        }
    }
    const bool changes = std::ranges::any_of(writes, [this](const KeyValueWrite &write) {
        return !write.deletion || !range(write.key, write.rangeEnd).empty();
    });
    if (!changes) {
        return Success {};
    }
    ++m_revision;
    for (const KeyValueWrite &write : writes) {
        if (write.deletion) {
            for (const KeyValueRecord &record : range(write.key, write.rangeEnd)) {
                remove(record.key);
            }
            continue;
        }
        KeyValueRecord &record = m_records[write.key];
        detach(record);
        record.key = write.key;
        record.value = write.value;
        record.createRevision = record.version == 0 ? m_revision : record.createRevision;
        record.modRevision = m_revision;
        ++record.version;
        record.lease = write.lease;
        if (write.lease != 0) {
            m_leases.at(write.lease).keys.insert(write.key);
        }
        this->record(false, record);
    }
    return Success {};
}

std::int64_t KeyValueModel::grantLease(std::int64_t id, Duration timeToLive, TimePoint now)
{
    while (id == 0 || m_leases.contains(id)) {
        id = m_nextLease++;
    }
    m_leases[id] = Lease {timeToLive, now + timeToLive, {}};
    return id;
}

Duration KeyValueModel::keepLeaseAlive(std::int64_t id, TimePoint now)
{
    expireLeases(now);
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        return Duration::zero();
    }
    lease->second.expiry = now + lease->second.timeToLive;
    return lease->second.timeToLive;
}

bool KeyValueModel::revokeLease(std::int64_t id)
{
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        return false;
    }
    const std::set<std::string> keys = std::move(lease->second.keys);
    m_leases.erase(lease);
    if (!keys.empty()) {
        ++m_revision;
        std::ranges::for_each(keys, [this](const std::string &key) {
            remove(key);
        });
    }
    return true;
}

void KeyValueModel::expireLeases(TimePoint now)
{
    std::vector<std::int64_t> due;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiry <= now) {
            due.push_back(id);
        }
    }
    std::ranges::for_each(due, [this](std::int64_t id) {
        revokeLease(id);
    });
}

std::size_t KeyValueModel::lapseLeases()
{
    const std::size_t count = m_leases.size();
    while (!m_leases.empty()) {
        revokeLease(m_leases.begin()->first);
    }
    return count;
}

std::vector<KeyValueChange>
KeyValueModel::changes(const std::string &key, const std::string &rangeEnd, std::int64_t fromRevision) const
{
    std::vector<KeyValueChange> found;
    const auto first = std::ranges::lower_bound(m_history, fromRevision, {}, [](const KeyValueChange &change) {
        return change.record.modRevision;
    });
    std::copy_if(first, m_history.end(), std::back_inserter(found), [&](const KeyValueChange &change) {
        return inKeyRange(change.record.key, key, rangeEnd);
    });
    return found;
}

void KeyValueModel::detach(const KeyValueRecord &record)
{
    const auto lease = m_leases.find(record.lease);
    if (lease != m_leases.end()) {
        lease->second.keys.erase(record.key);
    }
}

void KeyValueModel::remove(const std::string &key)
{
    const auto found = m_records.find(key);
    detach(found->second);
    m_records.erase(found);
    KeyValueRecord deletion;
    deletion.key = key;
    deletion.modRevision = m_revision;
    record(true, deletion);
}

void KeyValueModel::record(bool deleted, const KeyValueRecord &record)
{
    m_history.push_back({deleted, record});
    while (m_history.size() > m_settings.historyLimit) {
        m_firstRevision = m_history.front().record.modRevision + 1;
        m_history.pop_front();
    }
}

} // namespace ibismast
