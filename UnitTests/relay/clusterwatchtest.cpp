#include "ibismast/relay/clusterwatch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

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
                                               return "fetch:" + fetch.address + " ";
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
    /// Creates @p size entries in @p domains failure domains.
    explicit SharingFleet(std::size_t size, std::size_t domains = 1)
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
    /// Runs until @p reached holds for all entries, for at most 10 s, and returns the elapsed time.
    template<typename Condition> Duration runUntilAll(const Condition &reached)
    {
        const TimePoint start = m_now;
        while (m_now - start < 10s && !std::ranges::all_of(m_entries, [&](const auto &entry) {
                   return reached(entry->core);
               })) {
            run(5ms);
        }
        return m_now - start;
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
        }
    }

    /// Number of calls to the store.
    int storeCalls = 0;

private:
    struct PendingAnswer
    {
        TimePoint due;
        WatchRequest request;
    };
    struct Entry
    {
        Entry(const SharingFleet &fleet, std::size_t index, const std::string &domain)
            : name(std::to_string(100 + index))
            , nextAnnouncement(fleet.m_now + 20ms * static_cast<int>(index))
            , core(settings(name, domain), index + 1, listener)
            , watch(ClusterWatchSettings(), decoder, core, index + 1, listener)
        {
        }
        static RelayCoreSettings settings(const std::string &name, const std::string &domain)
        {
            RelayCoreSettings result;
            result.self = InstanceId(name);
            result.domain = FailureDomain(domain);
            return result;
        }

        void step(SharingFleet &fleet)
        {
            const TimePoint now = fleet.m_now;
            for (std::size_t index = 0; index < answers.size();) {
                if (fleet.isDue(answers[index])) {
                    const PendingAnswer answer = answers[index];
                    answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(index));
                    fleet.deliver(*this, answer.request);
                } else {
                    ++index;
                }
            }
            watch.expire(now);
            std::vector<WatchRequest> requests;
            watch.tick(now, requests);
            for (const WatchRequest &request : requests) {
                fleet.storeCalls += std::holds_alternative<FetchRecordCopy>(request) ? 0 : 1;
                answers.push_back(
                    {now + (disconnected ? fleet.timeoutOf(request) : fleet.answerTimeOf(request)), request});
            }
            if (watch.takeAnnouncementDue() || now >= nextAnnouncement) {
                nextAnnouncement = now + 500ms;
                EntryRecordStatus knowledge = watch.knowledge(now);
                knowledge.copyAddress = name;
                knowledge.domain = core.domain();
                for (auto &other : fleet.m_entries) {
                    if (other.get() != this) {
                        other->watch.noteEntry(InstanceId(name), knowledge, now);
                    }
                }
            }
        }

        std::string name;
        bool disconnected = false;
        TimePoint nextAnnouncement;
        FakeDecoder decoder;
        EventListener listener;
        RelayCore core;
        ClusterWatch watch;
        std::vector<PendingAnswer> answers;
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
        return m_now >= answer.due || (await != nullptr && m_configRevision > await->revision);
    }
    void deliver(Entry &entry, const WatchRequest &request)
    {
        const Error failure {ResultCode::StoreUnavailable, "no answer", std::nullopt};
        const StoredConfig config {StoredRecord {"c", std::to_string(m_config), m_configRevision}, m_revision};
        std::visit(
            Overloaded {[&](const ReadUpstreams & /*read*/) {
                            entry.watch.upstreamsRead(entry.disconnected ? Result<StoredUpstreams>(failure)
                                                                         : StoredUpstreams {m_upstreams, m_revision},
                                                      m_now);
                        },
                        [&](const ReadConfig & /*read*/) {
                            entry.watch.configRead(entry.disconnected ? Result<StoredConfig>(failure) : config, m_now);
                        },
                        [&](const AwaitConfig & /*await*/) {
                            entry.watch.configAwaited(entry.disconnected ? Result<StoredConfig>(failure) : config,
                                                      m_now);
                        },
                        [&](const FetchRecordCopy &fetch) {
                            for (const auto &other : m_entries) {
                                if (other->name == fetch.address) {
                                    entry.watch.copyReceived(other->watch.copy(m_now), m_now);
                                }
                            }
                        }},
            request);
    }

    TimePoint m_now {1'000s};
    std::vector<StoredRecord> m_upstreams;
    std::int64_t m_revision = 0;
    std::int64_t m_config = 0;
    std::int64_t m_configRevision = 0;
    std::vector<std::unique_ptr<Entry>> m_entries;
};

} // namespace

