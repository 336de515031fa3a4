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

// Guards against a configuration that is not in force, or an older one that is, because a restored store has given its
// revision to another one before.
TEST_CASE_METHOD(WatchFixture, "configurations are ordered by their version across a restored store", "[relay]")
{
    struct Row
    {
        std::string value;
        RecordRevision revision;
        std::int64_t expected;
    };
    const Row row = GENERATE(values<Row>({
        {"8", {5, StoreEra(1)}, 8},
        {"8", {10, StoreEra(1)}, 8},
        {"8", {12, StoreEra(1)}, 8},
        {"8", {5, StoreEra(0)}, 8},
        {"6", {9, StoreEra(1)}, 7},
        {"6", {12, StoreEra(1)}, 7},
        {"?", {9, StoreEra(1)}, 7},
        {"7", {9, StoreEra(1)}, 7},
    }));
    const std::string source = GENERATE("wait", "read", "entry");
    (void)due();
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 10}, 10}, now);
    REQUIRE(version() == 7);
    const StoredRecord record {"c", row.value, row.revision};
    if (source == "entry") {
        watch.copyReceived(RecordCopy {record, {}, 0ms}, now);
    } else if (source == "read") {
        watch.configRead(StoredConfig {record, row.revision}, now);
    } else {
        watch.configAwaited(StoredConfig {record, row.revision}, now);
    }
    CHECK(version() == row.expected);
    // An entry hands out the configuration that it has in force.
    const RecordCopy copy = watch.copy({RelayConfigVersion()}, now);
    REQUIRE(copy.config);
    CHECK(copy.config->value == std::to_string(row.expected));
    watch.configAwaited(StoredConfig {StoredRecord {"c", "9", {6, StoreEra(2)}}, {6, StoreEra(2)}}, now);
    CHECK(version() == 9);
}

// Guards against a change that is missed because the wait for it goes on from a revision that a restored store has
// given out again.
TEST_CASE_METHOD(WatchFixture, "after the store was restored, the configuration is read anew", "[relay]")
{
    const auto [source, era, expected] = GENERATE(table<std::string, std::int64_t, std::string>({
        {"wait", 0, "await12 "},
        {"wait", 1, "config "},
        {"list", 0, "await12 "},
        {"list", 1, "config "},
        {"entry", 1, "config "},
    }));
    (void)due();
    watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", 5}}, 9}, now);
    watch.configRead(StoredConfig {StoredRecord {"c", "7", 4}, 10}, now);
    REQUIRE(due() == "await10 ");
    const RecordRevision restored {12, StoreEra(era)};
    if (source == "list") {
        watch.upstreamsRead(StoredUpstreams {{{"a", "1:1", restored}}, restored}, now);
    } else if (source == "entry") {
        watch.copyReceived(RecordCopy {std::nullopt, {{{"a", "1:1", restored}}, restored}, 0ms}, now);
    }
    // Other answers of the former era are still on their way.
    watch.configAwaited(StoredConfig {std::nullopt, {12, StoreEra(source == "wait" ? era : 0)}}, now);
    CHECK(due() == expected);
    if (era > 0) {
        watch.configRead(StoredConfig {std::nullopt, {12, StoreEra(0)}}, now);
        CHECK(due().find("config ") == std::string::npos);
        now += 160ms;
        CHECK(due().find("config ") != std::string::npos);
        watch.configRead(StoredConfig {std::nullopt, {12, StoreEra(1)}}, now);
        CHECK(due().find("await12 ") != std::string::npos);
    }
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
        CHECK(due() == "fetch:peer>7 ");
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
        GENERATE(table<std::int64_t, std::string>({{0, ""}, {6, ""}, {7, ""}, {8, "fetch:peer>7 "}}));
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

namespace
{

class UnreadableCount final : public EventListener
{
public:
    void onEvent(std::string_view name, const std::vector<LogField> & /*fields*/) override
    {
        count += name == "upstream_unreadable" ? 1 : 0;
    }

    int count = 0;
};

} // namespace

// Guards against memory, copies and log lines that grow with what other writers store among the upstreams' records.
TEST_CASE_METHOD(WatchFixture, "an unreadable record is neither kept nor reported again", "[relay]")
{
    const auto [lists, reports] = GENERATE(table<std::vector<std::string>, int>({
        {{"a x"}, 1},
        {{"a x", "a x", "a x"}, 1},
        {{"a x", "a", "a x"}, 2},
        {{"a x", "a x y", "a y"}, 2},
        {{"a"}, 0},
    }));
    UnreadableCount log;
    ClusterWatch logged(ClusterWatchSettings(), decoder, core, 1, log);
    std::int64_t revision = 1;
    for (const std::string &list : lists) {
        ++revision;
        StoredUpstreams upstreams {{}, revision};
        for (const char key : list) {
            if (key != ' ') {
                upstreams.records.push_back({std::string(1, key), key == 'a' ? "1:1" : "?", revision});
            }
        }
        logged.upstreamsRead(upstreams, now);
        CHECK(logged.copy({}, now).upstreams.records.size() == 1);
        CHECK(logged.copy({}, now).upstreams.revision == RecordRevision {revision});
    }
    CHECK(log.count == reports);
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
