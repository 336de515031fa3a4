#include "UnitTests/entry/entryfixture.h"

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against missing or repeated tokens in the delivered answer.
TEST_CASE("a completion is dispatched and its tokens are delivered", "[entry]")
{
    EntryFixture entry;
    entry.heartbeat("a1");
    const RequestId request = entry.submit();
    const auto dispatches = entry.sent<DispatchRequest>();
    REQUIRE(dispatches.size() == 1);
    CHECK(dispatches[0].receiver == "a1");
    const AttemptId attempt = dispatches[0].message.attempt;
    CHECK(attempt.request == request);

    entry.fromAgent("a1", DispatchAccepted {attempt, 1ms});
    entry.fromAgent("a1", StreamPart {attempt, 0, {"x", "y"}});
    entry.fromAgent("a1", StreamPart {attempt, 1, {"y", "z"}});
    entry.fromAgent("a1", StreamEnd {attempt, 3, "stop"});
    CHECK(entry.deliveredText() == "xyz");
    const auto ends = entry.actions<DeliverEnd>();
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outputTokens == Tokens(3));
    CHECK(entry.actions<DeliverFailure>().empty());
    CHECK(entry.core.openRequests() == 0);
}

// Guards against missing or repeated tokens when the upstream fails in the middle of an answer.
TEST_CASE("an answer is resumed on another upstream after a failure", "[entry]")
{
    const bool connectionLost = GENERATE(true, false);
    EntryFixture entry;
    entry.heartbeat("a1");
    entry.heartbeat("a2");
    entry.submit();
    const auto first = entry.sent<DispatchRequest>().at(0);
    entry.fromAgent(first.receiver, DispatchAccepted {first.message.attempt, 1ms});
    entry.fromAgent(first.receiver, StreamPart {first.message.attempt, 0, {"x", "y"}});
    if (connectionLost) {
        entry.core.peerDisconnected(InstanceId(first.receiver), entry.now, entry.out);
    } else {
        entry.fromAgent(first.receiver,
                        AttemptFailed {first.message.attempt, Error {ResultCode::UpstreamFailed, "", {}}, true});
    }
    entry.advance(1s);
    const auto dispatches = entry.sent<DispatchRequest>();
    REQUIRE(dispatches.size() == 2);
    const auto second = dispatches[1];
    CHECK(second.receiver != first.receiver);
    CHECK(second.message.resumeFrom == 2);
    CHECK(second.message.resumeText == "xy");

    entry.fromAgent(first.receiver, StreamPart {first.message.attempt, 2, {"OLD"}});
    entry.fromAgent(second.receiver, DispatchAccepted {second.message.attempt, 1ms});
    entry.fromAgent(second.receiver, StreamPart {second.message.attempt, 2, {"z"}});
    entry.fromAgent(second.receiver, StreamEnd {second.message.attempt, 3, "stop"});
    CHECK(entry.deliveredText() == "xyz");
    CHECK(entry.actions<DeliverEnd>().size() == 1);
}

// Guards against requests that are still open at their deadline or end twice.
TEST_CASE("the watchdog ends a request before its deadline", "[entry]")
{
    EntryFixture entry;
    entry.heartbeat("a1");
    const bool accepted = GENERATE(true, false);
    const bool tombstone = GENERATE(true, false);
    entry.submit(2s);
    const auto dispatch = entry.sent<DispatchRequest>().at(0);
    if (accepted) {
        entry.fromAgent("a1", DispatchAccepted {dispatch.message.attempt, 1ms});
    }
    bool answered = false;
    const TimePoint deadline = entry.now + 2s;
    while (entry.now < deadline) {
        entry.advance(10ms);
        if (tombstone && !answered && !entry.sent<CancelAttempt>().empty()) {
            answered = true;
            entry.fromAgent("a1", CancelResult {dispatch.message.attempt, CancelOutcome::NeverStarted});
        }
    }
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(resultCodeInfo(failures[0].error.code).notRun == tombstone);
    CHECK(entry.core.openRequests() == 0);
}

// Guards against reporting "not run" because of a tombstone of an agent that was restarted after the dispatch.
TEST_CASE("a tombstone of a later incarnation does not prove that a request was not run", "[entry]")
{
    EntryFixture entry;
    entry.heartbeat("a1");
    entry.submit(2s);
    const auto dispatch = entry.sent<DispatchRequest>().at(0);
    entry.fromAgent("a1", CancelResult {dispatch.message.attempt, CancelOutcome::NeverStarted}, 2);
    entry.advance(2s);
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK_FALSE(resultCodeInfo(failures[0].error.code).notRun);
}

// Guards against attempts that go on after their caller has disconnected.
TEST_CASE("the attempt of a disconnected caller is cancelled", "[entry]")
{
    EntryFixture entry;
    entry.heartbeat("a1");
    const RequestId request = entry.submit();
    const auto dispatch = entry.sent<DispatchRequest>().at(0);
    entry.core.callerDisconnected(request, entry.now, entry.out);
    CHECK(entry.sent<CancelAttempt>().size() == 1);
    entry.fromAgent("a1", StreamPart {dispatch.message.attempt, 0, {"x"}});
    entry.advance(11s);
    CHECK(entry.deliveredText().empty());
    CHECK(entry.actions<DeliverFailure>().empty());
    CHECK(entry.core.openRequests() == 0);
}

// Guards against requests that stay open although no upstream can take them.
TEST_CASE("a request that no upstream can take is refused at once", "[entry]")
{
    EntryFixture entry;
    const bool shutdown = GENERATE(true, false);
    if (shutdown) {
        entry.heartbeat("a1");
        entry.core.beginShutdown(entry.now, entry.out);
    }
    entry.submit();
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error.code == (shutdown ? ResultCode::ShuttingDown : ResultCode::NoUpstream));
}
