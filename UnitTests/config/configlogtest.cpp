#include "ibismast/config/configlog.h"
#include "UnitTests/harness/configfleet.h"
#include "ibismast/core/seededrandom.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start {100s};

// One writer with a replica of its own.
struct Writer
{
    Writer(std::uint16_t range, const ConfigLogSettings &settings) : ids(range), log(settings, replica, ids) { }

    StoreCallIds ids;
    ConfigReplica replica;
    ConfigLog log;
    StoreCalls calls;
    std::vector<ChangeOutcome> outcomes;
};

// Several writers on one store in virtual time.
class LogBench
{
public:
    explicit LogBench(std::uint16_t writers, const ConfigLogSettings &settings = {})
    {
        for (std::uint16_t index = 0; index < writers; ++index) {
            m_writers.push_back(std::make_unique<Writer>(index + 1, settings));
        }
    }

    Writer &writer(std::size_t index)
    {
        return *m_writers[index];
    }
    FakeStore &store()
    {
        return m_store;
    }
    void submit(std::size_t index, ConfigChange change)
    {
        m_writers[index]->log.submit(std::move(change), m_now, m_writers[index]->calls);
    }
    void run(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end; m_now += 1ms) {
            step();
        }
    }
    // Runs until no writer is busy; returns false after 60 s.
    bool settle()
    {
        for (const TimePoint end = m_now + 60s; m_now < end; m_now += 1ms) {
            step();
            if (std::ranges::none_of(m_writers, [](const auto &writer) {
                    return writer->log.busy();
                })) {
                return true;
            }
        }
        return false;
    }

private:
    void step()
    {
        const auto answers = m_store.takeAnswers(m_now);
        for (const auto &writer : m_writers) {
            const Revision before = writer->replica.revision();
            for (const StoreAnswer &answer : answers) {
                writer->log.handle(answer, m_now, writer->calls);
            }
            writer->log.tick(m_now, writer->calls);
            if (writer->replica.revision() < before) {
                FAIL("the replica went back from revision " << before.value());
            }
            for (const StoreCall &call : std::exchange(writer->calls, {})) {
                m_store.submit(call, m_now);
            }
            std::ranges::move(writer->log.takeOutcomes(), std::back_inserter(writer->outcomes));
        }
    }

    FakeStore m_store;
    std::vector<std::unique_ptr<Writer>> m_writers;
    TimePoint m_now = Start;
};