// Guards against a number of calls to the store that grows with the number of entries, since each call costs money.
// Seen with 26 entries that watch 78 upstreams without any changes.
TEST_CASE("the entries of a large fleet share their reads of the store", "[relay]")
{
    const auto [entries, maxRate] = GENERATE(table<std::size_t, double>({{3, 2.4}, {26, 0.75}, {100, 0.65}}));
    SharingFleet fleet(entries);
    fleet.store(false, 1);
    fleet.run(5s);
    fleet.storeCalls = 0;
    fleet.run(20s);
    // Calls per entry and second.
    CHECK(fleet.storeCalls / 20.0 / static_cast<double>(entries) <= maxRate);
}

// Guards against calls to the store that grow with the entries of a domain: there, one read serves all of them.
TEST_CASE("the calls to the store do not grow with the entries of a domain", "[relay]")
{
    const std::size_t domains = GENERATE(1, 3, 5);
    const auto rate = [domains](std::size_t entries) {
        SharingFleet fleet(entries, domains);
        fleet.store(false, 1);
        fleet.run(5s);
        fleet.storeCalls = 0;
        fleet.run(20s);
        return fleet.storeCalls / 20.0;
    };
    CHECK(rate(100) <= rate(26) * 1.5);
}

// Guards against upstreams that count as silent because the list is only confirmed by a digest, which does not carry
// their reports, and against reports that are passed on between entries and grow older each time.
TEST_CASE_METHOD(WatchFixture, "reports are copied only from an entry that has just read them", "[relay]")
{
    struct Row
    {
        /// Age of the other entry's own read when it is announced; empty if it holds a copy itself.
        std::optional<Duration> listAge;
        std::string domain;
        std::string expected;
    };
    const Row row = GENERATE(values<Row>({
        {100ms, "", "fetch:p "},
        {400ms, "", "fetch:p "},
        {600ms, "", "list "},
        {std::nullopt, "", "list "},
        {100ms, "elsewhere", "list "},
    }));
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}}, 5}, now);
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 4}, 5}, now);
    (void)due();
    const std::uint64_t digest = watch.knowledge(now).listDigest;
    const TimePoint read = now;
    // Other domains confirm the list all the time.
    const auto confirm = [&] {
        for (const std::string name : {"1", "2", "3", "4", "5"}) {
            watch.noteEntry(
                InstanceId(name), {name, RelayConfigVersion(7), false, digest, 10ms, FailureDomain("far")}, now);
        }
    };
    std::string seen;
    while (seen.empty() && now - read < 3s) {
        now += 10ms;
        confirm();
        if (now - read > 1s) {
            watch.noteEntry(InstanceId("p"),
                            {"p", RelayConfigVersion(7), false, digest, row.listAge, FailureDomain(row.domain)},
                            now);
        }
        seen = due();
    }
    CHECK(now - read <= 2'110ms);
    CHECK(seen == row.expected);

    if (row.expected != "list ") {
        SECTION("the copy arrives")
        {
            watch.copyReceived(RecordCopy {std::nullopt, {{{"a", "1:1", 6}}, 6}, 20ms}, now);
            CHECK(watch.listRevision() == 6);
            CHECK(watch.knowledge(now).listAge == std::nullopt);
            now += 300ms;
            confirm();
            CHECK(due().find("list") == std::string::npos);
        }
        SECTION("the copy does not arrive")
        {
            watch.copyReceived(failure(), now);
            now += 500ms;
            confirm();
            CHECK(due().find("list") != std::string::npos);
        }
    }
}

// Guards against shared reads that delay changes beyond the required 2 s, also while some entries cannot reach the
// store. The first four entries long-poll for new configurations.
TEST_CASE("all entries that share reads notice a change within 2 s", "[relay]")
{
    const auto [entries, firstDisconnected, lastDisconnected] = GENERATE(table<std::size_t, std::size_t, std::size_t>(
        {{3, 1, 0}, {26, 1, 0}, {26, 0, 0}, {26, 0, 2}, {26, 1, 9}, {26, 10, 25}, {100, 0, 2}}));
    const bool list = GENERATE(true, false);
    SharingFleet fleet(entries);
    fleet.store(false, 1);
    fleet.run(5s);
    fleet.disconnect(firstDisconnected, lastDisconnected);
    const Duration changeDelay = GENERATE(0ms, 300ms, 1'200ms);
    fleet.run(changeDelay);
    fleet.store(list, list ? 1 : 2);
    const Duration elapsed = fleet.runUntilAll([list](RelayCore &core) {
        return list ? core.directory().find(InstanceId("c"))->record.leaving
                    : core.config() != nullptr && core.config()->version.value() == 2;
    });
    CAPTURE(entries, firstDisconnected, lastDisconnected, list, changeDelay.count());
    CHECK(elapsed <= 2s);
}

// Guards against the age of a list being passed on between entries, which makes the list appear more recent after each
// network delay.
TEST_CASE_METHOD(WatchFixture, "only own reads are announced to other entries", "[relay]")
{
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}}, 5}, now);
    const std::uint64_t digest = watch.knowledge(now).listDigest;
    now += 500ms;
    for (const std::string name : {"p", "q", "r", "s", "t"}) {
        watch.noteEntry(InstanceId(name), {name, RelayConfigVersion(), false, digest, 10ms, {}}, now);
    }
    CHECK(watch.knowledge(now).listAge == std::optional<Duration>(500ms));
    now += 1s;
    CHECK(due().find("list") != std::string::npos);
    watch.copyReceived(RecordCopy {std::nullopt, {{{"b", "2:2", 8}}, 9}, 100ms}, now);
    CHECK(watch.knowledge(now).listAge == std::nullopt);
}

