#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

Heartbeat makeHeartbeat(const std::string &entry, std::uint64_t incarnation)
{
    return {{InstanceId(entry), Incarnation(incarnation), InstanceRole::Entry, InstanceState::Ready, {}, {}}, {}, {}};
}

} // namespace

// Guards against memory that stays reserved for an entry that is silent, disconnected or restarted.
TEST_CASE("work of a lost or restarted entry is cancelled", "[agent]")
{
    const auto cause = GENERATE(std::string("silence"), std::string("disconnect"), std::string("restart"));
    AgentRig rig;
    rig.send(AgentRig::request(1, 2'000, 4'000, Duration(300'000'000)));
    rig.send(AgentRig::request(2, 50'000, 4'000, Duration(300'000'000)));
    ReserveMemory reserve;
    reserve.owner = AttemptId {RequestId {Incarnation(1), 3}, 0};
    reserve.amount = Tokens(100'000);
    reserve.expiresIn = Duration(600'000'000);
    reserve.timeLeft = Duration(600'000'000);
    reserve.model = ModelName("model");
    rig.send(reserve);
    rig.run(Duration(1'000'000));
    CHECK(rig.core.openWork() == 3);
    rig.heartbeats = false;
    if (cause == "restart") {
        rig.sendAs("entry-1", 2, makeHeartbeat("entry-1", 2));
    } else if (cause == "disconnect") {
        rig.disconnect("entry-1");
    }
    rig.run(cause == "restart" ? Duration(100'000) : cause == "disconnect" ? Duration(2'500'000) : Duration(5'500'000));
    CHECK(rig.core.openWork() == 0);
    CHECK(rig.core.reservedMemory() == Tokens(0));
    CHECK(rig.engine.openAttempts() == 0);
}

// Guards against requests that fail because of a short connection loss.
TEST_CASE("work of an entry that reconnects within the grace period continues", "[agent]")
{
    AgentRig rig;
    const DispatchRequest request = AgentRig::request(1, 2'000, 100);
    rig.send(request);
    rig.disconnect("entry-1");
    rig.run(Duration(10'000'000));
    CHECK(rig.tokensOf(request.attempt) == AgentRig::expectedAnswer(request));
}

// Guards against late frames of an earlier incarnation of an entry that start attempts without an owner.
TEST_CASE("a dispatch from an earlier incarnation of an entry is refused", "[agent]")
{
    AgentRig rig;
    rig.heartbeats = false;
    rig.sendAs("entry-1", 2, makeHeartbeat("entry-1", 2));
    rig.send(AgentRig::request(1, 2'000, 100));
    REQUIRE(rig.sent<DispatchRefused>().size() == 1);
    CHECK(rig.sent<DispatchRefused>()[0].error.code == ResultCode::WrongIncarnation);
    CHECK(rig.core.openWork() == 0);
}

// Guards against attempts that never end after an engine crash, and against running ones being reported as not started.
TEST_CASE("an engine crash fails running attempts as possibly started and queued ones as not started", "[agent]")
{
    AgentCoreSettings settings = AgentRig::defaultSettings();
    settings.schedule.maxRunning = 1;
    AgentRig rig(settings);
    rig.send(AgentRig::request(1, 2'000, 100));
    rig.send(AgentRig::request(2, 2'000, 100));
    rig.run(Duration(300'000));
    rig.crashEngine();
    const auto failures = rig.sent<AttemptFailed>();
    REQUIRE(failures.size() == 2);
    CHECK(failures[0].attempt.request.sequence == 1);
    CHECK(failures[0].mayHaveStarted);
    CHECK_FALSE(failures[1].mayHaveStarted);
    CHECK(rig.core.reservedMemory() == Tokens(0));
    rig.send(AgentRig::request(3, 2'000, 10));
    CHECK(rig.sent<DispatchRefused>().size() == 1);
    rig.restartEngine();
    const DispatchRequest afterRestart = AgentRig::request(4, 2'000, 10);
    rig.send(afterRestart);
    rig.run(Duration(2'000'000));
    CHECK(rig.tokensOf(afterRestart.attempt) == AgentRig::expectedAnswer(afterRestart));
}

// Guards against attempts that never end because the engine lost them in a restart without reporting `EngineDown`.
TEST_CASE("attempts that the engine lost in a restart are reported as failed", "[agent]")
{
    const auto announced = GENERATE(true, false);
    AgentRig rig;
    rig.send(AgentRig::request(1, 2'000, 4'000, Duration(600'000'000)));
    rig.run(Duration(1'000'000));
    EngineEvents unreportedEvents;
    rig.engine.restart(rig.now, unreportedEvents);
    if (announced) {
        rig.sendEngineEvent(EngineUp {});
    }
    rig.run(Duration(5'000'000));
    REQUIRE(rig.sent<AttemptFailed>().size() == 1);
    CHECK(rig.sent<AttemptFailed>()[0].mayHaveStarted);
    CHECK(rig.core.openWork() == 0);
}

// Guards against engine memory that stays in use for attempts of an earlier incarnation of the agent.
TEST_CASE("a restarted agent cancels the attempts that the engine still holds", "[agent]")
{
    AgentRig rig;
    EngineSubmit orphan;
    orphan.attempt = AttemptId {RequestId {Incarnation(77), 1}, 0};
    orphan.model = ModelName("model");
    orphan.promptTokens = Tokens(100'000);
    orphan.maxOutputTokens = Tokens(10'000);
    EngineEvents events;
    rig.engine.handle(orphan, rig.now, events);
    CHECK(rig.engine.usedMemory() > Tokens(0));
    rig.run(Duration(100'000));
    CHECK(rig.engine.usedMemory() == Tokens(0));
}

// Guards against memory that is reserved for another attempt while the engine still uses it.
TEST_CASE("memory stays reserved until the engine confirms a cancel", "[agent]")
{
    AgentRig rig;
    const DispatchRequest request = AgentRig::request(1, 2'000, 4'000, Duration(300'000'000));
    rig.send(request);
    rig.run(Duration(500'000));
    rig.engine.stall(rig.now + Duration(3'000'000));
    rig.send(CancelAttempt {request.attempt});
    rig.run(Duration(2'500'000));
    CHECK(rig.core.reservedMemory() == Tokens(6'000));
    CHECK(rig.engine.usedMemory() == Tokens(6'000));
    rig.run(Duration(1'000'000));
    CHECK(rig.core.reservedMemory() == Tokens(0));
    CHECK(rig.engine.usedMemory() == Tokens(0));
}

// Guards against a shutdown that interrupts running attempts or accepts new ones.
TEST_CASE("an agent that shuts down completes running attempts and fails queued ones", "[agent]")
{
    AgentCoreSettings settings = AgentRig::defaultSettings();
    settings.schedule.maxRunning = 1;
    AgentRig rig(settings);
    const DispatchRequest running = AgentRig::request(1, 2'000, 100);
    rig.send(running);
    rig.send(AgentRig::request(2, 2'000, 100));
    rig.run(Duration(200'000));
    rig.clearSent();
    rig.shutDown();
    REQUIRE(rig.sent<Heartbeat>().size() == 1);
    CHECK(rig.sent<Heartbeat>()[0].self.state == InstanceState::Leaving);
    REQUIRE(rig.sent<AttemptFailed>().size() == 1);
    CHECK(rig.sent<AttemptFailed>()[0].error.code == ResultCode::UpstreamLeaving);
    CHECK_FALSE(rig.sent<AttemptFailed>()[0].mayHaveStarted);
    rig.send(AgentRig::request(3, 2'000, 100));
    REQUIRE(rig.sent<DispatchRefused>().size() == 1);
    CHECK(rig.sent<DispatchRefused>()[0].error.code == ResultCode::UpstreamLeaving);
    rig.run(Duration(10'000'000));
    CHECK(rig.sent<StreamEnd>().size() == 1);
    CHECK(rig.core.openWork() == 0);
    CHECK(rig.commands.size() < 20);
}

// Guards against entries that consider a live agent lost or that route by an outdated load report.
TEST_CASE("heartbeats with the current load are sent to every known entry once per second", "[agent]")
{
    AgentRig rig;
    rig.sendAs("entry-2", 9, makeHeartbeat("entry-2", 9));
    rig.send(AgentRig::request(1, 50'000, 5'000, Duration(300'000'000)));
    rig.clearSent();
    rig.run(Duration(3'000'000));
    std::map<InstanceId, int> count;
    for (const SendToPeer &message : rig.messages()) {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&message.message)) {
            ++count[message.receiver];
            REQUIRE(heartbeat->load.has_value());
            CHECK(heartbeat->load->outstanding[classIndex(PriorityClass::Long)] > Tokens(0));
            CHECK(heartbeat->load->freeMemory < heartbeat->load->memoryCapacity);
        }
    }
    CHECK(count[InstanceId("entry-1")] == 3);
    CHECK(count[InstanceId("entry-2")] == 3);
}
