#pragma once

#include "ibismast/relay/clusterwatch.h"
#include "ibismast/relay/transferdeadline.h"

#include <algorithm>
#include <memory>

namespace ibismast
{

using namespace std::chrono_literals;

/// Decodes records whose value is a version or an upstream's address; "?" is unreadable.
class FakeDecoder final : public RecordDecoder
{
public:
    Result<RelayConfig> decodeConfig(const StoredRecord &record) const override
    {
        if (record.value == "?") {
            return Error {ResultCode::ConfigInvalid, "unreadable", std::nullopt};
        }
        RelayConfig config;
        config.version = RelayConfigVersion(std::stoll(record.value));
        return config;
    }
    Result<UpstreamRecord> decodeUpstream(const StoredRecord &record) const override
    {
        if (record.value == "?") {
            return Error {ResultCode::ConfigInvalid, "unreadable", std::nullopt};
        }
        UpstreamRecord upstream;
        upstream.id = InstanceId(record.key);
        upstream.service = ServiceName("pool");
        upstream.address = UpstreamAddress(record.value);
        upstream.leaving = record.value == "leaving";
        return upstream;
    }
};

class WatchFixture
{
protected:
    /// Returns the kinds of the requests that are due.
    std::string due()
    {
        std::vector<WatchRequest> requests;
        watch.tick(now, requests);
        std::string text;
        for (const WatchRequest &request : requests) {
            text += std::visit(Overloaded {[](const ReadUpstreams & /*read*/) {
                                               return std::string("list ");
                                           },
                                           [](const ReadConfig & /*read*/) {
                                               return std::string("config ");
                                           },
                                           [](const AwaitConfig &await) {
                                               return "await" + std::to_string(await.revision) + " ";
                                           },
                                           [](const FetchRecordCopy &fetch) {
                                               const auto &after = fetch.contents.configAfter;
                                               return "fetch:" + fetch.address
                                                   + (after ? ">" + std::to_string(after->value()) : "") + " ";
                                           }},
                               request);
        }
        return text;
    }
    [[nodiscard]] std::int64_t version() const
    {
        return core.config() == nullptr ? 0 : core.config()->version.value();
    }
    static EntryRecordStatus peer(std::int64_t configVersion)
    {
        return {"peer", RelayConfigVersion(configVersion), false, 0, std::nullopt, {}};
    }
    static Error failure()
    {
        return {ResultCode::StoreUnavailable, "no answer", std::nullopt};
    }

    FakeDecoder decoder;
    EventListener listener;
    RelayCore core {RelayCoreSettings(), 1, listener};
    ClusterWatch watch {ClusterWatchSettings(), decoder, core, 1, listener};
    TimePoint now {1'000s};
};

/// Simulation of the store and the entries of a fleet in virtual time. Entries send announcements every 500 ms.
class SharingFleet
{
public:
    /// Links of the entries, which carry one transfer after the other, and sizes of what is transferred.
    struct Links
    {
        double bytesPerSecond = 0.0;
        std::size_t configBytes = 0;
        std::size_t listBytes = 0;
    };

