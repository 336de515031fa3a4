#include "ibismast/relay/clusterwatch.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Decoder of records whose value is a version or an upstream's address; "?" cannot be read.
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
        return upstream;
    }
};

class WatchFixture
{
protected:
    /// Returns the kinds of reads that are due.
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
                                           [](const AskEntry &ask) {
                                               return "ask:" + ask.address + " ";
                                           }},
                               request);
        }
        return text;
    }
    [[nodiscard]] std::int64_t version() const
    {
        return core.config() == nullptr ? 0 : core.config()->version.value();
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

} // namespace

// Guards against a configuration that goes back to an older version.
TEST_CASE_METHOD(WatchFixture, "only a newer configuration is put in force", "[relay]")
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

// Guards against a wait that is cut, or whose history is gone, and then misses a change.
TEST_CASE_METHOD(WatchFixture, "a failed wait is followed by a read", "[relay]")
{
    (void)due();
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 10}, 10}, now);
    (void)due();
    watch.configAwaited(failure(), now);
    CHECK(due() == "config ");
}

// Guards against an entry that the store turns away while other entries have the current records.
TEST_CASE_METHOD(WatchFixture, "another entry is asked while the list is stale or the configuration old", "[relay]")
{
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}}, 5}, now);
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 4}, 5}, now);
    (void)due();
    SECTION("old configuration")
    {
        watch.noteEntry("peer", RelayConfigVersion(8), now);
        CHECK(due() == "ask:peer ");
        watch.copyReceived(RecordCopy {StoredRecord {"c", "8", 6}, {}, 0ms}, now);
        CHECK(version() == 8);
    }
    SECTION("stale list")
    {
        watch.noteEntry("peer", RelayConfigVersion(7), now);
        CHECK(due().empty());
        now += 1'200ms;
        watch.noteEntry("peer", RelayConfigVersion(7), now);
        CHECK(due() == "list ask:peer ");
        watch.copyReceived(RecordCopy {std::nullopt, {{{"b", "2:2", 8}}, 9}, 100ms}, now);
        CHECK(core.directory().find(InstanceId("b")) != nullptr);
        CHECK(watch.listRevision() == 9);
    }
}

// Guards against one unreadable record that hides the others.
TEST_CASE_METHOD(WatchFixture, "an unreadable record of an upstream is left out", "[relay]")
{
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}, {"x", "?", 5}, {"b", "2:2", 5}}, 5}, now);
    CHECK(core.directory().find(InstanceId("a")) != nullptr);
    CHECK(core.directory().find(InstanceId("b")) != nullptr);
    CHECK(core.directory().find(InstanceId("x")) == nullptr);
}

// Guards against a stampede on a store that has just come back.
TEST_CASE_METHOD(WatchFixture, "failed reads are repeated after growing pauses", "[relay]")
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
