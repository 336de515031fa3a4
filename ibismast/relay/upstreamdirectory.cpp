#include "ibismast/relay/upstreamdirectory.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>
#include <set>

namespace ibismast
{

namespace
{

/// True if @p record continues a run of its upstream whose last record had @p incarnation and @p reportNumber. Where
/// the incarnation is unknown, the reports of a new run are counted anew.
bool continuesRun(const UpstreamRecord &record, Incarnation incarnation, std::uint64_t reportNumber)
{
    return record.incarnation == incarnation && (incarnation != Incarnation() || record.reportNumber >= reportNumber);
}

} // namespace

UpstreamRunKey runKey(const UpstreamRecord &record)
{
    return UpstreamRunKey(combineHashes(stableHash(record.id.value()), record.incarnation.value()));
}

UpstreamDirectory::UpstreamDirectory(const UpstreamDirectorySettings &settings, EventListener &listener)
    : m_settings(settings), m_listener(&listener), m_health(settings.breaker, {})
{
}

void UpstreamDirectory::apply(const UpstreamList &list, TimePoint now)
{
    if (m_known && list.revision < m_revision) {
        return;
    }
    if (m_known && list.revision.era > m_revision.era) {
        // Upstreams that registered after the copy was made are missing from it until they do so again.
        noteOutage(now);
        m_settlingUntil = now + m_settings.restoreSettleTime;
    }
    std::set<InstanceId> listed;
    for (const UpstreamRecord &record : list.records) {
        listed.insert(record.id);
    }
    std::vector<InstanceId> missing;
    for (const auto &[id, member] : m_members) {
        if (!listed.contains(id) && !member.returnDeadline) {
            missing.push_back(id);
        }
    }
    const bool outage = m_lastOutage && now - *m_lastOutage < m_settings.returnGracePeriod;
    const bool massLoss = isMassLoss(missing.size());
    for (const InstanceId &id : missing) {
        Member &member = m_members.at(id);
        const bool mayReturn = (outage || massLoss) && !member.leaving();
        m_listener->onEvent("upstream_missing",
                            {{"upstream", id.value()},
                             {"revision", std::to_string(list.revision.number)},
                             {"outage", outage ? "true" : "false"},
                             {"kept", mayReturn ? "true" : "false"}});
        if (mayReturn) {
            member.returnDeadline = (outage ? *m_lastOutage : now) + m_settings.returnGracePeriod;
        } else {
            remove(id, now);
        }
    }
    for (const UpstreamRecord &record : list.records) {
        if (!isFromOlderCopy(record, now)) {
            applyRecord(record, now);
        } else if (const auto found = m_members.find(record.id);
                   found != m_members.end() && found->second.record == record) {
            // Its latest record has been written again, so it has returned.
            found->second.returnDeadline.reset();
        }
    }
    m_revision = list.revision;
    updateSilent(now);
    m_known = true;
    expire(now);
}

bool UpstreamDirectory::isFromOlderCopy(const UpstreamRecord &record, TimePoint now) const
{
    if (!m_settlingUntil || now >= *m_settlingUntil) {
        return false;
    }
    const auto isNotNewerThan = [&record](Incarnation incarnation, std::uint64_t reportNumber) {
        return record.incarnation < incarnation
            || (record.incarnation == incarnation && record.reportNumber <= reportNumber);
    };
    if (const Member *member = find(record.id)) {
        return isNotNewerThan(member->record.incarnation, member->record.reportNumber);
    }
    const auto removed = m_removed.find(record.id);
    return removed != m_removed.end() && isNotNewerThan(removed->second.incarnation, removed->second.reportNumber);
}

void UpstreamDirectory::remove(const InstanceId &id, TimePoint now)
{
    const auto found = m_members.find(id);
    m_removed.insert_or_assign(
        id,
        RemovedRun {
            found->second.record.incarnation, found->second.record.reportNumber, now, found->second.leaveNoticedAt});
    m_members.erase(found);
    if (m_removed.size() > m_settings.maxRemoved) {
        m_removed.erase(std::ranges::min_element(m_removed, {}, [](const auto &entry) {
            return entry.second.removedAt;
        }));
    }
}

bool UpstreamDirectory::isMassLoss(std::size_t count) const
{
    return count >= m_settings.massLossCount
        && static_cast<double>(count) >= m_settings.massLossShare * static_cast<double>(m_members.size());
}

void UpstreamDirectory::updateSilent(TimePoint now)
{
    const auto isSilent = [this, now](const Member &member) {
        return now - member.reportedAt > m_settings.reportTimeout;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(m_members, [&isSilent](const auto &entry) {
        return isSilent(entry.second);
    }));
    const bool reportsFail = isMassLoss(count);
    for (auto &[id, member] : m_members) {
        const bool silent = !reportsFail && isSilent(member);
        if (silent != member.silent) {
            m_listener->onEvent(silent ? "upstream_silent" : "upstream_reports",
                                {{"upstream", id.value()},
                                 {"revision", std::to_string(m_revision.number)},
                                 {"silent", std::to_string(count)}});
        }
        member.silent = silent;
    }
}

void UpstreamDirectory::applyRecord(const UpstreamRecord &record, TimePoint now)
{
    auto [place, added] = m_members.try_emplace(record.id);
    Member &member = place->second;
    const bool restarted = !added && member.record.incarnation != record.incarnation;
    if (added || restarted || member.record.leaving != record.leaving || member.record.address != record.address) {
        m_listener->onEvent("upstream_listed",
                            {{"upstream", record.id.value()},
                             {"service", record.service.value()},
                             {"address", record.address.value()},
                             {"domain", record.domain.value()},
                             {"leaving", record.leaving ? "true" : "false"},
                             {"restarted", restarted ? "true" : "false"}});
    }
    const auto removed = m_removed.find(record.id);
    if (added && removed != m_removed.end()
        && continuesRun(record, removed->second.incarnation, removed->second.reportNumber)) {
        member.leaveNoticedAt = removed->second.leaveNoticedAt;
    }
    if (!added
        && (member.record.address != record.address
            || !continuesRun(record, member.record.incarnation, member.record.reportNumber))) {
        member.leaveNoticedAt.reset();
    }
    const bool continued = added
        ? removed != m_removed.end() && continuesRun(record, removed->second.incarnation, removed->second.reportNumber)
        : continuesRun(record, member.record.incarnation, member.record.reportNumber);
    if (m_known && !continued) {
        member.startedAt = now;
    }
    if (restarted) {
        m_health.noteSuccess(record.id);
        member.avoidedUntil.reset();
        member.fullUntil.reset();
    }
    if (added || restarted || member.record.reportNumber != record.reportNumber) {
        member.reportedAt = now;
        m_lastReport = now;
    }
    member.record = record;
    member.returnDeadline.reset();
}

void UpstreamDirectory::noteOutage(TimePoint now)
{
    m_lastOutage = now;
}

void UpstreamDirectory::expire(TimePoint now)
{
    std::erase_if(m_removed, [this, now](const auto &entry) {
        return now - entry.second.removedAt >= m_settings.removedRetention;
    });
    // While the list cannot be read, a live upstream cannot reappear in it.
    if (m_lastOutage && now - *m_lastOutage < m_settings.returnGracePeriod) {
        return;
    }
    std::vector<InstanceId> expired;
    for (const auto &[id, member] : m_members) {
        if (member.returnDeadline && now >= *member.returnDeadline) {
            expired.push_back(id);
        }
    }
    for (const InstanceId &id : expired) {
        remove(id, now);
    }
}

const UpstreamDirectory::Member *UpstreamDirectory::find(const InstanceId &id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

std::optional<InstanceId> UpstreamDirectory::idOf(const UpstreamAddress &address) const
{
    for (const auto &[id, member] : m_members) {
        if (member.record.address == address) {
            return id;
        }
    }
    return std::nullopt;
}

bool UpstreamDirectory::suspected(const Member &member, TimePoint now) const
{
    if (member.returnDeadline || (member.avoidedUntil && now < *member.avoidedUntil)
        || (member.fullUntil && now < *member.fullUntil) || !m_health.allows(member.record.id, now)) {
        return true;
    }
    // Missing reports indicate a failure only while reports of other upstreams arrive.
    return member.silent && now - m_lastReport < m_settings.reportTimeout;
}

UpstreamDirectory::Candidates UpstreamDirectory::candidates(const ServiceName &service, TimePoint now) const
{
    Candidates result;
    for (const auto &[id, member] : m_members) {
        if (member.record.service != service) {
            continue;
        }
        if (member.leaving()) {
            ++result.leaving;
            continue;
        }
        (suspected(member, now) ? result.suspected : result.trusted).push_back(&member);
    }
    return result;
}

bool UpstreamDirectory::noteLeaving(const UpstreamRecord &upstream, TimePoint now)
{
    if (const auto found = m_members.find(upstream.id); found != m_members.end()) {
        Member &member = found->second;
        if (member.leaveNoticedAt || member.record.address != upstream.address
            || !continuesRun(member.record, upstream.incarnation, upstream.reportNumber)) {
            return false;
        }
        member.leaveNoticedAt = now;
        return true;
    }
    // A list may name the upstream again while it completes its last calls.
    const auto removed = m_removed.find(upstream.id);
    if (removed == m_removed.end() || removed->second.leaveNoticedAt
        || removed->second.incarnation != upstream.incarnation) {
        return false;
    }
    removed->second.leaveNoticedAt = now;
    return true;
}

void UpstreamDirectory::noteDispatch(const InstanceId &id, TimePoint now)
{
    m_health.noteDispatch(id, now);
}

void UpstreamDirectory::noteSuccess(const InstanceId &id)
{
    m_health.noteSuccess(id);
}

void UpstreamDirectory::noteDeclined(const InstanceId &id, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found != m_members.end()) {
        found->second.fullUntil = now + m_settings.fullTime;
    }
}

void UpstreamDirectory::noteReportedFailure(const InstanceId &id, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return;
    }
    found->second.avoidedUntil = now + m_settings.avoidanceTime;
    m_listener->onEvent("upstream_blamed", {{"upstream", id.value()}});
}

void UpstreamDirectory::noteFailure(const InstanceId &id, TimePoint now)
{
    m_health.noteFailure(id, now);
}

} // namespace ibismast
