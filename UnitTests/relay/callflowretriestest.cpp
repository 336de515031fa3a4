#include "UnitTests/relay/callflowfixture.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against a second execution of a call that must run at most once, and against a refusal that falsely declares a
// call as not executed.
TEST_CASE_METHOD(FlowFixture, "a call is retried only as far as its kind allows", "[relay]")
{
    struct Row
    {
        CallKind kind;
        int maxAttempts;
        /// Outcome of the first attempt: "unsent", "broken" connection, "declined" as not executed, or the status 500
        /// or 503 without that declaration.
        std::string outcome;
        std::string expected;
    };
    const Row row = GENERATE(values<Row>({
        {CallKind::AtMostOnce, 1, "unsent", "start b"},
        {CallKind::AtMostOnce, 1, "broken", "refuse 502"},
        {CallKind::AtMostOnce, 2, "broken", "refuse 502"},
        {CallKind::AtMostOnce, 1, "declined", "abort, refuse 503"},
        {CallKind::AtMostOnce, 2, "declined", "abort, start b"},
        {CallKind::AtMostOnce, 2, "500", ""},
        {CallKind::AtMostOnce, 2, "503", "abort, refuse 502"},
        {CallKind::Idempotent, 2, "broken", "start b"},
        {CallKind::Idempotent, 1, "broken", "refuse 502"},
        {CallKind::Idempotent, 2, "declined", "abort, start b"},
        {CallKind::Idempotent, 2, "500", "abort, start b"},
        {CallKind::Idempotent, 1, "500", ""},
        {CallKind::Stream, 2, "broken", "refuse 502"},
        {CallKind::ResumableStream, 2, "broken", "start b"},
    }));
    begin(row.kind, row.maxAttempts);
    CHECK(done() == "start a");
    if (row.outcome == "unsent") {
        flow().attemptFailed(1, AttemptFailure::NotSent, "refused", now, actions);
    } else if (row.outcome == "broken") {
        flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    } else if (row.outcome == "declined") {
        head(1, 503, true);
    } else {
        head(1, std::stoi(row.outcome));
    }
    CHECK(done() == row.expected);
}

// Guards against a second attempt at the helper that caused the first one to fail (regsel-jawa trouble-3).
TEST_CASE_METHOD(FlowFixture, "an upstream that a response reports as failed is not tried", "[relay]")
{
    begin(CallKind::ResumableStream, 2);
    CHECK(done() == "start a");
    flow().headReceived(1, {503, true, true, UpstreamAddress("b")}, now, actions);
    CHECK(done() == "abort, start c");
}

// Guards against a truncated stream that appears complete to the caller.
TEST_CASE_METHOD(FlowFixture, "the caller's connection is closed if a stream cannot be resumed", "[relay]")
{
    const auto [kind, maxAttempts] =
        GENERATE(table<CallKind, int>({{CallKind::Stream, 2}, {CallKind::ResumableStream, 1}}));
    begin(kind, maxAttempts);
    head(1, 200);
    event(1, 1);
    (void)done();
    flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    CHECK(done() == "cut");
    CHECK(flow().ended());
}

// Guards against the text or the head of an error in the middle of a caller's stream, and against a stream that ends as
// if it were complete, when the upstream that should resume it answers with an error (reports of other operators, issue
// 29).
TEST_CASE_METHOD(FlowFixture, "an error of the upstream that resumes a stream does not reach the caller", "[relay]")
{
    const int status = GENERATE(204, 302, 400, 404, 408, 421, 429, 500, 502, 503);
    const int maxAttempts = GENERATE(2, 3);
    const bool notRun = GENERATE(false, true);
    begin(CallKind::ResumableStream, maxAttempts);
    head(1, 200);
    event(1, 1);
    flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    CHECK(done() == "start a, head, body 1, start b behind 1");
    flow().headReceived(2, {status, notRun, true, {}}, now, actions);
    if (!flow().ended()) {
        flow().bodyReceived(2, "{\"error\":\"busy\"}", now, actions);
    }
    if (!flow().ended()) {
        flow().responseCompleted(2, now, actions);
    }
    const std::string seen = done();
    CHECK(seen.find("body") == std::string::npos);
    CHECK(seen.find("whole") == std::string::npos);
    CHECK(seen.find("end") == std::string::npos);
    CHECK(seen.find("refuse") == std::string::npos);
    // The caller learns that the stream broke off, or a third upstream resumes it.
    CHECK((seen.ends_with("cut") || seen.ends_with("start c behind 1")));
}

