#include "ibismast/agent/attempttable.h"

#include <cassert>

namespace ibismast
{

AttemptTable::AttemptTable(Duration recordLifetime) : m_recordLifetime(recordLifetime) { }

Attempt &AttemptTable::add(const AttemptId &id, Attempt attempt)
{
    const auto [entry, added] = m_live.emplace(id, std::move(attempt));
    assert(added);
    return entry->second;
}

Attempt *AttemptTable::find(const AttemptId &id)
{
    const auto found = m_live.find(id);
    return found == m_live.end() ? nullptr : &found->second;
}

void AttemptTable::end(const AttemptId &id, AttemptRecord endRecord, TimePoint now)
{
    const auto removed = m_live.erase(id);
    assert(removed == 1);
    static_cast<void>(removed);
    record(id, endRecord, now);
}

void AttemptTable::record(const AttemptId &id, AttemptRecord newRecord, TimePoint now)
{
    if (m_records.emplace(id, newRecord).second) {
        m_expiries.emplace(now + m_recordLifetime, id);
    }
}

std::optional<AttemptRecord> AttemptTable::recordOf(const AttemptId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? std::nullopt : std::optional(found->second);
}

std::vector<AttemptId> AttemptTable::attemptsOf(const RequestId &request) const
{
    std::vector<AttemptId> ids;
    for (auto entry = m_live.lower_bound(AttemptId {request, 0}); entry != m_live.end(); ++entry) {
        if (entry->first.request != request) {
            break;
        }
        ids.push_back(entry->first);
    }
    return ids;
}

bool AttemptTable::superseded(const AttemptId &id) const
{
    const auto hasNewer = [&id](const auto &attempts) {
        const auto next = attempts.upper_bound(id);
        return next != attempts.end() && next->first.request == id.request;
    };
    return hasNewer(m_live) || hasNewer(m_records);
}

void AttemptTable::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        m_records.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
}

const std::map<AttemptId, Attempt> &AttemptTable::live() const
{
    return m_live;
}

std::map<AttemptId, Attempt> &AttemptTable::live()
{
    return m_live;
}

} // namespace ibismast
