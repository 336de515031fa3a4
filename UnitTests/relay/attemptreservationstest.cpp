#include "UnitTests/relay/reservationfixture.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

/// Longest time for which memory may be reserved without a request that uses it.
constexpr Duration IdleLimit = 9s;

const std::vector<std::string> First {"r1.1.1"};
const std::vector<std::string> Later {"r1.1.2", "r1.1.3"};
const std::vector<std::string> All {"r1.1.1", "r1.1.2", "r1.1.3"};

std::vector<OrderFaults> faultyNetworks()
{
    return {
        {"none"},
        {"late", 300ms},
        {"extensions lost", {}, 4, 3},
        {"extensions doubled", {}, 0, 0, 350ms},
        {"inspections unanswered", {}, 0, 0, {}, 100},
        {"late and doubled", 200ms, 0, 0, 150ms},
        {"late, inspections unanswered", 300ms, 0, 0, {}, 100},
        {"inspections unanswered at first", {}, 0, 0, {}, 7},
    };
}

} // namespace

// Guards against an entry that is killed while its reservations are idle and leaves them past the idle limit: 9,530 ms
// of 9,000 on brcic-replay-grown, scale-1.
TEST_CASE_METHOD(ReservationFixture, "idle memory is free in time also if its entry is killed", "[relay]")
{
    const Duration age = GENERATE(0ms, 2'500ms, 4'900ms, 5'600ms, 6'100ms, 6'740ms, 7'100ms, 8'010ms, 8'590ms);
    faults = GENERATE(from_range(faultyNetworks()));
    const std::size_t holders = GENERATE(1, 3);
    CAPTURE(age.count(), faults.name, holders);
    beginReserved(holders);
    const TimePoint begun = now;
    runTo(begun + 30s, begun + age);
    CHECK(longestIdle() <= IdleLimit);
    CHECK(memory.empty());
}

// Guards against memory that stays idle for too long under an entry that lives.
TEST_CASE_METHOD(ReservationFixture, "idle memory is free in time whatever happens to the orders", "[relay]")
{
    faults = GENERATE(from_range(faultyNetworks()));
    const std::size_t holders = GENERATE(1, 3);
    const CallKind kind = GENERATE(CallKind::ResumableStream, CallKind::Stream);
    CAPTURE(faults.name, holders);
    beginReserved(holders, kind);
    runTo(now + 30s);
    CHECK(longestIdle() <= IdleLimit);
    CHECK(memory.empty());
    CHECK(flow().ended());
}

// Guards against one engine's use that ends the checks of the others, and against a call that loses the memory that it
// uses beside an engine that does not use its own.
TEST_CASE_METHOD(ReservationFixture, "each engine that holds memory is watched by itself", "[relay]")
{
    struct Row
    {
        std::string name;
        std::vector<std::string> used;
        /// Time from which on the engine writes its answer; zero for never.
        Duration answerBegins;
    };
    const Row row = GENERATE(values<Row>({
        {"first holder", First, 0ms},
        {"later holders", Later, 0ms},
        {"first holder, answer begun early", First, 1s},
        {"first holder, answer begun late", First, 7s},
        {"later holders, answer begun early", Later, 1s},
        {"later holders, answer begun late", Later, 8s},
    }));
    faults.unansweredInspections = GENERATE(0, 3);
    CAPTURE(row.name, faults.unansweredInspections);
    beginReserved(All.size());
    const TimePoint begun = now;
    runTo(begun + 500ms);
    use(row.used);
    if (row.answerBegins > 0ms) {
        runTo(begun + row.answerBegins);
        head(1, 200);
        event(1, 1);
        carryOut();
    }
    runTo(begun + 30s);
    CHECK(longestIdle() <= IdleLimit);
    CHECK_FALSE(lostInUse());
    CHECK_FALSE(flow().ended());
    for (const std::string &id : All) {
        CHECK(memory.contains(id) == (std::ranges::count(row.used, id) > 0));
    }
}

