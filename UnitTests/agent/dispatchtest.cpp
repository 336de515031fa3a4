#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against tokens that are lost, duplicated or relayed for another attempt, and against leaked memory.
TEST_CASE("all tokens of an attempt are relayed in order and its memory is freed", "[agent]")
{
    const auto prompt = GENERATE(1'000, 5'000, 60'000);
    const auto resumeFrom = GENERATE(0U, 7U);
    AgentRig rig;
    DispatchRequest request = AgentRig::request(1, prompt, 40);
    request.resumeFrom = resumeFrom;
    rig.send(request);
    CHECK(rig.sent<DispatchAccepted>().size() == 1);
    CHECK(rig.core.reservedMemory() == Tokens(prompt + 40));
    rig.run(Duration(10'000'000));
    CHECK(rig.tokensOf(request.attempt) == AgentRig::expectedAnswer(request));
    REQUIRE(rig.sent<StreamEnd>().size() == 1);
    CHECK(rig.sent<StreamEnd>()[0].tokenCount == AnswerText(*request.body, 40).length());
    CHECK(rig.core.reservedMemory() == Tokens(0));
    CHECK(rig.engine.usedMemory() == Tokens(0));
    CHECK(rig.core.openWork() == 0);
}

// Guards against an attempt that runs although its entry was told that it never started: the dispatch arrives after the
// cancel.
TEST_CASE("a dispatch that arrives after its cancel is refused", "[agent]")
{
    AgentRig rig;
    const DispatchRequest request = AgentRig::request(1, 1'000, 10);
    rig.send(CancelAttempt {request.attempt});
    REQUIRE(rig.sent<CancelResult>().size() == 1);
    CHECK(rig.sent<CancelResult>()[0].outcome == CancelOutcome::NeverStarted);
    rig.send(request);
    REQUIRE(rig.sent<DispatchRefused>().size() == 1);
    CHECK(rig.sent<DispatchRefused>()[0].error.code == ResultCode::AttemptCancelled);
    CHECK(rig.commands.empty());
}

// Guards against tokens that are relayed after a cancel and against memory that stays reserved.
TEST_CASE("a cancel stops a running attempt", "[agent]")
{
    AgentRig rig;
    const DispatchRequest request = AgentRig::request(1, 1'000, 1'000);
    rig.send(request);
    rig.run(Duration(500'000));
    const std::size_t relayed = rig.tokensOf(request.attempt).size();
    CHECK(relayed > 0);
    rig.send(CancelAttempt {request.attempt});
    REQUIRE(rig.sent<CancelResult>().size() == 1);
    CHECK(rig.sent<CancelResult>()[0].outcome == CancelOutcome::Stopped);
    rig.run(Duration(500'000));
    CHECK(rig.tokensOf(request.attempt).size() == relayed);
    CHECK(rig.core.reservedMemory() == Tokens(0));
    CHECK(rig.engine.openAttempts() == 0);
}

// Guards against an attempt that is executed twice because the network delivers its dispatch twice.
TEST_CASE("a duplicate dispatch is executed once", "[agent]")
{
    const auto delay = GENERATE(0, 2'000'000);
    AgentRig rig;
    const DispatchRequest request = AgentRig::request(1, 1'000, 10);
    rig.send(request);
    rig.run(Duration(delay));
    rig.send(request);
    rig.run(Duration(2'000'000));
    CHECK(rig.tokensOf(request.attempt) == AgentRig::expectedAnswer(request));
    CHECK(rig.sent<StreamEnd>().size() == 1);
    CHECK(rig.sent<DispatchRefused>().empty());
}

// Guards against two attempts of one request that stream at the same time, in either order of arrival.
TEST_CASE("only the newest attempt of a request streams", "[agent]")
{
    AgentRig rig;
    const DispatchRequest first = AgentRig::request(1, 1'000, 200);
    DispatchRequest second = first;
    second.attempt.number = 1;
    SECTION("the newest attempt arrives last")
    {
        rig.send(first);
        rig.run(Duration(300'000));
        const std::size_t relayed = rig.tokensOf(first.attempt).size();
        rig.send(second);
        rig.run(Duration(20'000'000));
        CHECK(rig.tokensOf(first.attempt).size() == relayed);
        REQUIRE(rig.sent<AttemptFailed>().size() == 1);
        CHECK(rig.sent<AttemptFailed>()[0].mayHaveStarted);
    }
    SECTION("the newest attempt arrives first")
    {
        rig.send(second);
        rig.send(first);
        rig.run(Duration(20'000'000));
        CHECK(rig.tokensOf(first.attempt).empty());
        REQUIRE(rig.sent<DispatchRefused>().size() == 1);
        CHECK(rig.sent<DispatchRefused>()[0].attempt == first.attempt);
    }
    CHECK(rig.tokensOf(second.attempt) == AgentRig::expectedAnswer(second));
    CHECK(rig.core.reservedMemory() == Tokens(0));
}

// Guards against attempts that keep their memory after their deadline: the engine stalls for longer than that.
TEST_CASE("an attempt fails at its deadline", "[agent]")
{
    AgentRig rig;
    rig.send(AgentRig::request(1, 1'000, 100, Duration(20'000'000)));
    rig.run(Duration(100'000));
    rig.engine.stall(rig.now + Duration(25'000'000));
    rig.run(Duration(20'000'000));
    REQUIRE(rig.sent<AttemptFailed>().size() == 1);
    CHECK(rig.sent<AttemptFailed>()[0].error.code == ResultCode::DeadlineExceeded);
    CHECK(rig.sent<AttemptFailed>()[0].mayHaveStarted);
    rig.run(Duration(10'000'000));
    CHECK(rig.core.openWork() == 0);
    CHECK(rig.core.reservedMemory() == Tokens(0));
}
