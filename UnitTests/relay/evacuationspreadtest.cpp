#include "UnitTests/relay/clusterwatchfixture.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr Duration ApplyTime = 5s;

/// Longest time in which an evacuation may spread, a margin below the time in which it must be in force.
constexpr Duration MaxSpreadTime = 3s;

auto isEvacuated(bool evacuated)
{
    return [evacuated](RelayCore &core) {
        return core.evacuations().contains(FailureDomain("z")) == evacuated;
    };
}

/// An entry that has read the evacuation of "z" at revision 10 and waits for changes.
class EvacuationWatchFixture
{
protected:
    EvacuationWatchFixture()
    {
        read({10}, {FailureDomain("z")});
        tick();
    }
    void read(RecordRevision revision, std::set<FailureDomain> evacuated)
    {
        watch.configRead(StoredConfig {StoredRecord {"c", "7", {1}}, revision, std::move(evacuated)}, now);
    }
    void await(RecordRevision revision, std::map<FailureDomain, bool> changes)
    {
        watch.configAwaited(StoredConfig {std::nullopt, revision, std::nullopt, std::move(changes)}, now);
    }
    void tell(const std::string &source, EvacuatedDomains evacuated)
    {
        if (source == "copy") {
            RecordCopy copy;
            copy.evacuations = std::move(evacuated);
            watch.copyReceived(copy, now);
        } else {
            EntryRecordStatus status;
            status.evacuations = std::move(evacuated);
            watch.noteEntry(InstanceId("p"), status, now);
        }
    }
    /// Returns whether the entry reads all records next.
    bool tick()
    {
        std::vector<WatchRequest> requests;
        watch.tick(now, requests);
        return std::ranges::any_of(requests, [](const WatchRequest &request) {
            return std::holds_alternative<ReadConfig>(request);
        });
    }
    [[nodiscard]] std::string inForce()
    {
        std::string result;
        for (const std::string domain : {"y", "z"}) {
            result += core.evacuations().contains(FailureDomain(domain)) ? domain : "";
        }
        return result;
    }
    static RelayCoreSettings settings()
    {
        RelayCoreSettings result;
        result.evacuations.applyTime = ApplyTime;
        return result;
    }

    const FailureDomain y {"y"};
    const FailureDomain z {"z"};
    FakeDecoder decoder;
    EventListener listener;
    RelayCore core {settings(), 1, listener};
    ClusterWatch watch {ClusterWatchSettings(), decoder, core, 1, listener};
    TimePoint now {1'000s};
};

} // namespace

// Guards against another entry's news or copy that is older than what this entry has read, and against changes that are
// applied to what another entry has told instead of to what was seen when the wait began.
TEST_CASE_METHOD(EvacuationWatchFixture, "what entries tell and what the store answers are ordered", "[relay]")
{
    const std::string source = GENERATE("copy", "news");
    CHECK(inForce() == "z");
    tell(source, {{}, {9}});
    CHECK(inForce() == "z");
    tell(source, {{y}, {15}});
    CHECK(inForce() == "y");
    // The wait ends without a change at a time before that.
    await({12}, {});
    CHECK(inForce() == "y");
    await({16}, {{z, false}, {y, true}});
    CHECK(inForce() == "y");
    await({17}, {{z, true}});
    CHECK(inForce() == "yz");
    await({18}, {{y, false}, {z, false}});
    CHECK(inForce().empty());
}

// Guards against an announcement that is missing, so that others learn of a change only by the next heartbeat, and
// against one by each entry that hears of it.
TEST_CASE_METHOD(EvacuationWatchFixture, "changes are announced by the entry that has read them", "[relay]")
{
    CHECK(watch.takeEvacuationAnnouncementDue());
    CHECK_FALSE(watch.takeEvacuationAnnouncementDue());
    await({11}, {});
    CHECK_FALSE(watch.takeEvacuationAnnouncementDue());
    await({12}, {{z, false}});
    CHECK(watch.takeEvacuationAnnouncementDue());
    tell("news", {{y}, {13}});
    CHECK_FALSE(watch.takeEvacuationAnnouncementDue());
    CHECK(watch.knowledge(now).evacuations == EvacuatedDomains {{y}, {13}});
    CHECK(watch.copy({}, now).evacuations == EvacuatedDomains {{y}, {13}});
}

// Guards against changes of a restored store that are applied to what was read of the former one.
TEST_CASE_METHOD(EvacuationWatchFixture, "a wait that the store was restored in leads to a read", "[relay]")
{
    await({4, StoreEra(1)}, {{y, true}});
    CHECK(inForce() == "z");
    CHECK(tick());
    read({4, StoreEra(1)}, {y});
    CHECK(inForce() == "yz");
}

