#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

Heartbeat heartbeatOf(const std::string &entry, std::uint64_t incarnation)
{
    return {{InstanceId(entry), Incarnation(incarnation), InstanceRole::Entry, InstanceState::Ready, {}, {}}, {}, {}};
}

} // namespace

// Guards against memory that stays reserved for entries that do not exist any more.
TEST_CASE("work of an entry that is gone is cancelled", "[agent]")
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
        rig.sendAs("entry-1", 2, heartbeatOf("entry-1", 2));
    } else if (cause == "disconnect") {
        rig.disconnect("entry-1");
    }
    rig.run(cause == "restart" ? Duration(100'000) : cause == "disconnect" ? Duration(2'500'000) : Duration(5'500'000));
    CHECK(rig.core.openWork() == 0);
    CHECK(rig.core.reservedMemory() == Tokens(0));
    CHECK(rig.engine.openAttempts() == 0);
}

// Guards against a short interruption of a connection that ends requests.
TEST_CASE("work of an entry that reconnects in time goes on", "[agent]")
{
    AgentRig rig;
    const DispatchRequest request = AgentRig::request(1, 2'000, 100);
    rig.send(request);
    rig.disconnect("entry-1");
    rig.run(Duration(10'000'000));
    CHECK(rig.tokensOf(request.attempt) == AgentRig::expectedAnswer(request));
}

// Guards against late frames of an earlier run of an entry that start work which nobody waits for.
TEST_CASE("frames of an earlier run are not obeyed", "[agent]")
{
    AgentRig rig;
    rig.heartbeats = false;
    rig.sendAs("entry-1", 2, heartbeatOf("entry-1", 2));
    rig.send(AgentRig::request(1, 2'000, 100));
    REQUIRE(rig.sent<DispatchRefused>().size() == 1);
    CHECK(rig.sent<DispatchRefused>()[0].error.code == ResultCode::WrongIncarnation);
    CHECK(rig.core.openWork() == 0);
}

// Guards against attempts that hang after an engine crash, and against a wrong claim that they were not run.
TEST_CASE("an engine crash ends running attempts as possibly started and queued ones as not started", "[agent]")
{
    AgentCoreSettings settings = AgentRig::defaultSettings();
    settings.schedule.maxRunning = 1;
    AgentRig rig(settings);
    rig.send(AgentRig::request(1, 2'000, 100));
    rig.send(AgentRig::request(2, 2'000, 100));
    rig.run(Duration(300'000));
    rig.engineDies();
    const auto failures = rig.sent<AttemptFailed>();
    REQUIRE(failures.size() == 2);
    CHECK(failures[0].attempt.request.sequence == 1);
    CHECK(failures[0].mayHaveStarted);
    CHECK_FALSE(failures[1].mayHaveStarted);
    CHECK(rig.core.reservedMemory() == Tokens(0));
    rig.send(AgentRig::request(3, 2'000, 10));
    CHECK(rig.sent<DispatchRefused>().size() == 1);
    rig.engineRestarts();
    const DispatchRequest after = AgentRig::request(4, 2'000, 10);
    rig.send(after);
    rig.run(Duration(2'000'000));
    CHECK(rig.tokensOf(after.attempt) == AgentRig::expectedAnswer(after));
}

// Guards against attempts that wait for ever after the engine lost them without a sign.
TEST_CASE("an engine that restarts without a sign loses its attempts visibly", "[agent]")
{
    const auto announced = GENERATE(true, false);
    AgentRig rig;
    rig.send(AgentRig::request(1, 2'000, 4'000, Duration(600'000'000)));
    rig.run(Duration(1'000'000));
    EngineEvents lost;
    rig.engine.restart(rig.now, lost);
    if (announced) {
        rig.engineEvent(EngineUp {});
    }
    rig.run(Duration(5'000'000));
    REQUIRE(rig.sent<AttemptFailed>().size() == 1);
    CHECK(rig.sent<AttemptFailed>()[0].mayHaveStarted);
    CHECK(rig.core.openWork() == 0);
}

// Guards against memory that the engine holds for attempts of an agent that was restarted.
TEST_CASE("a new agent cancels what the engine holds from an earlier one", "[agent]")
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

// Guards against memory that is handed out again while the engine still uses it.
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

// Guards against a planned stop that interrupts running requests or takes new ones.
TEST_CASE("a leaving agent finishes what runs and hands back what waits", "[agent]")
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

// Guards against entries that lose sight of a live agent, or that act on old load.
TEST_CASE("heartbeats go to every known entry about once a second", "[agent]")
{
    AgentRig rig;
    rig.sendAs("entry-2", 9, heartbeatOf("entry-2", 9));
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
