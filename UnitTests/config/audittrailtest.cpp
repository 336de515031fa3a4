#include "ibismast/config/audittrail.h"
#include "UnitTests/harness/fakestore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

AuditRecord recordOf(int number)
{
    AuditRecord record;
    record.time = WallTime(number);
    record.who = "ana";
    record.action = "apply";
    record.changeId = "c" + std::to_string(number);
    record.code = number % 3 == 0 ? ResultCode::ConfigConflict : ResultCode::Ok;
    return record;
}

class AuditBench
{
public:
    explicit AuditBench(const AuditTrailSettings &settings = {})
        : first(settings, "w1", m_firstIds), second(settings, "w2", m_secondIds)
    {
    }

    void run(Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += 1ms) {
            const auto answers = store.takeAnswers(now);
            for (AuditTrail *trail : {&first, &second}) {
                for (const StoreAnswer &answer : answers) {
                    trail->handle(answer, now, calls);
                }
                trail->tick(now, calls);
            }
            for (const StoreCall &call : std::exchange(calls, {})) {
                store.submit(call, now);
            }
        }
    }
    std::vector<AuditRecord> readAll()
    {
        StoreCallIds ids(9);
        AuditReader reader(ids);
        reader.start(100'000, calls);
        while (reader.busy()) {
            for (const StoreCall &call : std::exchange(calls, {})) {
                store.submit(call, now);
            }
            now += 2ms;
            for (const StoreAnswer &answer : store.takeAnswers(now)) {
                reader.handle(answer, calls);
            }
        }
        CHECK(reader.failure().empty());
        return reader.records();
    }

    FakeStore store;
    TimePoint now {100s};
    StoreCalls calls;

private:
    StoreCallIds m_firstIds {1};
    StoreCallIds m_secondIds {2};

public:
    AuditTrail first;
    AuditTrail second;
};

} // namespace

// Guards against operator calls that leave no trace, or two, when writers race and answers are lost.
TEST_CASE("each audit record is written once", "[config]")
{
    AuditBench bench;
    const bool faults = GENERATE(false, true);
    for (int number = 0; number < 60; ++number) {
        (number % 2 == 0 ? bench.first : bench.second).add(recordOf(number), bench.now, bench.calls);
        if (faults && number % 7 == 0) {
            bench.store.loseAnswersAfterEffect(1);
        }
        if (faults && number % 11 == 0) {
            bench.store.setDown(true);
            bench.run(30ms);
            bench.store.setDown(false);
        }
        bench.run(3ms);
    }
    bench.run(20s);
    CHECK(bench.first.queued() + bench.second.queued() == 0);
    std::map<std::string, int> seen;
    for (const AuditRecord &record : bench.readAll()) {
        seen[record.changeId] += 1;
    }
    CHECK(seen.size() == 60);
    for (const auto &[id, count] : seen) {
        INFO(id);
        CHECK(count == 1);
    }
}

// Guards against an audit trail that grows without bound or beyond the size of a value.
TEST_CASE("the audit trail keeps a bounded number of segments", "[config]")
{
    AuditTrailSettings settings;
    settings.segmentBytes = 2'000;
    settings.keptSegments = 3;
    AuditBench bench(settings);
    for (int number = 0; number < 200; ++number) {
        bench.first.add(recordOf(number), bench.now, bench.calls);
        bench.run(6ms);
    }
    CHECK(bench.store.entries().size() <= 4);
    const auto records = bench.readAll();
    CHECK(records.front() == recordOf(199));
    CHECK(records.size() < 200);
}

// Guards against records that vanish without a note during a long outage.
TEST_CASE("records dropped during an outage are counted", "[config]")
{
    AuditTrailSettings settings;
    settings.longestQueue = 10;
    AuditBench bench(settings);
    bench.store.setDown(true);
    for (int number = 0; number < 25; ++number) {
        bench.first.add(recordOf(number), bench.now, bench.calls);
    }
    bench.run(1s);
    bench.store.setDown(false);
    bench.run(20s);
    const auto records = bench.readAll();
    REQUIRE(records.size() == 11);
    CHECK(records.front().message.starts_with("15 audit records were dropped"));
}

TEST_CASE("long diffs are cut", "[config]")
{
    AuditBench bench;
    AuditRecord record = recordOf(1);
    record.diff = std::string(100'000, 'x');
    bench.first.add(record, bench.now, bench.calls);
    bench.run(1s);
    const auto records = bench.readAll();
    REQUIRE(records.size() == 1);
    CHECK(records.front().diff.size() < 9'000);
    CHECK(records.front().diff.ends_with("(cut)"));
}
