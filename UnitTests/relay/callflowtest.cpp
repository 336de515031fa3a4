#include "ibismast/relay/callflow.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Environment that chooses the first upstream of a list that has not been tried.
class FakeEnvironment final : public CallEnvironment
{
public:
    std::optional<AttemptPlan>
    planAttempt(const RelayCall & /*call*/, const std::set<InstanceId> &tried, TimePoint /*now*/) override
    {
        for (const std::string &name : upstreams) {
            if (!tried.contains(InstanceId(name))) {
                AttemptPlan plan;
                plan.upstream.id = InstanceId(name);
                plan.timeToFirstEvent = 100ms;
                plan.delay = delay;
                if (reserved.value() > 0) {
                    plan.helpers.push_back({UpstreamRecord(), reserved, {}});
                }
                return plan;
            }
        }
        return std::nullopt;
    }
    std::optional<PlanFault>
    planFault(const RelayCall & /*call*/, const AttemptPlan &plan, TimePoint /*now*/) const override
    {
        return faultyUpstream == plan.upstream.id.value() ? std::optional(PlanFault {"changed", faultIsFatal})
                                                          : std::nullopt;
    }
    std::optional<Error> readmit(RelayCall & /*call*/) override
    {
        return revoked;
    }
    bool takeRetry(const ServiceName & /*service*/, TimePoint /*now*/) override
    {
        return retriesLeft-- > 0;
    }
    void attemptStarted(const RelayCall & /*call*/, const AttemptPlan & /*plan*/, TimePoint /*now*/) override
    {
        ++open;
    }
    void firstEventReceived(const RelayCall & /*call*/, TimePoint /*now*/) override { }
    void attemptEnded(const RelayCall & /*call*/, const AttemptPlan & /*plan*/, TimePoint /*now*/) override
    {
        --open;
    }
    void callRefused(const RelayCall & /*call*/, TimePoint /*now*/) override
    {
        ++refused;
    }
    bool changeBuffered(std::int64_t change) override
    {
        if (change > 0 && buffered + change > bufferLimit) {
            return false;
        }
        buffered += change;
        return true;
    }
    void upstreamProgressed(const InstanceId & /*upstream*/, TimePoint now) override
    {
        progress = now;
    }
    TimePoint lastProgress(const InstanceId & /*upstream*/) const override
    {
        return progress;
    }
    void upstreamSucceeded(const InstanceId & /*upstream*/) override { }
    void upstreamFailed(const InstanceId & /*upstream*/, TimePoint /*now*/) override { }
    void upstreamDeclined(const InstanceId &upstream, TimePoint /*now*/) override
    {
        full.push_back(upstream.value());
    }
    std::optional<InstanceId> upstreamFailedAt(const UpstreamAddress &address, TimePoint /*now*/) override
    {
        return InstanceId(address.value());
    }

    std::vector<std::string> upstreams {"a", "b", "c"};
    /// Upstreams that have declined a call.
    std::vector<std::string> full;
    /// Upstream whose plans are out of date; empty for none.
    std::string faultyUpstream;
    bool faultIsFatal = true;
    /// Error with which the current configuration refuses the call.
    std::optional<Error> revoked;
    Tokens reserved;
    Duration delay {};
    int retriesLeft = 100;
    int open = 0;
    int refused = 0;
    TimePoint progress = TimePoint::min();
    std::int64_t buffered = 0;
    std::int64_t bufferLimit = std::int64_t {1} << 30;
};

/// Describes an action by a keyword and its main parameter.
std::string describe(const CallAction &action)
{
    return std::visit(Overloaded {[](const StartAttempt &start) {
                                      return "start " + start.plan.upstream.id.value()
                                          + (start.lastEventId.empty() ? "" : " behind " + start.lastEventId);
                                  },
                                  [](const ReserveEngineMemory &reserve) {
                                      return std::string(reserve.extends ? "extend" : "reserve");
                                  },
                                  [](const ReleaseEngineMemory & /*release*/) {
                                      return std::string("release");
                                  },
                                  [](const InspectEngineMemory & /*inspect*/) {
                                      return std::string("inspect");
                                  },
                                  [](const AbortAttempt & /*abort*/) {
                                      return std::string("abort");
                                  },
                                  [](const SendHead & /*send*/) {
                                      return std::string("head");
                                  },
                                  [](const SendBody &send) {
                                      return "body " + std::to_string(std::ranges::count(send.bytes, ':') / 2);
                                  },
                                  [](const EndBody & /*end*/) {
                                      return std::string("end");
                                  },
                                  [](const SendFullResponse &send) {
                                      return "whole " + send.body;
                                  },
                                  [](const Refuse &refuse) {
                                      return "refuse " + std::to_string(resultCodeInfo(refuse.code).httpStatus);
                                  },
                                  [](const CloseCallerConnection & /*cut*/) {
                                      return std::string("cut");
                                  }},
                      action);
}

