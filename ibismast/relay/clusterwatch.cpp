#include "ibismast/relay/clusterwatch.h"

#include <algorithm>
#include <utility>

namespace ibismast
{

namespace
{

/// An entry from which no announcement has arrived for this long is removed.
constexpr Duration EntryTimeout = std::chrono::milliseconds(2500);

/// Records of configurations that are remembered as not applied, so that a copy that repeats one is not decoded again.
constexpr std::size_t MaxRejectedConfigs = 16;

/// Returns a digest of a list that ignores the upstreams' reports. Entries of the same build compare their digests.
std::uint64_t digestOf(const UpstreamList &list)
{
    // FNV-1a, because the digest must be the same in every process, which std::hash does not guarantee.
    constexpr std::uint64_t Offset = 14695981039346656037ULL;
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t digest = Offset;
    const auto add = [&digest](std::string_view text) {
        for (const char character : text) {
            digest = (digest ^ static_cast<unsigned char>(character)) * Prime;
        }
        digest = digest * Prime;
    };
    for (const UpstreamRecord &record : list.records) {
        add(record.id.value());
        add(record.service.value());
        add(record.address.value());
        add(record.domain.value());
        add(record.leaving ? "leaving" : "");
        add(std::to_string(record.incarnation.value()));
    }
    return digest;
}

} // namespace

ClusterWatch::ClusterWatch(const ClusterWatchSettings &settings,
                           const RecordDecoder &decoder,
                           RelayCore &core,
                           std::uint64_t seed,
                           EventListener &listener)
    : m_settings(settings), m_decoder(&decoder), m_core(&core), m_random(seed), m_listener(&listener)
{
}

void ClusterWatch::tick(TimePoint now, std::vector<WatchRequest> &requests)
{
    if (!m_listPending && now >= m_nextList) {
        const std::optional<std::string> source = m_copyRequestPending ? std::nullopt : reportSource(now);
        if (source) {
            // If the copy does not arrive, the store is read after all.
            m_nextList = now + m_settings.readTimeout;
            m_copyRequestPending = true;
            requests.emplace_back(FetchRecordCopy {*source, m_settings.readTimeout});
        } else {
            m_listPending = true;
            requests.emplace_back(ReadUpstreams {m_settings.readTimeout});
        }
    }
    if (!m_configPending && now >= m_nextConfig && (m_configReadNeeded || !othersAwaitConfig(now))) {
        m_configPending = true;
        if (m_configReadNeeded) {
            requests.emplace_back(ReadConfig {m_settings.readTimeout});
        } else {
            requests.emplace_back(AwaitConfig {
                m_configSeenRevision.number, m_settings.configWait, m_settings.configWait + m_settings.readTimeout});
        }
    }
    if (!m_copyRequestPending && now >= m_nextCopyRequest) {
        if (const std::optional<std::string> entry = nextCopySource(now)) {
            m_copyRequestPending = true;
            m_nextCopyRequest = now + m_settings.copyRequestInterval;
            requests.emplace_back(FetchRecordCopy {*entry, m_settings.readTimeout});
        }
    }
}

std::optional<std::string> ClusterWatch::nextCopySource(TimePoint now)
{
    const RelayConfigVersion version = configVersion();
    // A configuration may be large, so the entries of a large fleet read it from the store while that is available.
    if (!sharesReads() || !m_storeAvailable) {
        for (const auto &[id, entry] : m_entries) {
            if (entry.knowledge.configVersion > version) {
                return entry.knowledge.copyAddress;
            }
        }
    }
    const bool stale = !m_upstreams || now - m_listTime >= m_settings.staleListAge;
    std::vector<const KnownEntry *> newer;
    for (const auto &[id, entry] : m_entries) {
        if (entry.knowledge.listAge && entry.lastHeard - *entry.knowledge.listAge > m_listTime
            && (stale || entry.knowledge.listDigest != m_listDigest)) {
            newer.push_back(&entry);
        }
    }
    if (!newer.empty() && (stale || !m_storeAvailable)) {
        return newer[m_random.below(newer.size())]->knowledge.copyAddress;
    }
    if (m_entries.empty() || !stale) {
        return std::nullopt;
    }
    auto chosen = m_entries.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_random.below(m_entries.size())));
    return chosen->second.knowledge.copyAddress;
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