// Guards against entries that send to an evacuated domain, or leave one unused that has returned, since the few entries
// that wait at the store for the others are refused, cut off, frozen or killed. The first four wait.
TEST_CASE("an evacuation and its end reach all entries in time", "[relay]")
{
    struct Row
    {
        std::size_t entries;
        std::string trouble;
        std::size_t first = 0;
        std::size_t last = 0;
    };
    const Row row = GENERATE(values<Row>({
        {3, "none"},
        {3, "refused", 0, 1},
        {3, "cut", 0, 1},
        {9, "none"},
        {26, "none"},
        {26, "refused", 0, 3},
        {26, "refused", 0, 8},
        {26, "refused", 1, 25},
        {26, "cut", 0, 3},
        {26, "cut", 0, 8},
        {26, "cut", 1, 25},
        {26, "frozen", 0, 3},
        {26, "frozen", 0, 12},
        {100, "none"},
        {100, "cut", 0, 3},
    }));
    const Duration delay = GENERATE(0ms, 300ms, 1'200ms);
    CAPTURE(row.entries, row.trouble, row.first, row.last, delay.count());
    SharingFleet fleet(row.entries, 3, ApplyTime);
    fleet.store(false, 1);
    fleet.run(5s);
    const auto trouble = [&fleet, &row] {
        if (row.trouble == "refused") {
            fleet.refuse(row.first, row.last);
        } else if (row.trouble == "cut") {
            fleet.disconnect(row.first, row.last);
        } else if (row.trouble == "frozen") {
            fleet.freeze(row.first, row.last);
        }
    };
    const bool evacuatedBefore = GENERATE(false, true);
    if (evacuatedBefore) {
        fleet.evacuate(true);
        CHECK(fleet.runUntilAll(isEvacuated(true)) <= 600ms);
    }
    trouble();
    fleet.run(delay);
    fleet.evacuate(!evacuatedBefore);
    CHECK(fleet.runUntilAll(isEvacuated(!evacuatedBefore)) <= MaxSpreadTime);
    fleet.evacuate(evacuatedBefore);
    CHECK(fleet.runUntilAll(isEvacuated(evacuatedBefore)) <= MaxSpreadTime);
}

// Guards against a change that is missed since the store has dropped it from its history before the waits heard of it:
// only a read of all records shows the deletion.
TEST_CASE("a forgotten history hides no change of the evacuations", "[relay]")
{
    const std::size_t entries = GENERATE(3, 26);
    const bool evacuated = GENERATE(false, true);
    SharingFleet fleet(entries, 3, ApplyTime);
    fleet.store(false, 1);
    fleet.evacuate(!evacuated);
    fleet.run(5s);
    REQUIRE(fleet.all(isEvacuated(!evacuated)));
    fleet.setDeaf(true);
    fleet.evacuate(evacuated);
    fleet.run(1s);
    fleet.setDeaf(false);
    fleet.forgetHistory();
    CHECK(fleet.runUntilAll(isEvacuated(evacuated)) <= MaxSpreadTime - 1s);
}

// Guards against evacuations that cost calls of the store, which the configuration's reads and waits make anyway.
TEST_CASE("watching the evacuations costs no further calls", "[relay]")
{
    const std::size_t entries = GENERATE(3, 26);
    const auto calls = [entries](std::optional<Duration> applyTime) {
        SharingFleet fleet(entries, 3, applyTime);
        fleet.store(false, 1);
        fleet.run(30s);
        return fleet.storeCalls;
    };
    CHECK(calls(ApplyTime) == calls(std::nullopt));
}

// Guards against requests to an evacuated domain after the store was restored from a copy that lacks the evacuation,
// and against a domain that stays evacuated for good after that.
TEST_CASE("an evacuation outlives a restored store until the operators repeat it", "[relay]")
{
    const std::size_t entries = GENERATE(3, 26);
    const bool repeated = GENERATE(false, true);
    SharingFleet fleet(entries, 3, ApplyTime);
    fleet.store(false, 1);
    fleet.run(2s);
    fleet.evacuate(true);
    fleet.run(3s);
    fleet.restore(1, 1);
    for (int step = 0; step < 60; ++step) {
        fleet.run(100ms);
        CHECK(fleet.all(isEvacuated(true)));
    }
    if (repeated) {
        fleet.evacuate(true);
        fleet.run(12s);
        CHECK(fleet.all(isEvacuated(true)));
        fleet.evacuate(false);
        CHECK(fleet.runUntilAll(isEvacuated(false)) <= MaxSpreadTime);
    } else {
        fleet.run(6s);
        CHECK(fleet.all(isEvacuated(false)));
    }
}

// Guards against entries that start without knowing the evacuated domains: one that the store does not answer, and all
// at once while the store is away.
TEST_CASE("entries know the evacuated domains before they are ready", "[relay]")
{
    const std::size_t entries = GENERATE(3, 26);
    const bool all = GENERATE(false, true);
    SharingFleet fleet(entries, 3, ApplyTime);
    fleet.store(false, 1);
    fleet.evacuate(true);
    fleet.run(3s);
    fleet.disconnect(0, entries - 1);
    if (all) {
        fleet.restartAll();
    } else {
        fleet.addEntry();
        fleet.disconnect(entries, entries);
    }
    const auto servesBlindly = [](RelayCore &core) {
        return core.ready() && !core.evacuations().contains(FailureDomain("z"));
    };
    const auto ready = [](RelayCore &core) {
        return core.ready();
    };
    for (int step = 0; step < 120; ++step) {
        fleet.run(50ms);
        CHECK(fleet.all([&](RelayCore &core) {
            return !servesBlindly(core);
        }));
        if (step == 60) {
            CHECK(fleet.all(ready) == !all);
            fleet.reconnectAll();
        }
    }
    CHECK(fleet.all(ready));
}