// Guards against an idle limit that takes memory from an engine that uses it: long prefill, first event that comes
// late, use that shows only shortly before the limit, orders and answers that are lost meanwhile.
TEST_CASE_METHOD(ReservationFixture, "memory that is used stays reserved", "[relay]")
{
    const Duration usedFrom = GENERATE(250ms, 3s, 6'700ms, 7'300ms, 8'300ms);
    const Duration answerAfter = GENERATE(10ms, 4s, 20s);
    faults = GENERATE(values<OrderFaults>({
        {"none"},
        {"late", 200ms},
        {"an extension lost early", {}, 2, 1},
        {"an extension lost late", {}, 8, 1},
        {"extensions doubled", {}, 0, 0, 350ms},
        {"inspections unanswered", {}, 0, 0, {}, 3},
    }));
    const std::size_t holders = GENERATE(1, 3);
    CAPTURE(usedFrom.count(), answerAfter.count(), faults.name, holders);
    // An engine that is asked before it uses the memory says so, and the attempt ends.
    const bool askedBefore = usedFrom > 6'750ms + faults.unansweredInspections * 400ms;
    beginReserved(holders);
    const TimePoint begun = now;
    runTo(begun + usedFrom);
    use(All);
    runTo(begun + usedFrom + answerAfter);
    if (!flow().ended()) {
        head(1, 200);
        event(1, 1);
        carryOut();
    }
    runTo(begun + 40s);
    CHECK_FALSE(lostInUse());
    CHECK(flow().ended() == askedBefore);
    CHECK(memory.size() == (askedBefore ? 0 : holders));
}

// Guards against an answer whose events come before anybody has asked the engines, and which then outlasts the limit.
TEST_CASE_METHOD(ReservationFixture, "memory of a long answer stays reserved while nobody answers for it", "[relay]")
{
    const Duration answerBegins = GENERATE(100ms, 4s, 6s, 8'500ms);
    beginReserved(GENERATE(1, 3));
    faults.unansweredInspections = 100;
    const TimePoint begun = now;
    runTo(begun + answerBegins);
    use(All);
    head(1, 200);
    event(1, 1);
    carryOut();
    runTo(begun + 40s);
    CHECK_FALSE(lostInUse());
    CHECK_FALSE(flow().ended());
    CHECK_FALSE(memory.empty());
}

// Guards against what an earlier attempt or an earlier run of the engines leaves behind in the checks of a later one.
TEST_CASE_METHOD(ReservationFixture, "the limits hold for each attempt and each run of the engines", "[relay]")
{
    struct Row
    {
        std::string name;
        /// Time at which the first attempt breaks off; zero if it does not.
        Duration broken;
        /// True if its answer has begun, so that the second attempt resumes the stream.
        bool begun;
        /// Time at which the engines restart; zero if they do not.
        Duration restarted;
        /// True if the engines of the last attempt use their memory.
        bool used;
        /// Time at which the entry is killed; zero if it lives.
        Duration killed;
    };
    const Row row = GENERATE(values<Row>({
        {"retry, idle", 3s, false, 0s, false, 0s},
        {"retry, used", 3s, false, 0s, true, 0s},
        {"retry, idle, killed", 3s, false, 0s, false, 9'200ms},
        {"resumed, idle", 3s, true, 0s, false, 0s},
        {"resumed, used", 3s, true, 0s, true, 0s},
        {"resumed, idle, killed", 3s, true, 0s, false, 9'200ms},
        {"restart, idle", 0s, false, 3s, false, 0s},
        {"restart, idle, killed", 0s, false, 3s, false, 6'200ms},
        {"restart late, idle", 0s, false, 6'500ms, false, 0s},
        {"restart late, idle, killed", 0s, false, 6'500ms, false, 7'200ms},
        {"restart behind a retry, killed", 3s, false, 5s, false, 9'200ms},
    }));
    const std::size_t holders = GENERATE(1, 3);
    CAPTURE(row.name, holders);
    beginReserved(holders, CallKind::ResumableStream, 2);
    const TimePoint begun = now;
    if (row.broken > 0s) {
        runTo(begun + 1s);
        if (row.begun) {
            use(All);
            head(1, 200);
            event(1, 1);
            carryOut();
        }
        runTo(begun + row.broken);
        flow().attemptFailed(1, AttemptFailure::Broken, "broken off", now, actions);
        carryOut();
        CHECK(memory.size() == holders);
        CHECK_FALSE(memory.contains("r1.1.1"));
        grant(2);
    }
    if (row.restarted > 0s) {
        runTo(begun + row.restarted);
        restartEngines();
    }
    if (row.used) {
        runTo(begun + row.broken + 1s);
        use({"r1.2.1", "r1.2.2", "r1.2.3"});
    }
    runTo(begun + 40s, row.killed > 0s ? begun + row.killed : TimePoint::max());
    CHECK(longestIdle() <= IdleLimit);
    CHECK_FALSE(lostInUse());
    CHECK(memory.size() == (row.used ? holders : 0));
}

// Guards against limits that suit one length only.
TEST_CASE("reservations keep to any idle limit", "[relay]")
{
    const Duration limit = GENERATE(1'000ms, 2'000ms, 9'000ms, 600'000ms);
    const bool used = GENERATE(false, true);
    AttemptReservationsSettings settings;
    settings.maxIdle = limit;
    const TimePoint begun {1'000s};
    AttemptReservations reservations({{UpstreamRecord(), Tokens(1'000), "r"}}, settings, begun);
    TimePoint now = begun;
    TimePoint end = begun + reservations.firstOrder(now).ttl;
    bool asked = false;
    while (!reservations.isIdle(now) && now < begun + 2 * limit) {
        now = reservations.nextDue();
        REQUIRE(now <= end);
        for (const AttemptHelper &holder : reservations.takeInspections(now)) {
            asked = true;
            reservations.inspected(
                holder.reservationId, used ? ReservationState::Used : ReservationState::Unknown, now);
        }
        for (const ReservationExtension &extension : reservations.takeExtensions(now)) {
            end = now + extension.ttl;
        }
    }
    CHECK(asked);
    CHECK((end <= begun + limit) == !used);
}

// Guards against a process that is busy for ever: a timer that comes behind the idle limit, since the process stood
// still meanwhile, found an inspection that was due and was never made.
TEST_CASE("a timer that comes late leaves nothing due", "[relay]")
{
    const Duration late = GENERATE(0ms, 1s, 6'750ms, 8'590ms, 8'600ms, 9s, 20s);
    const bool answerBegun = GENERATE(false, true);
    const ReservationState state =
        GENERATE(ReservationState::Unknown, ReservationState::Unused, ReservationState::Used);
    CAPTURE(late.count(), answerBegun, static_cast<int>(state));
    const TimePoint begun {1'000s};
    AttemptReservations reservations({{UpstreamRecord(), Tokens(1'000), "r"}}, {}, begun);
    if (answerBegun) {
        reservations.answerBegun(begun);
    }
    const TimePoint now = begun + late;
    const bool idle = reservations.isIdle(now);
    CHECK(idle == (!answerBegun && late >= 8'600ms));
    for (const AttemptHelper &holder : reservations.takeInspections(now)) {
        reservations.inspected(holder.reservationId, state, now);
    }
    (void)reservations.takeExtensions(now);
    CHECK((idle || reservations.isIdle(now) || reservations.nextDue() > now));
}