    /// Creates @p size entries in @p domains failure domains, which the operators evacuate if @p evacuationTime is set.
    explicit SharingFleet(std::size_t size,
                          std::size_t domains = 1,
                          std::optional<Duration> evacuationTime = std::nullopt)
        : m_evacuationTime(evacuationTime)
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_entries.push_back(std::make_unique<Entry>(*this, index, "d" + std::to_string(index % domains)));
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += 5ms) {
            for (auto &entry : m_entries) {
                entry->step(*this);
            }
        }
    }
    /// Lets the store's answers to the entries from @p first to @p last time out from now on.
    void disconnect(std::size_t first, std::size_t last)
    {
        for (std::size_t index = first; index <= last; ++index) {
            m_entries[index]->disconnected = true;
        }
    }
    /// Lets the store refuse the calls of the entries from @p first to @p last from now on.
    void refuse(std::size_t first, std::size_t last)
    {
        for (std::size_t index = first; index <= last; ++index) {
            m_entries[index]->refused = true;
        }
    }
    /// Stops the entries from @p first to @p last; they neither act nor hear anything.
    void freeze(std::size_t first, std::size_t last)
    {
        for (std::size_t index = first; index <= last; ++index) {
            m_entries[index]->frozen = true;
        }
    }
    /// Replaces all entries by ones that know nothing.
    void restartAll()
    {
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            const bool disconnected = m_entries[index]->disconnected;
            const std::string domain = m_entries[index]->core.domain().value();
            m_entries[index] = std::make_unique<Entry>(*this, index, domain);
            m_entries[index]->disconnected = disconnected;
        }
    }
    void reconnectAll()
    {
        for (auto &entry : m_entries) {
            entry->disconnected = false;
        }
    }
    /// Returns whether @p holds applies to all entries that are not frozen.
    template<typename Condition> [[nodiscard]] bool all(const Condition &holds) const
    {
        return std::ranges::all_of(m_entries, [&](const auto &entry) {
            return entry->frozen || holds(entry->core);
        });
    }
    /// Runs until @p reached holds for all entries, for at most 10 s, and returns the elapsed time.
    template<typename Condition> Duration runUntilAll(const Condition &reached)
    {
        const TimePoint start = m_now;
        while (m_now - start < 10s && !all(reached)) {
            run(5ms);
        }
        return m_now - start;
    }
    /// Evacuates the domain "z" or takes it back.
    void evacuate(bool evacuated)
    {
        ++m_revision;
        m_operatorRevision = m_revision;
        m_evacuated = evacuated ? std::set {FailureDomain("z")} : std::set<FailureDomain> {};
    }
    /// Drops the history of the store, which breaks off the waits for a change. Those that are deaf have not heard of
    /// changes for a while.
    void setDeaf(bool deaf)
    {
        m_deaf = deaf;
    }
    void forgetHistory()
    {
        m_oldestRevision = m_revision;
    }
    /// Stores three upstreams, of which "c" may be leaving, and a configuration.
    void store(bool leaving, std::int64_t config)
    {
        ++m_revision;
        m_upstreams = {
            {"a", "1:1", m_revision}, {"b", "1:2", m_revision}, {"c", leaving ? "leaving" : "1:3", m_revision}};
        if (config != m_config) {
            m_config = config;
            m_configRevision = m_revision;
            m_operatorRevision = m_revision;
        }
    }

    /// Starts one more entry, which knows nothing yet.
    void addEntry()
    {
        m_entries.push_back(std::make_unique<Entry>(*this, m_entries.size(), "d0"));
    }
    /// Replaces the store by a copy from before the last @p revisions changes, with the configuration @p config.
    void restore(std::int64_t revisions, std::int64_t config, std::set<FailureDomain> evacuated = {})
    {
        m_evacuated = std::move(evacuated);
        m_revision -= revisions;
        m_era = m_era + StoreEra(1);
        m_config = config;
        m_configRevision = m_revision;
        m_operatorRevision = m_revision;
    }

    /// Number of calls to the store.
    int storeCalls = 0;
    /// Number of copies between entries that contained a configuration.
    int copiedConfigs = 0;
    /// Empty if transfers take no time.
    std::optional<Links> links;

