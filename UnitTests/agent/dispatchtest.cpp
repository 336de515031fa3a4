#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against lost, repeated or foreign tokens on the way from the engine to the entry.
TEST_CASE("an attempt is relayed token by token and its memory is freed", "[agent]")
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

// Guards against an attempt that runs although its entry was told that it never started.
TEST_CASE("a dispatch after its cancel is refused", "[agent]")
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

// Guards against tokens after a cancel and against memory that stays reserved.
TEST_CASE("a running attempt is stopped by its cancel", "[agent]")
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

// Guards against two runs of one attempt when the network delivers its dispatch twice.
TEST_CASE("a repeated dispatch runs once", "[agent]")
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
TEST_CASE("of two attempts of one request only the later one streams", "[agent]")
{
    AgentRig rig;
    const DispatchRequest first = AgentRig::request(1, 1'000, 200);
    DispatchRequest second = first;
    second.attempt.number = 1;
    SECTION("the later one arrives last")
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
    SECTION("the later one arrives first")
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

// Guards against attempts that hold memory after their deadline.
TEST_CASE("an attempt ends at its deadline", "[agent]")
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
