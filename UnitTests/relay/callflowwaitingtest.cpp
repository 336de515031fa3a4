#include "UnitTests/relay/callflowfixture.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against calls that wait after their end, are sent twice, or hold their place although they are not admitted
// any more.
TEST_CASE_METHOD(FlowFixture, "the wait of a call ends with a plan or a refusal", "[relay][waiting]")
{
    struct Row
    {
        std::string change;
        std::string actions;
        std::vector<bool> outcomes;
    };
    const Row row = GENERATE(values<Row>({
        {"none", "", {}},
        {"room", "start a", {true}},
        {"room is too late", "refuse 503", {false}},
        {"key removed", "refuse 401", {false}},
        {"prompt in quarantine", "refuse 503", {false}},
        {"displaced", "refuse 503", {false}},
        {"caller leaves", "", {false}},
        {"deadline", "refuse 504", {false}},
    }));
    CAPTURE(row.change);
    environment.mayWait = true;
    environment.upstreams.clear();
    begin(CallKind::AtMostOnce, 1);
    CHECK(done().empty());
    CHECK(environment.waits == 1);
    now = flow().nextDue();
    if (row.change == "room") {
        environment.upstreams = {"a"};
    } else if (row.change == "room is too late") {
        environment.mayWait = false;
    } else if (row.change == "key removed") {
        environment.revoked = Error {ResultCode::InvalidApiKey, "", std::nullopt};
    } else if (row.change == "prompt in quarantine") {
        environment.quarantine = Error {ResultCode::NoUpstream, "", 1s};
    } else if (row.change == "displaced") {
        flow().displace(now, actions);
    } else if (row.change == "caller leaves") {
        flow().callerDisconnected(now, actions);
    } else if (row.change == "deadline") {
        now += 10s;
    }
    flow().timerExpired(now, actions);
    flow().checkRoom(now, actions);
    flow().displace(now - 1s, actions);
    if (row.change == "none") {
        CHECK(done() == "refuse 503");
        CHECK(environment.waits == 3);
        return;
    }
    CHECK(done() == row.actions);
    CHECK(environment.waitOutcomes == row.outcomes);
    CHECK(environment.open == (row.change == "room" ? 1 : 0));
}

// Guards against a declined call that is sent to the same full upstreams at once, or never again, and against a call
// that may have run and is said not to have.
TEST_CASE_METHOD(FlowFixture, "a call that upstreams decline waits and tries them again", "[relay][waiting]")
{
    environment.mayWait = true;
    environment.upstreams = {"a"};
    begin(CallKind::AtMostOnce, 2);
    CHECK(done() == "start a");
    head(1, 503, true);
    CHECK(done() == "abort");
    CHECK(environment.waits == 1);
    now = flow().nextDue();
    flow().timerExpired(now, actions);
    CHECK(done() == "start a");
    CHECK(environment.waitOutcomes == std::vector {true});
    flow().attemptFailed(2, AttemptFailure::Broken, "reset", now, actions);
    CHECK(done() == "refuse 502");
    CHECK(environment.open == 0);
}

// Guards against streams that have begun and stand in line with new calls.
TEST_CASE_METHOD(FlowFixture, "a stream that has begun is not part of the waiting room", "[relay][waiting]")
{
    environment.mayWait = true;
    environment.upstreams = {"a"};
    begin(CallKind::ResumableStream, 3);
    head(1, 200);
    event(1, 1);
    flow().attemptFailed(1, AttemptFailure::Broken, "reset", now, actions);
    CHECK(environment.waits == 0);
    (void)done();
    flow().displace(now, actions);
    flow().checkRoom(now, actions);
    CHECK(done().empty());
    environment.upstreams = {"b"};
    now = flow().nextDue();
    flow().timerExpired(now, actions);
    CHECK(done() == "start b behind 1");
}
