#include "ibismast/relay/clusterwatch.h"

#include <algorithm>
#include <utility>

namespace ibismast
{

namespace
{

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
            requests.emplace_back(FetchRecordCopy {*source, m_settings.readTimeout, {}});
        } else {
            m_listPending = true;
            requests.emplace_back(ReadUpstreams {m_settings.readTimeout});
        }
    }
    // Two transfers of a large configuration at once would each take twice as long.
    if (!m_configPending && !m_configCopyPending && now >= m_nextConfig
        && (m_configReadNeeded || !othersAwaitConfig(now))) {
        m_configPending = true;
        if (m_configReadNeeded) {
            m_announcedBeforeRead = newestVersion();
            requests.emplace_back(ReadConfig {m_settings.readTimeout});
        } else {
            requests.emplace_back(AwaitConfig {
                m_configSeenRevision.number, m_settings.configWait, m_settings.configWait + m_settings.readTimeout});
        }
    }
    if (!m_copyRequestPending && now >= m_nextCopyRequest) {
        if (std::optional<FetchRecordCopy> copy = nextCopy(now)) {
            m_copyRequestPending = true;
            m_configCopyPending = copy->contents.configAfter.has_value();
            m_nextCopyRequest = now + m_settings.copyRequestInterval;
            requests.emplace_back(*std::move(copy));
        }
    }
}

RelayConfigVersion ClusterWatch::configVersion() const
{
    const RelayConfig *config = m_core->config();
    return config != nullptr ? config->version : RelayConfigVersion();
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
    m_storeLacksConfig = configVersion() < m_announcedBeforeRead;
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
    m_configCopyPending = false;
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
    m_storeLacksConfig = false;
    m_listener->onEvent("config_received",
                        {{"version", std::to_string(version.value())},
                         {"revision", std::to_string(record.revision.number)},
                         {"era", std::to_string(record.revision.era.value())},
                         {"bytes", std::to_string(record.value.size())},
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
    StoredUpstreams readable;
    readable.revision = upstreams.revision;
    std::set<std::string> unreadable;
    for (const StoredRecord &record : upstreams.records) {
        Result<UpstreamRecord> upstream = m_decoder->decodeUpstream(record);
        if (const Error *error = errorOf(upstream)) {
            if (!m_unreadableRecords.contains(record.key)) {
                m_listener->onEvent("upstream_unreadable",
                                    {{"key", record.key},
                                     {"revision", std::to_string(record.revision.number)},
                                     {"source", std::string(source)},
                                     {"reason", error->message}});
            }
            unreadable.insert(record.key);
            continue;
        }
        readable.records.push_back(record);
        list.records.push_back(std::move(std::get<UpstreamRecord>(upstream)));
    }
    m_upstreams = std::move(readable);
    m_unreadableRecords = std::move(unreadable);
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

} // namespace ibismast