// Guards against repeated prefills because an engine is merely busy, and against streams that wait for a failed engine
// until their callers give up after 2 s.
TEST_CASE_METHOD(FlowFixture, "a silent stream fails over sooner if its engine is silent too", "[relay]")
{
    const auto [engineActive, failoverAfter] = GENERATE(table<bool, Duration>({{false, 900ms}, {true, 1'600ms}}));
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    event(1, 1);
    (void)done();
    const TimePoint lastEvent = now;
    while (done().empty()) {
        now = flow().nextDue();
        if (engineActive) {
            environment.progress = now;
        }
        flow().timerExpired(now, actions);
        REQUIRE(now - lastEvent < 3s);
    }
    CHECK(now - lastEvent == failoverAfter);
}

// Guards against stalled calls that are ended because no retry is allowed, although their engine is still working
// (wtk-ibis scale-1, seed 12).
TEST_CASE_METHOD(FlowFixture, "a stalled call keeps its upstream if it cannot fail over", "[relay]")
{
    SECTION("no retry left")
    {
        environment.retriesLeft = 0;
    }
    SECTION("no other upstream")
    {
        environment.upstreams = {"a"};
    }
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    event(1, 1);
    (void)done();
    for (int stallCheck = 0; stallCheck < 5; ++stallCheck) {
        wait();
        CHECK(done().empty());
    }
    event(1, 2);
    flow().responseCompleted(1, now, actions);
    CHECK(done() == "body 1, end");
}

// Guards against a stream that is cut with seconds left because the upstream that should resume it was full
// (khonkae-fair-grown stops-in-turn, seed 110683401421), and against more executions than the route allows.
TEST_CASE_METHOD(FlowFixture, "declined and executed attempts are limited separately", "[relay]")
{
    struct Row
    {
        CallKind kind;
        int maxAttempts;
        /// True if the first attempt delivers an event before its outcome.
        bool begun;
        /// Outcomes of successive attempts: "broken", "declined" or "unsent".
        std::vector<std::string> outcomes;
        /// Actions after the last outcome.
        std::string expected;
    };
    const Row row = GENERATE(values<Row>({
        {CallKind::ResumableStream, 2, true, {"broken", "declined"}, "abort, start c behind 1"},
        {CallKind::ResumableStream, 2, true, {"broken", "declined", "declined"}, "abort, start d behind 1"},
        {CallKind::ResumableStream, 2, true, {"broken", "declined", "declined", "declined", "declined"}, "abort"},
        {CallKind::ResumableStream, 2, true, {"broken", "unsent", "declined"}, "abort, start d behind 1"},
        {CallKind::ResumableStream, 2, true, {"broken", "declined", "broken"}, "cut"},
        {CallKind::ResumableStream, 2, false, {"broken", "declined"}, "abort, start c"},
        {CallKind::ResumableStream, 2, false, {"declined", "declined", "declined", "declined"}, "abort, refuse 503"},
        {CallKind::ResumableStream, 2, false, {"broken", "declined", "broken"}, "refuse 502"},
        {CallKind::AtMostOnce, 2, false, {"declined", "declined"}, "abort, start c"},
        {CallKind::AtMostOnce, 2, false, {"declined", "broken"}, "refuse 502"},
        {CallKind::AtMostOnce, 1, false, {"declined"}, "abort, refuse 503"},
        {CallKind::Idempotent,
         2,
         false,
         {"broken", "declined", "declined", "declined", "declined"},
         "abort, refuse 502"},
    }));
    environment.upstreams = {"a", "b", "c", "d", "e", "f", "g"};
    begin(row.kind, row.maxAttempts);
    if (row.begun) {
        head(1, 200);
        event(1, 1);
    }
    int attempt = 0;
    std::size_t declined = 0;
    for (const std::string &outcome : row.outcomes) {
        (void)done();
        ++attempt;
        if (outcome == "broken") {
            flow().attemptFailed(attempt, AttemptFailure::Broken, "reset", now, actions);
        } else if (outcome == "unsent") {
            flow().attemptFailed(attempt, AttemptFailure::NotSent, "refused", now, actions);
        } else {
            ++declined;
            head(attempt, 503, true);
        }
    }
    CHECK(done() == row.expected);
    CHECK(environment.full.size() == declined);
}

// Guards against a stream that is cut although an upstream could resume it a moment later, against resuming it beyond
// the retry budget, and against one that waits after its caller has given up.
TEST_CASE_METHOD(FlowFixture, "a stream that has begun waits for an upstream", "[relay]")
{
    const std::string obstacle = GENERATE(as<std::string>(), "no upstream", "no budget", "all full");
    const bool roomReturns = GENERATE(false, true);
    const std::vector<std::string> all {"a", "b", "c", "d", "e", "f"};
    environment.upstreams = all;
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    event(1, 1);
    (void)done();
    const TimePoint lastEvent = now;
    if (obstacle == "no upstream") {
        environment.upstreams = {"a"};
    } else if (obstacle == "no budget") {
        environment.retriesLeft = 0;
    }
    flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    for (int attempt = 2; obstacle == "all full" && attempt <= 5; ++attempt) {
        head(attempt, 503, true);
    }
    if (obstacle == "all full") {
        environment.upstreams = {"a"};
    }
    (void)done();
    REQUIRE_FALSE(flow().ended());
    CHECK(environment.open == 0);
    wait();
    CHECK(done().empty());
    if (roomReturns) {
        environment.upstreams = all;
        environment.retriesLeft = 1;
        wait();
        CHECK(done() == "start b behind 1");
        CHECK(environment.retriesLeft == 0);
        return;
    }
    std::string after;
    while (after.empty()) {
        wait();
        after = done();
        REQUIRE(now - lastEvent <= 10s);
    }
    CHECK(after == "cut");
    // The caller abandons the stream after 2 s without an event.
    CHECK(now - lastEvent >= 2s);
    CHECK(now - lastEvent <= 2'100ms);
}

// Guards against "not run" for a call that an upstream has executed, if the retry finds no upstream or no memory.
TEST_CASE_METHOD(FlowFixture, "a call that may have run is never declared as not executed", "[relay]")
{
    const CallKind kind = GENERATE(CallKind::Idempotent, CallKind::ResumableStream);
    const std::string retry = GENERATE(as<std::string>(), "no upstream", "declined", "no memory");
    if (retry == "no upstream") {
        environment.upstreams = {"a"};
    }
    begin(kind, 2);
    if (retry == "no memory") {
        environment.reserved = Tokens(100'000);
    }
    flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    for (int attempt = 2; !flow().ended() && attempt < 20; ++attempt) {
        if (retry == "declined") {
            head(attempt, 503, true);
        } else {
            flow().memoryReserved(attempt, false, now, actions);
        }
    }
    REQUIRE(flow().ended());
    CHECK(done().ends_with("refuse 502"));
    CHECK(environment.refused == 0);
}

// Guards against prompts that are blamed for a crash although the upstream had declined them, had gone on writing or
// was given up by the relay, and against crashes that no prompt is blamed for, as those after the first events were
// (review case 9). Calls that did not break off at their first event are told apart.
TEST_CASE_METHOD(FlowFixture, "a prompt is suspected only if its upstream ends at the start of the answer", "[relay]")
{
    enum class End {
        Broken,
        NotSent,
        GivenUp,
        Declined,
        InsideEvent,
        WithoutEvent,
    };
    struct Row
    {
        /// Status of the response; 0 if none arrives.
        int status;
        std::string body;
        End end;
        /// Time from the body to the end.
        Duration later;
        /// What is reported of the attempt at the upstream `a`; empty if nothing is.
        std::string suspected;
    };
    const Row row = GENERATE(values<Row>({
        {200, "", End::Broken, 0ms, "a"},
        {200, "id:1\nda", End::Broken, 0ms, "a"},
        {200, ": comment\n\n", End::Broken, 0ms, "a"},
        {200, "id:1\nda", End::InsideEvent, 0ms, "a"},
        {200, "", End::WithoutEvent, 0ms, "a"},
        {200, "id:1\ndata:x\n\n", End::Broken, 0ms, "a unclear"},
        {200, "id:1\ndata:x\n\nid:2\nda", End::Broken, 5ms, "a unclear"},
        {200, "id:1\ndata:x\n\nid:2\nda", End::InsideEvent, 5ms, "a unclear"},
        {200, "id:1\ndata:x\n\n", End::Broken, 499ms, "a unclear"},
        {200, "id:1\ndata:x\n\n", End::Broken, 500ms, ""},
        {200, std::string(std::size_t {2} << 20, 'x'), End::GivenUp, 0ms, ""},
        {500, "", End::Broken, 0ms, ""},
        {0, "", End::Broken, 0ms, "a unclear"},
        {0, "", End::NotSent, 0ms, ""},
        {503, "", End::Declined, 0ms, ""},
    }));
    begin(CallKind::ResumableStream, 2);
    if (row.status != 0) {
        head(1, row.status, row.end == End::Declined);
    }
    if (!row.body.empty()) {
        flow().bodyReceived(1, row.body, now, actions);
    }
    now += row.later;
    if (row.end == End::Broken || row.end == End::NotSent) {
        const auto failure = row.end == End::Broken ? AttemptFailure::Broken : AttemptFailure::NotSent;
        flow().attemptFailed(1, failure, "reset", now, actions);
    } else if (row.end == End::InsideEvent || row.end == End::WithoutEvent) {
        flow().responseCompleted(1, now, actions);
    }
    const std::vector<std::string> none;
    CHECK(environment.brokenStarts == (row.suspected.empty() ? none : std::vector<std::string> {row.suspected}));
}

// Guards against a prompt that counts as sound with its first event, so that one that crashes each upstream behind that
// event is never found (review case 9), and against one that is never held to be sound.
TEST_CASE_METHOD(FlowFixture, "a prompt is sound when its stream has gone on for some time or ended", "[relay]")
{
    struct Row
    {
        /// Times of the events after the head.
        std::vector<Duration> events;
        bool completes;
        int answered;
    };
    const Row row = GENERATE(values<Row>({
        {{}, false, 0},
        {{0ms}, false, 0},
        {{2s}, false, 0},
        {{0ms, 100ms, 499ms}, false, 0},
        {{0ms, 500ms}, false, 1},
        {{1s, 1'400ms, 1'500ms, 1'600ms}, false, 1},
        {{0ms}, true, 1},
        {{0ms, 700ms}, true, 1},
    }));
    begin(CallKind::ResumableStream, 2);
    const TimePoint start = now;
    head(1, 200);
    int id = 0;
    for (const Duration time : row.events) {
        now = start + time;
        event(1, ++id);
    }
    if (row.completes) {
        flow().responseCompleted(1, now, actions);
    }
    CHECK(environment.promptsAnswered == row.answered);
}

// Guards against a prompt in quarantine that still reaches an upstream: as a new call, after a failure, after it has
// waited for other prefills or for memory, when its upstream has stalled, or as a stream that broke off with its first
// events. A stream that has gone on for some time is sound and is resumed.
TEST_CASE_METHOD(FlowFixture, "a prompt in quarantine reaches no further upstream", "[relay]")
{
    const Error quarantine {ResultCode::PromptQuarantined, "has crashed upstreams", 60s};
    SECTION("a new call")
    {
        environment.quarantine = quarantine;
        begin(CallKind::ResumableStream, 2);
        const auto *refuse = std::get_if<Refuse>(&actions.back());
        REQUIRE(refuse != nullptr);
        CHECK(refuse->code == ResultCode::PromptQuarantined);
        CHECK(refuse->retryAfter == Duration(60s));
    }
    SECTION("after a failure that may have run it")
    {
        begin(CallKind::ResumableStream, 2);
        environment.quarantine = quarantine;
        (void)done();
        flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
        CHECK(done() == "refuse 502");
    }
    SECTION("after an attempt that was not sent")
    {
        begin(CallKind::ResumableStream, 2);
        environment.quarantine = quarantine;
        (void)done();
        flow().attemptFailed(1, AttemptFailure::NotSent, "refused", now, actions);
        CHECK(done() == "refuse 503");
    }
    SECTION("after a delay")
    {
        environment.delay = 500ms;
        begin(CallKind::ResumableStream, 2);
        environment.quarantine = quarantine;
        wait();
        CHECK(done() == "refuse 503");
    }
    SECTION("after a reservation of memory")
    {
        environment.reserved = Tokens(1'000);
        begin(CallKind::ResumableStream, 2);
        environment.quarantine = quarantine;
        (void)done();
        flow().memoryReserved(1, true, now, actions);
        CHECK(done() == "release, refuse 503");
    }
    SECTION("when its upstream has stalled")
    {
        begin(CallKind::ResumableStream, 2);
        environment.quarantine = quarantine;
        (void)done();
        for (int step = 0; step < 20 && now < TimePoint(1'005s); ++step) {
            wait();
        }
        CHECK(done().empty());
    }
    SECTION("a stream that has begun")
    {
        const auto [written, expected] =
            GENERATE(table<Duration, std::string>({{0ms, "cut"}, {499ms, "cut"}, {500ms, "start b behind 2"}}));
        const bool waits = GENERATE(false, true);
        begin(CallKind::ResumableStream, 2);
        head(1, 200);
        event(1, 1);
        now += written;
        event(1, 2);
        (void)done();
        if (waits) {
            // The quarantine begins while the stream waits for an upstream.
            const std::vector<std::string> upstreams = std::exchange(environment.upstreams, {"a"});
            flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
            CHECK(done().empty());
            environment.upstreams = upstreams;
            environment.quarantine = quarantine;
            wait();
        } else {
            environment.quarantine = quarantine;
            flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
        }
        CHECK(done() == expected);
    }
}