class FlowFixture
{
protected:
    /// Starts a call of @p kind.
    void begin(CallKind kind, int maxAttempts, Duration objective = 300ms, Duration timeout = 10s)
    {
        RelayCall call;
        call.number = CallNumber(1);
        call.requestId = "r1";
        call.route.kind = kind;
        call.route.maxAttempts = maxAttempts;
        call.route.objective = objective;
        call.route.pauseTarget = 250ms;
        call.arrived = now;
        call.deadline = now + timeout;
        m_flow.emplace(std::move(call), CallFlowSettings(), environment, m_listener);
        flow().start(now, actions);
    }
    CallFlow &flow()
    {
        return *m_flow;
    }
    /// Returns descriptions of the actions since the last call of this function, and clears them.
    std::string done()
    {
        std::string text;
        for (const CallAction &action : actions) {
            text += (text.empty() ? "" : ", ") + describe(action);
        }
        actions.clear();
        return text;
    }
    void head(int attempt, int status, bool notRun = false)
    {
        flow().headReceived(attempt, {status, notRun, true, {}}, now, actions);
    }
    void event(int attempt, int id)
    {
        flow().bodyReceived(attempt, "id:" + std::to_string(id) + "\ndata:x\n\n", now, actions);
    }
    /// Advances the time to the next timeout of the call and handles it.
    void wait()
    {
        now = flow().nextDue();
        flow().timerExpired(now, actions);
    }

    FakeEnvironment environment;
    CallActions actions;
    TimePoint now {1'000s};

private:
    EventListener m_listener;
    std::optional<CallFlow> m_flow;
};

} // namespace

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

// Guards against resumed streams in which events are missing, duplicated or mixed from two attempts.
TEST_CASE_METHOD(FlowFixture, "a broken stream is resumed after its last complete event", "[relay]")
{
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    event(1, 1);
    flow().bodyReceived(1, "id:2\nda", now, actions);
    CHECK(done() == "start a, head, body 1");
    flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    CHECK(done() == "start b behind 1");
    event(1, 9);
    head(2, 200);
    event(2, 2);
    flow().responseCompleted(2, now, actions);
    CHECK(done() == "body 1, end");
    CHECK(environment.open == 0);
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
        CHECK(done() == "head, body 1, end, release");
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
                flow().reservationInspected(1, row.answers[index], now, actions);
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

// Guards against a stalled upstream that keeps a stream alive by bytes that are no event, and against its comments
// reaching the caller as if the stream had begun.
TEST_CASE_METHOD(FlowFixture, "only whole events count as progress of a stream", "[relay]")
{
    const bool begun = GENERATE(false, true);
    const auto [bytes, progress] = GENERATE(table<std::string, bool>({
        {":\n\n", false},
        {": still here\n\n", false},
        {"\n", false},
        {"\r\n", false},
        {"d", false},
        {"id: 2\ndata: x\n\n", true},
        {":\nid: 2\ndata: x\n\n", true},
    }));
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    if (begun) {
        event(1, 1);
    }
    (void)done();
    const TimePoint lastEvent = now;
    std::string seen;
    while (seen.empty() && now - lastEvent < 8s) {
        now += 100ms;
        flow().bodyReceived(1, bytes, now, actions);
        flow().timerExpired(now, actions);
        seen = done();
    }
    if (progress) {
        CHECK(seen == (begun ? "body 1" : "head, body 1"));
    } else {
        CHECK(seen == (begun ? "abort, start b behind 1" : "abort, start b"));
        // Callers abandon a stream after 2 s.
        CHECK(now - lastEvent <= 2s);
    }
}

// Guards against comments that get lost: the caller gets the upstream's whole body.
TEST_CASE_METHOD(FlowFixture, "comments are sent with the event that follows them", "[relay]")
{
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    std::string sent;
    for (const std::string part :
         {": a\n\n", "id: 1\ndata: x\n\n: b\n\n", ": c\n\n", "id: 2\ndata: y\n\n", ": d\n\n"}) {
        flow().bodyReceived(1, part, now, actions);
    }
    flow().responseCompleted(1, now, actions);
    for (const CallAction &action : actions) {
        if (const auto *body = std::get_if<SendBody>(&action)) {
            sent += body->bytes;
        }
    }
    CHECK(sent == ": a\n\nid: 1\ndata: x\n\n: b\n\n: c\n\nid: 2\ndata: y\n\n: d\n\n");
}

// Guards against upstreams in trouble that fill the memory: each of many bodies stays below its own limit.
TEST_CASE_METHOD(FlowFixture, "a response without end is given up and leaves no buffer behind", "[relay]")
{
    struct Row
    {
        CallKind kind;
        std::string bytes;
        std::int64_t processLimit;
        /// Greatest number of bytes that may be buffered.
        std::int64_t buffered;
    };
    constexpr std::int64_t NoLimit = std::int64_t {1} << 40;
    const Row row = GENERATE(values<Row>({
        {CallKind::AtMostOnce, std::string(8192, 'x'), NoLimit, (std::int64_t {8} << 20) + 8192},
        {CallKind::AtMostOnce, std::string(8192, 'x'), 100'000, 100'000},
        {CallKind::Stream, std::string(8192, 'x'), NoLimit, (std::int64_t {1} << 20) + 8192},
        {CallKind::Stream, std::string(8192, 'x'), 100'000, 100'000},
        {CallKind::Stream, ": comment\n\n", NoLimit, (std::int64_t {1} << 20) + 8192},
        {CallKind::Stream, std::string(8190, '\n'), 100'000, 100'000},
    }));
    environment.bufferLimit = row.processLimit;
    begin(row.kind, 1);
    head(1, 200);
    (void)done();
    std::int64_t received = 0;
    std::int64_t most = 0;
    while (!flow().ended() && received < std::int64_t {64} << 20) {
        flow().bodyReceived(1, row.bytes, now, actions);
        received += static_cast<std::int64_t>(row.bytes.size());
        most = std::max(most, environment.buffered);
    }
    REQUIRE(flow().ended());
    CHECK(done() == "abort, refuse 502");
    CHECK(most <= row.buffered);
    CHECK(environment.buffered == 0);
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
