#include "UnitTests/relay/clusterwatchfixture.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

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