// Reads the whole log with a new replica.
ConfigReplica readAll(FakeStore &store, TimePoint now)
{
    ConfigReplica replica({100'000'000, 1'000});
    StoreCallIds ids(999);
    ConfigLogReader reader(replica, ids);
    StoreCalls calls;
    reader.start(false, calls);
    while (reader.busy()) {
        for (const StoreCall &call : std::exchange(calls, {})) {
            store.submit(call, now);
        }
        now += 2ms;
        for (const StoreAnswer &answer : store.takeAnswers(now)) {
            reader.handle(answer, calls);
        }
    }
    CHECK(reader.takeReading().value().failure.empty());
    return replica;
}

} // namespace

TEST_CASE("a change is accepted with the next revision and read by others", "[config]")
{
    LogBench bench(2);
    bench.submit(0, drainChange("c1", "a"));
    REQUIRE(bench.settle());
    bench.submit(1, drainChange("c2", "b"));
    REQUIRE(bench.settle());
    REQUIRE(bench.writer(0).outcomes.size() == 1);
    CHECK(bench.writer(0).outcomes[0].code == ResultCode::Ok);
    CHECK(bench.writer(0).outcomes[0].revision == Revision(1));
    CHECK(bench.writer(1).outcomes.at(0).revision == Revision(2));
    const auto replica = readAll(bench.store(), Start + 100s);
    CHECK(replica.revision() == Revision(2));
    CHECK(replica.state().objects.at("drain a").version == Revision(1));
}

// Guards against two operators overwriting each other without noticing.
TEST_CASE("the later of two racing changes sees the one that came between", "[config]")
{
    LogBench bench(2);
    for (std::size_t index : {0, 1}) {
        auto change = drainChange("c" + std::to_string(index), "a", "reason " + std::to_string(index));
        change.expected["drain a"] = Revision();
        bench.submit(index, change);
    }
    REQUIRE(bench.settle());
    const auto &first = bench.writer(0).outcomes.at(0);
    const auto &second = bench.writer(1).outcomes.at(0);
    CHECK((first.code == ResultCode::Ok) != (second.code == ResultCode::Ok));
    const auto &loser = first.code == ResultCode::Ok ? second : first;
    CHECK(loser.code == ResultCode::ConfigConflict);
    REQUIRE(loser.between.size() == 1);
    CHECK(loser.between[0].edits.at(0).object == "drain a");
}

TEST_CASE("changes of different objects do not conflict", "[config]")
{
    LogBench bench(3);
    for (std::size_t index : {0, 1, 2}) {
        auto change = drainChange("c" + std::to_string(index), "host-" + std::to_string(index));
        change.expected["drain host-" + std::to_string(index)] = Revision();
        bench.submit(index, change);
    }
    REQUIRE(bench.settle());
    for (std::size_t index : {0, 1, 2}) {
        CHECK(bench.writer(index).outcomes.at(0).code == ResultCode::Ok);
    }
    CHECK(readAll(bench.store(), Start + 100s).revision() == Revision(3));
}

// Guards against a change that the client sends again being applied twice.
TEST_CASE("a repeated change id is answered with its first revision", "[config]")
{
    LogBench bench(2);
    bench.submit(0, drainChange("c1", "a"));
    REQUIRE(bench.settle());
    bench.submit(1, drainChange("c1", "a", "other reason"));
    REQUIRE(bench.settle());
    CHECK(bench.writer(1).outcomes.at(0).revision == Revision(1));
    CHECK(readAll(bench.store(), Start + 100s).state().objects.at("drain a").values.at("reason") == "disk");
}

TEST_CASE("an invalid change is refused with its issues and not written", "[config]")
{
    LogBench bench(1);
    auto change = drainChange("c1", "a");
    change.edits["customer x"] = ObjectValues {{"weight", "-1"}};
    bench.submit(0, change);
    REQUIRE(bench.settle());
    const auto &outcome = bench.writer(0).outcomes.at(0);
    CHECK(outcome.code == ResultCode::ConfigInvalid);
    CHECK(outcome.issues.size() == 2);
    CHECK(bench.store().writes() == 0);
}

TEST_CASE("a change that waits for a down store is refused in time and not written later", "[config]")
{
    LogBench bench(1);
    bench.store().setDown(true);
    bench.submit(0, drainChange("c1", "a"));
    bench.run(11s);
    CHECK(bench.writer(0).outcomes.at(0).code == ResultCode::StoreUnavailable);
    bench.store().setDown(false);
    bench.run(5s);
    CHECK(bench.store().entries().empty());
}

// Guards against a store that cannot keep up with one write per change.
TEST_CASE("changes that wait share one write", "[config]")
{
    LogBench bench(1);
    for (int index = 0; index < 200; ++index) {
        bench.submit(0, drainChange("c" + std::to_string(index), "host-" + std::to_string(index)));
    }
    REQUIRE(bench.settle());
    CHECK(bench.writer(0).outcomes.size() == 200);
    CHECK(bench.store().writes() <= 4);
    CHECK(readAll(bench.store(), Start + 100s).revision() == Revision(200));
}

// Guards against values above the store's limit and against history growing without bound.
TEST_CASE("the log is compacted to snapshots and bounded segments", "[config]")
{
    ConfigLogSettings settings;
    settings.segmentBytes = 4'096;
    settings.snapshotInterval = 50;
    settings.snapshotPartBytes = 2'000;
    settings.keptSegments = 5;
    LogBench bench(2, settings);
    for (int index = 0; index < 600; ++index) {
        bench.submit(
            static_cast<std::size_t>(index % 2),
            drainChange("c" + std::to_string(index), "host-" + std::to_string(index % 40), std::to_string(index)));
        bench.run(4ms);
    }
    REQUIRE(bench.settle());
    const auto replica = readAll(bench.store(), Start + 1000s);
    CHECK(replica.revision() == Revision(600));
    CHECK(replica.state().objects.size() == 40);
    const auto &entries = bench.store().entries();
    CHECK(std::ranges::count_if(entries,
                                [](const auto &entry) {
                                    return entry.first.starts_with("config/log/");
                                })
          <= 5 + 50);
    const auto head = decodeHead(entries.at("config/head").value).value();
    CHECK(std::ranges::count_if(entries,
                                [](const auto &entry) {
                                    return entry.first.starts_with("config/snapshot/");
                                })
          == head.snapshotParts);
    CHECK(head.snapshot > Revision());
    CHECK(bench.store().largestValueWritten() < 1'000'000);
    CHECK(bench.writer(0).outcomes.size() + bench.writer(1).outcomes.size() == 600);
}

// Guards against an accepted change being lost or doubled, and a refused one being applied, under any mix of faults.
TEST_CASE("outcomes agree with the log under random faults", "[config]")
{
    const std::uint64_t seed = GENERATE(range(0, 20));
    SeededRandom random(seed);
    ConfigLogSettings settings;
    settings.segmentBytes = 2'000;
    settings.snapshotInterval = 15;
    settings.timeout = 3s;
    LogBench bench(3, settings);
    std::map<std::string, std::size_t> submitted;
    for (int index = 0; index < 150; ++index) {
        const std::string id = "c" + std::to_string(index);
        const std::size_t writer = random.below(3);
        auto change = drainChange(id, "host-" + std::to_string(random.below(10)), id);
        if (random.below(2) == 0) {
            const auto &objects = bench.writer(writer).replica.state().objects;
            const auto name = change.edits.begin()->first;
            change.expected[name] = objects.contains(name) ? objects.at(name).version : Revision();
        }
        submitted[id] = writer;
        bench.submit(writer, change);
        switch (random.below(12)) {
        case 0:
            bench.store().loseAnswersAfterEffect(2);
            break;
        case 1:
            bench.store().delayNextEffect(Duration(static_cast<std::int64_t>(random.below(5'000'000))));
            break;
        case 2:
            bench.store().setDown(true);
            break;
        case 3:
            bench.store().setSlowness(300ms);
            break;
        default:
            break;
        }
        bench.run(Duration(static_cast<std::int64_t>(random.below(400'000))));
        bench.store().setDown(false);
        bench.store().setSlowness({});
    }
    REQUIRE(bench.settle());
    bench.run(10s);
    const auto replica = readAll(bench.store(), Start + 1000s);
    std::map<std::string, Revision> logged;
    Revision last;
    for (const auto &[key, entry] : bench.store().entries()) {
        if (!key.starts_with("config/log/")) {
            continue;
        }
        const auto records = splitSegment(entry.value);
        REQUIRE(records.has_value());
        for (const std::string &bytes : *records) {
            const auto record = decodeRecord(bytes).value();
            CHECK(record.revision == last + Revision(1));
            last = record.revision;
            CHECK(logged.emplace(record.changeId, record.revision).second);
        }
    }
    CHECK(last == replica.revision());
    CHECK(last > Revision(50));
    std::set<Revision> accepted;
    std::size_t outcomes = 0;
    for (std::size_t writer : {0, 1, 2}) {
        for (const ChangeOutcome &outcome : bench.writer(writer).outcomes) {
            INFO(outcome.changeId << " code " << static_cast<int>(outcome.code));
            outcomes += 1;
            CHECK(submitted.at(outcome.changeId) == writer);
            const bool before = outcome.message == "the change was accepted before";
            if (outcome.code == ResultCode::Ok && (before || !outcome.edits.empty())) {
                CHECK(accepted.insert(outcome.revision).second);
                CHECK(logged.at(outcome.changeId) == outcome.revision);
            } else if (outcome.code != ResultCode::Ok && outcome.code != ResultCode::ConfigOutcomeUnknown) {
                CHECK_FALSE(logged.contains(outcome.changeId));
            }
        }
    }
    CHECK(outcomes == submitted.size());
}
