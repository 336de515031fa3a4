#include "UnitTests/relay/callflowfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against calls that exceed their deadline, and against work for callers that have disconnected.
TEST_CASE_METHOD(FlowFixture, "the deadline and a disconnect of the caller end a call at once", "[relay]")
{
    const bool started = GENERATE(false, true);
    const bool disconnects = GENERATE(false, true);
    begin(CallKind::Stream, 1);
    if (started) {
        head(1, 200);
        event(1, 1);
    }
    (void)done();
    if (disconnects) {
        flow().callerDisconnected(now, actions);
        CHECK(done() == "abort");
    } else {
        now += 10s;
        flow().timerExpired(now, actions);
        CHECK(done() == (started ? "abort, cut" : "abort, refuse 504"));
    }
    CHECK(flow().ended());
    CHECK(environment.open == 0);
}

// Guards against engine memory that stays reserved after a call, and against calls that are sent without their
// reservation.
TEST_CASE_METHOD(FlowFixture, "memory is reserved before a call is sent and released after its end", "[relay]")
{
    environment.reserved = Tokens(100'000);
    begin(CallKind::ResumableStream, 2);
    CHECK(done() == "reserve");
    SECTION("granted")
    {
        flow().memoryReserved(1, true, now, actions);
        CHECK(done() == "start a");
        now += 1s;
        flow().timerExpired(now, actions);
        CHECK(done() == "extend");
        head(1, 200);
        event(1, 1);
        flow().responseCompleted(1, now, actions);
        CHECK(done() == "head, body 1, release, end");
    }
    SECTION("refused")
    {
        environment.upstreams = {"a"};
        flow().memoryReserved(1, false, now, actions);
        CHECK(done() == "release, refuse 503");
    }
    SECTION("the caller disconnects")
    {
        flow().callerDisconnected(now, actions);
        CHECK(done() == "abort, release");
    }
    CHECK(environment.open == 0);
}

// Guards against actions that are lost because they follow the one that ends the call, among them the release of
// memory.
TEST_CASE_METHOD(FlowFixture, "the action that ends a call is its last one", "[relay]")
{
    const auto [kind, ending, expected] = GENERATE(table<CallKind, std::string, std::string>({
        {CallKind::Stream, "completed", "release, end"},
        {CallKind::Stream, "broken after an event", "release, cut"},
        {CallKind::Stream, "broken", "release, refuse 502"},
        {CallKind::Stream, "late", "abort, release, refuse 504"},
        {CallKind::Stream, "late after an event", "abort, release, cut"},
        {CallKind::AtMostOnce, "completed", "release, whole {}"},
        {CallKind::AtMostOnce, "broken", "release, refuse 502"},
    }));
    environment.reserved = Tokens(100'000);
    environment.upstreams = {"a"};
    begin(kind, 1);
    flow().memoryReserved(1, true, now, actions);
    const bool began = ending.ends_with("event") || (ending == "completed" && kind == CallKind::Stream);
    if (began) {
        head(1, 200);
        event(1, 1);
    }
    (void)done();
    if (ending == "completed") {
        if (!began) {
            head(1, 200);
            flow().bodyReceived(1, "{}", now, actions);
        }
        flow().responseCompleted(1, now, actions);
    } else if (ending.starts_with("broken")) {
        flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    } else {
        now += 10s;
        flow().timerExpired(now, actions);
    }
    CHECK(flow().ended());
    CHECK(done() == expected);
}

// Guards against a call that reaches its engines while they still prefill other prompts. Also guards against a delayed
// call that is lost, is kept after its end, or releases memory that it has not reserved.
TEST_CASE_METHOD(FlowFixture, "a call is sent once its engines have finished earlier prefills", "[relay]")
{
    const bool large = GENERATE(false, true);
    environment.delay = 400ms;
    environment.reserved = Tokens(large ? 100'000 : 0);
    begin(CallKind::ResumableStream, 2);
    CHECK(done().empty());
    CHECK(environment.open == 1);
    CHECK(flow().nextDue() == now + 400ms);
    SECTION("the delay ends")
    {
        now += 400ms;
        flow().timerExpired(now, actions);
        CHECK(done() == (large ? "reserve" : "start a"));
        CHECK(flow().nextDue() > now);
    }
    SECTION("the caller disconnects")
    {
        now += 100ms;
        flow().callerDisconnected(now, actions);
        CHECK(done() == "abort");
        CHECK(flow().ended());
        CHECK(environment.open == 0);
    }
    SECTION("the deadline passes first")
    {
        now += 20s;
        flow().timerExpired(now, actions);
        CHECK(done() == "abort, refuse 504");
        CHECK(environment.open == 0);
    }
}

// Guards against work that is sent to an upstream after it has announced its shutdown, by a plan from before
// (regsel-jawa mix, seed 462602910659), and against a call that is sent although its key has been withdrawn meanwhile.
TEST_CASE_METHOD(FlowFixture, "an attempt that waits is checked again before it is sent", "[relay]")
{
    struct Row
    {
        /// What changes while the attempt waits: "nothing", "unusable" or "suspect" upstream, "revoked" route.
        std::string change;
        std::string afterDelay;
        std::string afterReservation;
    };
    const Row row = GENERATE(values<Row>({
        {"nothing", "start a", "start a"},
        {"unusable", "start b", "release, reserve"},
        {"suspect", "start b", "release, reserve"},
        {"revoked", "refuse 404", "refuse 404, release"},
    }));
    const bool reserving = GENERATE(false, true);
    if (reserving) {
        environment.reserved = Tokens(100'000);
    } else {
        environment.delay = 400ms;
    }
    begin(CallKind::ResumableStream, 2);
    CHECK(done() == (reserving ? "reserve" : ""));
    if (row.change == "revoked") {
        environment.revoked = Error {ResultCode::NotFound, "no route", std::nullopt};
    } else if (row.change != "nothing") {
        environment.faultyUpstream = "a";
        environment.faultIsFatal = row.change == "unusable";
        environment.upstreams = {"b"};
    }
    environment.delay = {};
    if (reserving) {
        flow().memoryReserved(1, true, now, actions);
        const std::string seen = done();
        // The order of a refusal and a release has no meaning.
        CHECK((seen == row.afterReservation || (row.change == "revoked" && seen == "release, refuse 404")));
    } else {
        wait();
        CHECK(done() == row.afterDelay);
    }
    CHECK(environment.retriesLeft == 100);
    CHECK(environment.open == (row.change == "revoked" ? 0 : 1));
}

// Guards against an attempt that is planned anew without end because every upstream is suspect.
TEST_CASE_METHOD(FlowFixture, "a suspect upstream gets the call if there is no other one", "[relay]")
{
    environment.reserved = Tokens(100'000);
    environment.upstreams = {"a"};
    environment.faultyUpstream = "a";
    environment.faultIsFatal = false;
    begin(CallKind::ResumableStream, 2);
    int attempts = 0;
    while (done() != "start a") {
        REQUIRE(++attempts < 10);
        flow().memoryReserved(attempts, true, now, actions);
    }
    CHECK(attempts == 4);
}

// Guards against a plan that waits for longer than an upstream that leaves may still get work.
TEST_CASE_METHOD(FlowFixture, "the delay before an attempt is sent is limited", "[relay]")
{
    environment.delay = 5s;
    begin(CallKind::ResumableStream, 2);
    // The list may be 900 ms old, and an upstream that leaves gets no work 2,000 ms after its announcement.
    CHECK(flow().nextDue() <= now + 1'100ms);
}

// Guards against memory that stays reserved for longer than 9 s although the engine that should use it does not begin
// (wtk-ibis-grown scale-1, seed 203973951362), and against giving up a long prefill that does use it.
TEST_CASE_METHOD(FlowFixture, "a reservation that is not used is given up", "[relay]")
{
    struct Row
    {
        CallKind kind;
        /// Answers of the engine; the last one is repeated.
        std::vector<ReservationState> answers;
        std::string expected;
    };
    const Row row = GENERATE(values<Row>({
        {CallKind::ResumableStream, {ReservationState::Unused}, "abort, release, reserve"},
        {CallKind::ResumableStream, {ReservationState::Unknown, ReservationState::Unused}, "abort, release, reserve"},
        {CallKind::ResumableStream, {ReservationState::Unknown}, "abort, release, reserve"},
        {CallKind::ResumableStream, {ReservationState::Used}, ""},
        {CallKind::ResumableStream, {ReservationState::Unknown, ReservationState::Used}, ""},
        {CallKind::Stream, {ReservationState::Unused}, "abort, release, refuse 502"},
        {CallKind::Stream, {ReservationState::Used}, ""},
    }));
    environment.reserved = Tokens(100'000);
    begin(row.kind, 2, 4s, 15s);
    flow().memoryReserved(1, true, now, actions);
    CHECK(done() == "reserve, start a");
    const TimePoint reserved = now;
    std::string ending;
    std::size_t inspections = 0;
    while (ending.empty() && now - reserved < 9s) {
        wait();
        for (const CallAction &action : std::exchange(actions, {})) {
            const std::string text = describe(action);
            if (text == "inspect") {
                const std::size_t index = std::min(inspections++, row.answers.size() - 1);
                flow().reservationInspected(1, "r1.1.1", row.answers[index], now, actions);
                ending = done();
            } else if (text != "extend") {
                ending += (ending.empty() ? "" : ", ") + text;
            }
        }
        // A predicted failover is not part of this test.
        environment.progress = now;
    }
    CHECK(ending == row.expected);
    CHECK(inspections > 0);
    if (!row.expected.empty()) {
        CHECK(now - reserved <= 9s);
    }
}