private:
    struct PendingAnswer
    {
        TimePoint due;
        WatchRequest request;
        /// True if the answer is on the link.
        bool arriving = false;
        /// True if the entry gives the answer up before it has arrived.
        bool late = false;
    };
    struct Entry
    {
        Entry(const SharingFleet &fleet, std::size_t index, const std::string &domain)
            : name(std::to_string(100 + index))
            , nextAnnouncement(fleet.m_now + 20ms * static_cast<int>(index))
            , core(settings(name, domain, fleet.m_evacuationTime), index + 1, listener)
            , watch(ClusterWatchSettings(), decoder, core, index + 1, listener)
        {
        }
        static RelayCoreSettings
        settings(const std::string &name, const std::string &domain, std::optional<Duration> evacuationTime)
        {
            RelayCoreSettings result;
            result.self = InstanceId(name);
            result.domain = FailureDomain(domain);
            result.evacuations.applyTime = evacuationTime;
            return result;
        }

        void step(SharingFleet &fleet)
        {
            const TimePoint now = fleet.m_now;
            if (frozen) {
                return;
            }
            for (std::size_t index = 0; index < answers.size();) {
                if (fleet.isDue(answers[index]) && !fleet.beginTransfer(*this, answers[index])) {
                    const PendingAnswer answer = answers[index];
                    answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(index));
                    fleet.deliver(*this, answer);
                } else {
                    ++index;
                }
            }
            watch.expire(now);
            core.evacuations().expire(now);
            std::vector<WatchRequest> requests;
            watch.tick(now, requests);
            for (const WatchRequest &request : requests) {
                fleet.storeCalls += std::holds_alternative<FetchRecordCopy>(request) ? 0 : 1;
                const Duration time = disconnected ? fleet.timeoutOf(request) : fleet.answerTimeOf(request);
                answers.push_back({now + (refused ? Duration(5ms) : time), request, false, false});
            }
            const bool evacuationsChanged = watch.takeEvacuationAnnouncementDue();
            if (watch.takeAnnouncementDue() || evacuationsChanged || now >= nextAnnouncement) {
                nextAnnouncement = now + 500ms;
                EntryRecordStatus knowledge = watch.knowledge(now);
                knowledge.copyAddress = name;
                knowledge.domain = core.domain();
                for (auto &other : fleet.m_entries) {
                    if (other.get() != this && !other->frozen) {
                        other->watch.noteEntry(InstanceId(name), knowledge, now);
                    }
                }
            }
        }

        std::string name;
        bool disconnected = false;
        bool refused = false;
        bool frozen = false;
        TimePoint nextAnnouncement;
        FakeDecoder decoder;
        EventListener listener;
        RelayCore core;
        ClusterWatch watch;
        std::vector<PendingAnswer> answers;
        /// Time at which the last transfer over the entry's link ends.
        TimePoint linkFree = TimePoint::min();
    };

    static Duration timeoutOf(const WatchRequest &request)
    {
        return std::visit(
            [](const auto &read) {
                return read.timeout;
            },
            request);
    }
    static Duration answerTimeOf(const WatchRequest &request)
    {
        const auto *await = std::get_if<AwaitConfig>(&request);
        return await != nullptr ? await->wait : Duration(5ms);
    }
    [[nodiscard]] bool isDue(const PendingAnswer &answer) const
    {
        const auto *await = std::get_if<AwaitConfig>(&answer.request);
        return m_now >= answer.due
            || (!answer.arriving && await != nullptr
                && ((m_operatorRevision > await->revision && !m_deaf) || m_revision < await->revision
                    || await->revision < m_oldestRevision));
    }
    [[nodiscard]] Entry *find(const std::string &address)
    {
        const auto found = std::ranges::find(m_entries, address, [](const auto &entry) {
            return entry->name;
        });
        return found == m_entries.end() ? nullptr : found->get();
    }
    /// Returns the size of the answer to @p request as the store and the entries are now.
    [[nodiscard]] std::size_t bytesOf(const Entry &entry, const WatchRequest &request)
    {
        const bool refused = entry.disconnected || entry.refused;
        return std::visit(Overloaded {[&](const ReadUpstreams & /*read*/) {
                                          return refused ? 0 : links->listBytes;
                                      },
                                      [&](const ReadConfig & /*read*/) {
                                          return refused ? 0 : links->configBytes;
                                      },
                                      [&](const AwaitConfig &await) {
                                          return refused || m_configRevision <= await.revision ? 0 : links->configBytes;
                                      },
                                      [&](const FetchRecordCopy &fetch) {
                                          const Entry *source = find(fetch.address);
                                          const bool config =
                                              source != nullptr && source->watch.copy(fetch.contents, m_now).config;
                                          return links->listBytes + (config ? links->configBytes : 0);
                                      }},
                          request);
    }
    /// Puts a due answer on the links that it needs. Returns false if it has arrived already.
    bool beginTransfer(Entry &entry, PendingAnswer &answer)
    {
        const std::size_t bytes = links && !answer.arriving ? bytesOf(entry, answer.request) : 0;
        if (bytes == 0) {
            return false;
        }
        const auto *fetch = std::get_if<FetchRecordCopy>(&answer.request);
        Entry *source = fetch != nullptr ? find(fetch->address) : nullptr;
        TimePoint start = std::max(m_now, entry.linkFree);
        start = source != nullptr ? std::max(start, source->linkFree) : start;
        const TimePoint arrival = start + fromSeconds(static_cast<double>(bytes) / links->bytesPerSecond);
        TransferDeadline deadline(TransferSettings(), timeoutOf(answer.request), m_now);
        if (start < deadline.due()) {
            // Bytes arrive steadily from then on.
            deadline.received(bytes, arrival);
        }
        answer.arriving = true;
        answer.late = arrival > deadline.due();
        answer.due = std::min(arrival, deadline.due());
        entry.linkFree = answer.due;
        if (source != nullptr) {
            source->linkFree = answer.due;
        }
        return true;
    }
    void deliver(Entry &entry, const PendingAnswer &answer)
    {
        const WatchRequest &request = answer.request;
        const Error failure {ResultCode::StoreUnavailable, "no answer", std::nullopt};
        const bool fails = entry.disconnected || entry.refused || answer.late;
        const StoredConfig config {
            StoredRecord {"c", std::to_string(m_config), {m_configRevision, m_era}}, {m_revision, m_era}, m_evacuated};
        std::visit(
            Overloaded {[&](const ReadUpstreams & /*read*/) {
                            entry.watch.upstreamsRead(fails ? Result<StoredUpstreams>(failure)
                                                            : StoredUpstreams {m_upstreams, {m_revision, m_era}},
                                                      m_now);
                        },
                        [&](const ReadConfig & /*read*/) {
                            entry.watch.configRead(fails ? Result<StoredConfig>(failure) : config, m_now);
                        },
                        [&](const AwaitConfig &await) {
                            const bool compacted = m_revision < await.revision || await.revision < m_oldestRevision;
                            StoredConfig answer {std::nullopt, config.revision};
                            if (m_configRevision > await.revision && !m_deaf) {
                                answer.record = config.record;
                            }
                            if (m_operatorRevision > await.revision && !m_deaf) {
                                answer.evacuationChanges[FailureDomain("z")] = !m_evacuated.empty();
                            }
                            if (m_deaf) {
                                answer.revision.number = await.revision;
                            }
                            entry.watch.configAwaited(fails || compacted ? Result<StoredConfig>(failure) : answer,
                                                      m_now);
                        },
                        [&](const FetchRecordCopy &fetch) {
                            if (const Entry *source = find(fetch.address)) {
                                const RecordCopy copy = source->watch.copy(fetch.contents, m_now);
                                copiedConfigs += copy.config ? 1 : 0;
                                entry.watch.copyReceived(answer.late ? Result<RecordCopy>(failure) : copy, m_now);
                            }
                        }},
            request);
    }

    TimePoint m_now {1'000s};
    std::vector<StoredRecord> m_upstreams;
    std::int64_t m_revision = 0;
    StoreEra m_era;
    std::int64_t m_config = 0;
    std::int64_t m_configRevision = 0;
    std::set<FailureDomain> m_evacuated;
    /// Revision of the last change of the configuration or the evacuated domains.
    std::int64_t m_operatorRevision = 0;
    std::int64_t m_oldestRevision = 0;
    bool m_deaf = false;
    std::optional<Duration> m_evacuationTime;
    std::vector<std::unique_ptr<Entry>> m_entries;
};

} // namespace ibismast