RelayConfigVersion ClusterWatch::configVersion() const
{
    const RelayConfig *config = m_core->config();
    return config != nullptr ? config->version : RelayConfigVersion();
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

Duration ClusterWatch::nextRetryPause()
{
    m_retryPause = std::clamp(m_retryPause * 2, m_settings.retryPause, m_settings.longestRetryPause);
    // Jitter over half the pause keeps entries from reading from a recovered store all at the same time.
    const Duration half = m_retryPause / 2;
    return half + fromSeconds(m_random.uniform() * toSeconds(half));
}

void ClusterWatch::noteStoreResult(bool answered, std::string_view reason, TimePoint now)
{
    if (answered) {
        m_retryPause = Duration::zero();
    } else if (!m_upstreams || now - m_listTime > m_settings.staleListAge) {
        // While other entries supply current lists, the store is unavailable to this entry only, which is no outage.
        m_core->directory().noteOutage(now);
    }
    if (answered != m_storeAvailable) {
        m_storeAvailable = answered;
        m_listener->onEvent(
            answered ? "store_regained" : "store_lost",
            {{"reason", std::string(reason)},
             {"list_revision", std::to_string(listRevision())},
             {"config_revision", m_config ? std::to_string(m_config->revision.number) : std::string("none")}});
    }
}

void ClusterWatch::upstreamsRead(const Result<StoredUpstreams> &result, TimePoint now)
{
    m_listPending = false;
    if (const Error *error = errorOf(result)) {
        noteStoreResult(false, error->message, now);
        m_nextList = now + nextRetryPause();
        return;
    }
    noteStoreResult(true, "upstreams read", now);
    m_ownListTime = now;
    m_nextList = now + m_settings.listInterval;
    if (sharesReads()) {
        // Other entries postpone their own reads once this one is announced.
        m_announcementDue = true;
        m_nextList = now + sharedReadPause();
    }
    const auto &upstreams = std::get<StoredUpstreams>(result);
    noteEra(upstreams.revision.era, "store");
    applyUpstreams(upstreams, "store", now, now);
}

void ClusterWatch::noteEra(StoreEra era, std::string_view source)
{
    if (era <= m_storeEra) {
        return;
    }
    if (m_upstreams || m_config) {
        m_listener->onEvent("store_restored",
                            {{"era", std::to_string(era.value())},
                             {"previous", std::to_string(m_storeEra.value())},
                             {"source", std::string(source)},
                             {"list_revision", std::to_string(listRevision())},
                             {"config_version", std::to_string(configVersion().value())}});
    }
    m_storeEra = era;
    // A wait that goes on from a revision of the former era misses the changes up to that number.
    m_configReadNeeded = true;
}

void ClusterWatch::configRead(const Result<StoredConfig> &result, TimePoint now)
{
    m_configPending = false;
    if (const Error *error = errorOf(result)) {
        noteStoreResult(false, error->message, now);
        m_nextConfig = now + nextRetryPause();
        return;
    }
    noteStoreResult(true, "configuration read", now);
    const auto &stored = std::get<StoredConfig>(result);
    noteEra(stored.revision.era, "store");
    // The answer may have been on its way when the store was restored. A store that never names the era that another
    // entry has seen must not be read without a pause.
    m_configReadNeeded = stored.revision.era < m_storeEra;
    m_configSeenRevision = stored.revision;
    m_nextConfig = m_configReadNeeded ? now + nextRetryPause() : now;
    if (stored.evacuated) {
        m_seenEvacuations = *stored.evacuated;
        applyEvacuations({m_seenEvacuations, stored.revision}, now);
    }
    if (stored.record) {
        applyConfig(*stored.record, "store", now);
    }
}

void ClusterWatch::configAwaited(const Result<StoredConfig> &result, TimePoint now)
{
    m_configPending = false;
    if (const Error *error = errorOf(result)) {
        // The long poll may have broken off while the configuration changed, or the store has compacted its history.
        m_configReadNeeded = true;
        m_nextConfig = now;
        m_listener->onEvent("config_wait_failed", {{"reason", error->message}});
        return;
    }
    m_nextConfig = now;
    const auto &stored = std::get<StoredConfig>(result);
    noteEra(stored.revision.era, "store");
    const bool sameEra = stored.revision.era == m_configSeenRevision.era;
    m_configReadNeeded = m_configReadNeeded || !sameEra;
    m_configSeenRevision = stored.revision;
    if (sameEra) {
        // The changes of a restored store do not follow on what was read of the former one.
        for (const auto &[domain, evacuated] : stored.evacuationChanges) {
            evacuated ? (void)m_seenEvacuations.insert(domain) : (void)m_seenEvacuations.erase(domain);
        }
        applyEvacuations({m_seenEvacuations, stored.revision}, now);
    }
    if (stored.record) {
        applyConfig(*stored.record, "store", now);
    }
}

void ClusterWatch::copyReceived(const Result<RecordCopy> &result, TimePoint now)
{
    m_copyRequestPending = false;
    if (const Error *error = errorOf(result)) {
        m_listener->onEvent("copy_failed", {{"reason", error->message}});
        return;
    }
    const auto &copy = std::get<RecordCopy>(result);
    if (copy.config) {
        applyConfig(*copy.config, "entry", now);
    }
    if (copy.evacuations) {
        (void)m_core->evacuations().apply(*copy.evacuations, "entry", now);
    }
    noteEra(copy.upstreams.revision.era, "entry");
    const TimePoint read = now - copy.age;
    if (copy.upstreams.revision.number > 0 && (!m_upstreams || read > m_recordsTime)) {
        m_ownListTime = TimePoint::min();
        applyUpstreams(copy.upstreams, "entry", read, now);
        if (sharesReads() && m_storeAvailable && !m_listPending) {
            m_nextList = nextSharedRead();
        }
    }
}

void ClusterWatch::applyConfig(const StoredRecord &record, std::string_view source, TimePoint now)
{
    if (m_config && record.value == m_config->value) {
        m_config->revision = std::max(m_config->revision, record.revision);
        return;
    }
    if (std::ranges::find(m_rejectedConfigs, record.revision) != m_rejectedConfigs.end()) {
        return;
    }
    Result<RelayConfig> config = m_decoder->decodeConfig(record);
    if (const Error *error = errorOf(config)) {
        rejectConfig(record);
        m_listener->onEvent("config_unreadable",
                            {{"revision", std::to_string(record.revision.number)},
                             {"era", std::to_string(record.revision.era.value())},
                             {"source", std::string(source)},
                             {"reason", error->message}});
        return;
    }
    // The order of versions is the operators' own and outlives a restored store, whose revisions start again.
    const RelayConfigVersion version = std::get<RelayConfig>(config).version;
    if (m_core->config() != nullptr && version <= configVersion()) {
        rejectConfig(record);
        m_listener->onEvent("config_ignored",
                            {{"version", std::to_string(version.value())},
                             {"version_in_force", std::to_string(configVersion().value())},
                             {"revision", std::to_string(record.revision.number)},
                             {"era", std::to_string(record.revision.era.value())},
                             {"source", std::string(source)}});
        return;
    }
    m_config = record;
    m_listener->onEvent("config_received",
                        {{"version", std::to_string(version.value())},
                         {"revision", std::to_string(record.revision.number)},
                         {"era", std::to_string(record.revision.era.value())},
                         {"source", std::string(source)}});
    m_announcementDue = true;
    m_core->applyConfig(std::move(std::get<RelayConfig>(config)), now);
}

void ClusterWatch::applyEvacuations(const EvacuatedDomains &evacuated, TimePoint now)
{
    if (m_core->evacuations().apply(evacuated, "store", now)) {
        m_evacuationAnnouncementDue = true;
    }
}

void ClusterWatch::rejectConfig(const StoredRecord &record)
{
    m_rejectedConfigs.push_back(record.revision);
    if (m_rejectedConfigs.size() > MaxRejectedConfigs) {
        m_rejectedConfigs.pop_front();
    }
}

void ClusterWatch::applyUpstreams(const StoredUpstreams &upstreams,
                                  std::string_view source,
                                  TimePoint read,
                                  TimePoint now)
{
    if (m_upstreams && upstreams.revision < m_upstreams->revision) {
        return;
    }
    UpstreamList list;
    list.revision = upstreams.revision;
    for (const StoredRecord &record : upstreams.records) {
        Result<UpstreamRecord> upstream = m_decoder->decodeUpstream(record);
        if (const Error *error = errorOf(upstream)) {
            if (m_reportedRecords.emplace(record.key, record.revision).second) {
                m_listener->onEvent("upstream_unreadable",
                                    {{"key", record.key},
                                     {"revision", std::to_string(record.revision.number)},
                                     {"source", std::string(source)},
                                     {"reason", error->message}});
            }
            continue;
        }
        list.records.push_back(std::move(std::get<UpstreamRecord>(upstream)));
    }
    m_upstreams = upstreams;
    m_recordsTime = read;
    // Without jitter, entries that have read a change at the same time would all read at the same time from then on.
    m_recordsDue =
        read + m_settings.ownListInterval - fromSeconds(m_random.uniform() * toSeconds(m_settings.ownListJitter));
    const std::uint64_t digest = digestOf(list);
    // A list that another entry has confirmed after the read of these records stays confirmed.
    m_listTime = digest == m_listDigest ? std::max(m_listTime, read) : read;
    m_announcementDue = m_announcementDue || digest != m_listDigest;
    m_listDigest = digest;
    m_core->directory().apply(list, now);
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
    if (knowledge.configVersion > configVersion() && m_storeAvailable && !m_configPending) {
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

RecordCopy ClusterWatch::copy(TimePoint now) const
{
    RecordCopy result;
    result.config = m_config;
    if (m_upstreams) {
        result.upstreams = *m_upstreams;
        result.age = now - m_listTime;
    }
    result.evacuations = m_core->evacuations().latest();
    return result;
}

} // namespace ibismast