// Guards against a configuration that is replaced by an older version.
TEST_CASE_METHOD(WatchFixture, "only a newer configuration is applied", "[relay]")
{
    const auto [value, revision, expected] = GENERATE(
        table<std::string, std::int64_t, std::int64_t>({{"8", 11, 8}, {"6", 9, 7}, {"?", 11, 7}, {"6", 11, 7}}));
    (void)due();
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 10}, 10}, now);
    REQUIRE(version() == 7);
    CHECK(due() == "await10 ");
    watch.configAwaited(StoredConfig {StoredRecord {"c", value, revision}, 12}, now);
    CHECK(version() == expected);
    CHECK(due() == "await12 ");
}

// Guards against a change that is missed because the long poll broke off or the store has compacted its history.
TEST_CASE_METHOD(WatchFixture, "a failed long poll is followed by a read", "[relay]")
{
    (void)due();
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 10}, 10}, now);
    (void)due();
    watch.configAwaited(failure(), now);
    CHECK(due() == "config ");
}

// Guards against outdated records in an entry that cannot read the store while other entries have the current ones.
TEST_CASE_METHOD(WatchFixture,
                 "the copy of another entry is fetched if the list is stale or the configuration outdated",
                 "[relay]")
{
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}}, 5}, now);
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 4}, 5}, now);
    (void)due();
    SECTION("outdated configuration")
    {
        watch.noteEntry(InstanceId("p"), peer(8), now);
        CHECK(due() == "fetch:peer ");
        watch.copyReceived(RecordCopy {StoredRecord {"c", "8", 6}, {}, 0ms}, now);
        CHECK(version() == 8);
    }
    SECTION("stale list")
    {
        watch.noteEntry(InstanceId("p"), peer(7), now);
        CHECK(due().empty());
        now += 1'200ms;
        watch.noteEntry(InstanceId("p"), peer(7), now);
        CHECK(due() == "list fetch:peer ");
        watch.copyReceived(RecordCopy {std::nullopt, {{{"b", "2:2", 8}}, 9}, 100ms}, now);
        CHECK(core.directory().find(InstanceId("b")) != nullptr);
        CHECK(watch.listRevision() == 9);
    }
}

// Guards against fetching configurations that are not newer, which costs every entry a large copy after a change.
TEST_CASE_METHOD(WatchFixture, "a configuration is fetched only from an entry with a newer one", "[relay]")
{
    const auto [theirs, expected] =
        GENERATE(table<std::int64_t, std::string>({{0, ""}, {6, ""}, {7, ""}, {8, "fetch:peer "}}));
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}}, 5}, now);
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 4}, 5}, now);
    (void)due();
    watch.noteEntry(InstanceId("p"), peer(theirs), now);
    CHECK(due() == expected);
}

// Guards against one unreadable record that makes the others unusable.
TEST_CASE_METHOD(WatchFixture, "an unreadable record of an upstream is skipped", "[relay]")
{
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}, {"x", "?", 5}, {"b", "2:2", 5}}, 5}, now);
    CHECK(core.directory().find(InstanceId("a")) != nullptr);
    CHECK(core.directory().find(InstanceId("b")) != nullptr);
    CHECK(core.directory().find(InstanceId("x")) == nullptr);
}

// Guards against a burst of reads from all entries when the store recovers.
TEST_CASE_METHOD(WatchFixture, "failed reads are retried with backoff", "[relay]")
{
    Duration longest {};
    for (int failures = 0; failures < 6; ++failures) {
        const TimePoint failed = now;
        while (due().find("list") == std::string::npos) {
            now += 5ms;
        }
        longest = std::max(longest, now - failed);
        watch.upstreamsRead(failure(), now);
    }
    CHECK(longest >= 350ms);
    CHECK(longest <= 705ms);
}
