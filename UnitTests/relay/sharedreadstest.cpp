#include "UnitTests/relay/clusterwatchfixture.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

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

// Guards against a configuration that a part of the fleet does not apply within 2 s, or that falls back to an older
// one, after the store was restored from an older copy of its data.
TEST_CASE("a restored store hides no configuration from a fleet", "[relay]")
{
    const std::size_t entries = GENERATE(3, 9, 26);
    // Changes that the store loses, and changes after that before the next configuration.
    const auto [lost, later] = GENERATE(table<std::int64_t, int>({{1, 0}, {5, 0}, {5, 4}, {5, 5}, {5, 8}}));
    SharingFleet fleet(entries);
    const auto hasVersion = [](std::int64_t version) {
        return [version](const RelayCore &core) {
            return core.config() != nullptr && core.config()->version.value() == version;
        };
    };
    fleet.store(false, 1);
    fleet.run(5s);
    for (int change = 0; change < 4; ++change) {
        fleet.store(false, 1);
    }
    fleet.store(false, 2);
    REQUIRE(fleet.runUntilAll(hasVersion(2)) <= 2s);
    fleet.restore(lost, 1);
    fleet.run(1s);
    CHECK(fleet.runUntilAll(hasVersion(2)) == 0s);
    for (int change = 0; change < later; ++change) {
        fleet.store(false, 1);
    }
    fleet.store(false, 2);
    fleet.run(500ms);
    CHECK(fleet.runUntilAll(hasVersion(2)) == 0s);
    fleet.store(false, 3);
    CHECK(fleet.runUntilAll(hasVersion(3)) <= 2s);
}

// Guards against an entry that serves by an older configuration because it has started while a restored store lacked
// the newest one.
TEST_CASE("an entry that starts beside a restored store takes the newest configuration from another one", "[relay]")
{
    const std::size_t entries = GENERATE(3, 9, 26);
    SharingFleet fleet(entries);
    fleet.store(false, 1);
    fleet.run(3s);
    fleet.store(false, 2);
    fleet.run(3s);
    fleet.restore(1, 1);
    fleet.run(1s);
    fleet.addEntry();
    CHECK(fleet.runUntilAll([](const RelayCore &core) {
        return core.config() != nullptr && core.config()->version == RelayConfigVersion(2);
    }) <= 2s);
    fleet.store(false, 3);
    CHECK(fleet.runUntilAll([](const RelayCore &core) {
        return core.config()->version == RelayConfigVersion(3);
    }) <= 2s);
}

// Guards against a large configuration that some entries never get, because its transfer takes longer than the timeout
// of a read, from the store as well as from other entries (issue 51).
TEST_CASE("a large configuration reaches all entries over narrow links", "[relay]")
{
    const std::size_t entries = GENERATE(9, 35);
    // 14 Mbit/s, and the part of it that callers leave on a busy day.
    const double bytesPerSecond = GENERATE(1.75e6, 1.0e6);
    const auto [firstRefused, lastRefused] =
        GENERATE_COPY(table<std::size_t, std::size_t>({{1, 0}, {0, entries / 3}, {entries / 2, entries - 1}}));
    // Entries that the store refuses have more time to apply a configuration.
    const Duration bound = firstRefused > lastRefused ? 3s : 9s;
    SharingFleet fleet(entries, 3);
    fleet.store(false, 1);
    fleet.run(5s);
    fleet.links = SharingFleet::Links {bytesPerSecond, 745'000, 40'000};
    fleet.refuse(firstRefused, lastRefused);
    for (std::int64_t version = 2; version <= 4; ++version) {
        fleet.store(false, version);
        CAPTURE(entries, bytesPerSecond, firstRefused, lastRefused, version);
        CHECK(fleet.runUntilAll([version](const RelayCore &core) {
            return core.config()->version.value() == version;
        }) <= bound);
        fleet.run(4s);
    }
}

// Guards against links that are full of copies of a configuration that their receivers have (issue 51): most copies are
// made for the list of upstreams.
TEST_CASE("a copy contains the configuration only for entries that cannot read it", "[relay]")
{
    const auto [entries, refused] = GENERATE(table<std::size_t, std::size_t>({{9, 0}, {9, 3}, {35, 0}, {35, 12}}));
    SharingFleet fleet(entries, 3);
    fleet.store(false, 1);
    fleet.run(5s);
    if (refused > 0) {
        fleet.refuse(0, refused - 1);
    }
    fleet.copiedConfigs = 0;
    fleet.run(10s);
    CHECK(fleet.copiedConfigs == 0);
    fleet.store(false, 2);
    fleet.run(10s);
    CAPTURE(entries, refused);
    CHECK(fleet.all([](const RelayCore &core) {
        return core.config()->version.value() == 2;
    }));
    CHECK(fleet.copiedConfigs <= static_cast<int>(refused));
}
