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
    std::optional<InstanceId> upstreamFailedAt(const UpstreamAddress &address, TimePoint /*now*/) override
    {
        return InstanceId(address.value());
    }

    std::vector<std::string> upstreams {"a", "b", "c"};
    Tokens reserved;
    Duration delay {};
    int retriesLeft = 100;
    int open = 0;
    int refused = 0;
    TimePoint progress = TimePoint::min();
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
    void begin(CallKind kind, int maxAttempts)
    {
        RelayCall call;
        call.number = CallNumber(1);
        call.requestId = "r1";
        call.route.kind = kind;
        call.route.maxAttempts = maxAttempts;
        call.route.objective = 300ms;
        call.route.pauseTarget = 250ms;
        call.arrived = now;
        call.deadline = now + 10s;
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
    const auto [kind, maxAttempts, retries] = GENERATE(table<CallKind, int, int>(
        {{CallKind::Stream, 2, 100}, {CallKind::ResumableStream, 1, 100}, {CallKind::ResumableStream, 2, 0}}));
    environment.retriesLeft = retries;
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
