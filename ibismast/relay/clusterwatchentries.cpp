#include "ibismast/relay/clusterwatch.h"

#include <algorithm>
#include <utility>

namespace ibismast
{

namespace
{

/// An entry from which no announcement has arrived for this long is removed.
constexpr Duration EntryTimeout = std::chrono::milliseconds(2500);

} // namespace

// What entries tell each other of their records, and how they share reads of the store.

std::optional<FetchRecordCopy> ClusterWatch::nextConfigCopy()
{
    // A configuration may be large, so the entries of a large fleet read it from the store while that supplies it.
    const bool storeSupplies = m_storeAvailable && !m_storeLacksConfig;
    if ((sharesReads() && storeSupplies) || (m_configPending && m_configReadNeeded)) {
        return std::nullopt;
    }
    const RelayConfigVersion version = configVersion();
    const RelayConfigVersion newest = newestVersion();
    std::vector<const KnownEntry *> sources;
    for (const auto &[id, entry] : m_entries) {
        if (newest > version && entry.knowledge.configVersion == newest) {
            sources.push_back(&entry);
        }
    }
    if (sources.empty()) {
        return std::nullopt;
    }
    // Many entries may need the copy at once, which takes much of the link of the one that serves it.
    const KnownEntry &source = *sources[m_random.below(sources.size())];
    return FetchRecordCopy {source.knowledge.copyAddress, m_settings.readTimeout, {version}};
}

RelayConfigVersion ClusterWatch::newestVersion() const
{
    RelayConfigVersion newest = configVersion();
    for (const auto &[id, entry] : m_entries) {
        newest = std::max(newest, entry.knowledge.configVersion);
    }
    return newest;
}

std::optional<FetchRecordCopy> ClusterWatch::nextCopy(TimePoint now)
{
    if (std::optional<FetchRecordCopy> copy = nextConfigCopy()) {
        return copy;
    }
    const auto listOf = [this](const KnownEntry &entry) {
        return FetchRecordCopy {entry.knowledge.copyAddress, m_settings.readTimeout, {}};
    };
    const bool stale = !m_upstreams || now - m_listTime >= m_settings.staleListAge;
    std::vector<const KnownEntry *> newer;
    for (const auto &[id, entry] : m_entries) {
        if (entry.knowledge.listAge && entry.lastHeard - *entry.knowledge.listAge > m_listTime
            && (stale || entry.knowledge.listDigest != m_listDigest)) {
            newer.push_back(&entry);
        }
    }
    if (!newer.empty() && (stale || !m_storeAvailable)) {
        return listOf(*newer[m_random.below(newer.size())]);
    }
    if (m_entries.empty() || !stale) {
        return std::nullopt;
    }
    auto chosen = m_entries.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random.below(m_entries.size())));
    return listOf(chosen->second);
}

std::optional<std::string> ClusterWatch::reportSource(TimePoint now)
{
    if (!sharesReads() || !m_storeAvailable || !m_upstreams) {
        return std::nullopt;
    }
    std::vector<const KnownEntry *> sources;
    for (const auto &[id, entry] : m_entries) {
        const EntryRecordStatus &status = entry.knowledge;
        const bool local = status.domain.empty() || status.domain == m_core->domain();
        if (!local || !status.listAge) {
            continue;
        }
        const TimePoint read = entry.lastHeard - *status.listAge;
        if (now - read <= m_settings.copyableListAge && read > m_recordsTime) {
            sources.push_back(&entry);
        }
    }
    if (sources.empty()) {
        return std::nullopt;
    }
    return sources[m_random.below(sources.size())]->knowledge.copyAddress;
}

Duration ClusterWatch::sharedReadPause()
{
    return m_settings.sharedListInterval + fromSeconds(m_random.uniform() * toSeconds(m_settings.sharedListJitter));
}

bool ClusterWatch::sharesReads() const
{
    return m_entries.size() >= m_settings.sharedReadsFleetSize;
}

bool ClusterWatch::othersAwaitConfig(TimePoint now) const
{
    if (!sharesReads()) {
        return false;
    }
    std::size_t waiters = 0;
    for (const auto &[id, entry] : m_entries) {
        const bool waits = entry.knowledge.awaitsConfig && now - entry.lastHeard < m_settings.waiterTimeout;
        waiters += waits && id < m_core->self() ? 1 : 0;
    }
    return waiters >= m_settings.configWaiters;
}

void ClusterWatch::confirmList(TimePoint read)
{
    m_listTime = std::max(m_listTime, read);
    if (m_storeAvailable) {
        m_nextList = nextSharedRead();
    }
}

TimePoint ClusterWatch::nextSharedRead()
{
    return std::min(m_listTime + sharedReadPause(), m_recordsDue);
}

void ClusterWatch::noteEntry(const InstanceId &id, const EntryRecordStatus &knowledge, TimePoint now)
{
    m_entries[id] = KnownEntry {knowledge, now};
    if (knowledge.evacuations) {
        (void)m_core->evacuations().apply(*knowledge.evacuations, id.value(), now);
    }
    if (!sharesReads()) {
        return;
    }
    if (knowledge.configVersion > configVersion() && m_storeAvailable && !m_storeLacksConfig && !m_configPending) {
        m_configReadNeeded = true;
        m_nextConfig = std::min(m_nextConfig, now);
    }
    if (!knowledge.listAge || !m_upstreams || m_listPending) {
        return;
    }
    const TimePoint read = now - *knowledge.listAge;
    if (read <= m_listTime) {
        return;
    }
    if (knowledge.listDigest == m_listDigest) {
        confirmList(read);
    } else if (m_storeAvailable) {
        m_nextList = std::min(m_nextList, now);
    }
}

bool ClusterWatch::takeAnnouncementDue()
{
    return std::exchange(m_announcementDue, false);
}

bool ClusterWatch::takeEvacuationAnnouncementDue()
{
    return std::exchange(m_evacuationAnnouncementDue, false);
}

EntryRecordStatus ClusterWatch::knowledge(TimePoint now) const
{
    EntryRecordStatus result;
    result.configVersion = configVersion();
    result.awaitsConfig = m_configPending && !m_configReadNeeded && m_storeAvailable;
    if (m_ownListTime > TimePoint::min()) {
        result.listDigest = m_listDigest;
        result.listAge = now - m_ownListTime;
    }
    result.evacuations = m_core->evacuations().latest();
    return result;
}

void ClusterWatch::expire(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) {
        return now - entry.second.lastHeard > EntryTimeout;
    });
}

RecordCopy ClusterWatch::copy(const CopyContents &contents, TimePoint now) const
{
    RecordCopy result;
    if (contents.configAfter && configVersion() > *contents.configAfter) {
        result.config = m_config;
    }
    if (m_upstreams) {
        result.upstreams = *m_upstreams;
        result.age = now - m_listTime;
    }
    result.evacuations = m_core->evacuations().latest();
    return result;
}

} // namespace ibismast
