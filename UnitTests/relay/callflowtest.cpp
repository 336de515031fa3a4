#include "ibismast/relay/callflow.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Environment with a list of upstreams that are chosen in turn.
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
                plan.firstEvent = 100ms;
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

/// Returns the name of an action and what is important in it.
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
    /// Begins a call of @p kind.
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
    /// Returns what was done since the last call, and forgets it.
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
    /// Lets time pass until the flow wants attention.
    void wait()
    {
        now = flow().nextDue();
        flow().timeReached(now, actions);
    }

    FakeEnvironment environment;
    CallActions actions;
    TimePoint now {1'000s};

private:
    EventListener m_listener;
    std::optional<CallFlow> m_flow;
};

} // namespace

// Guards against a call that runs twice although it must not, and against a false "not run".
TEST_CASE_METHOD(FlowFixture, "a call is sent again only as far as its kind allows", "[relay]")
{
    struct Row
    {
        CallKind kind;
        int maxAttempts;
        /// What happens to the first attempt: unsent, broken, declined, 500 or 503 without a declaration.
        std::string fate;
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
    if (row.fate == "unsent") {
        flow().attemptFailed(1, AttemptFailure::NotSent, "refused", now, actions);
    } else if (row.fate == "broken") {
        flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    } else if (row.fate == "declined") {
        head(1, 503, true);
    } else {
        head(1, std::stoi(row.fate));
    }
    CHECK(done() == row.expected);
}

// Guards against a second attempt with the helper that made the first one fail (regsel-jawa trouble-3).
TEST_CASE_METHOD(FlowFixture, "an upstream that is blamed for a refusal is not asked again", "[relay]")
{
    begin(CallKind::ResumableStream, 2);
    CHECK(done() == "start a");
    flow().headReceived(1, {503, true, true, UpstreamAddress("b")}, now, actions);
    CHECK(done() == "abort, start c");
}

// Guards against pieces of a stream that are missing, come twice or come from two runs out of order.
TEST_CASE_METHOD(FlowFixture, "a broken stream continues behind its last whole event", "[relay]")
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

// Guards against a stream that looks complete although its end is missing.
TEST_CASE_METHOD(FlowFixture, "a stream that cannot continue is cut", "[relay]")
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

// Guards against re-reading prompts on engines that are merely busy, and against streams that wait for a dead engine
// until their callers leave after 2 s.
TEST_CASE_METHOD(FlowFixture, "a silent stream moves if its engine is silent too", "[relay]")
{
    const auto [engineLives, movedAfter] = GENERATE(table<bool, Duration>({{false, 900ms}, {true, 1'600ms}}));
    begin(CallKind::ResumableStream, 2);
    head(1, 200);
    event(1, 1);
    (void)done();
    const TimePoint silentSince = now;
    while (done().empty()) {
        now = flow().nextDue();
        if (engineLives) {
            environment.progress = now;
        }
        flow().timeReached(now, actions);
        REQUIRE(now - silentSince < 3s);
    }
    CHECK(now - silentSince == movedAfter);
}

// Guards against calls that fail because a retry is not allowed while their engine is still at work (wtk-ibis scale-1,
// seed 12).
TEST_CASE_METHOD(FlowFixture, "a stalled call stays where it is without a better way", "[relay]")
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
    for (int look = 0; look < 5; ++look) {
        wait();
        CHECK(done().empty());
    }
    event(1, 2);
    flow().responseCompleted(1, now, actions);
    CHECK(done() == "body 1, end");
}

// Guards against calls that outlive their route's timeout, and against work for callers that have left.
TEST_CASE_METHOD(FlowFixture, "the deadline and the caller's leaving end a call at once", "[relay]")
{
    const bool started = GENERATE(false, true);
    const bool leaves = GENERATE(false, true);
    begin(CallKind::Stream, 1);
    if (started) {
        head(1, 200);
        event(1, 1);
    }
    (void)done();
    if (leaves) {
        flow().callerDisconnected(now, actions);
        CHECK(done() == "abort");
    } else {
        now += 10s;
        flow().timeReached(now, actions);
        CHECK(done() == (started ? "abort, cut" : "abort, refuse 504"));
    }
    CHECK(flow().ended());
    CHECK(environment.open == 0);
}

// Guards against memory of engines that stays reserved, and against calls that run without it.
TEST_CASE_METHOD(FlowFixture, "memory is reserved before a call and released behind it", "[relay]")
{
    environment.reserved = Tokens(100'000);
    begin(CallKind::ResumableStream, 2);
    CHECK(done() == "reserve");
    SECTION("granted")
    {
        flow().memoryReserved(1, true, now, actions);
        CHECK(done() == "start a");
        now += 1s;
        flow().timeReached(now, actions);
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
    SECTION("the caller leaves")
    {
        flow().callerDisconnected(now, actions);
        CHECK(done() == "abort, release");
    }
    CHECK(environment.open == 0);
}

// Guards against a call that reaches its engines while they still read for others, and against one that is lost, kept
// or releases memory that it never reserved while it waits.
TEST_CASE_METHOD(FlowFixture, "a call leaves once its engines have done the reading in front", "[relay]")
{
    const bool large = GENERATE(false, true);
    environment.delay = 400ms;
    environment.reserved = Tokens(large ? 100'000 : 0);
    begin(CallKind::ResumableStream, 2);
    CHECK(done().empty());
    CHECK(environment.open == 1);
    CHECK(flow().nextDue() == now + 400ms);
    SECTION("in time")
    {
        now += 400ms;
        flow().timeReached(now, actions);
        CHECK(done() == (large ? "reserve" : "start a"));
        CHECK(flow().nextDue() > now);
    }
    SECTION("the caller leaves")
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
        flow().timeReached(now, actions);
        CHECK(done() == "abort, refuse 504");
        CHECK(environment.open == 0);
    }
}
