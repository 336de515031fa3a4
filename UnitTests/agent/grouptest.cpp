#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

ReserveMemory makeReservation(std::uint64_t sequence, std::int64_t amount, Duration expiresIn = Duration(60'000'000))
{
    ReserveMemory message;
    message.owner = AttemptId {RequestId {Incarnation(1), sequence}, 0};
    message.amount = Tokens(amount);
    message.expiresIn = expiresIn;
    message.timeLeft = Duration(120'000'000);
    message.model = ModelName("model");
    return message;
}

DispatchRequest makeMemberRequest(std::uint64_t sequence, std::uint32_t index, std::string importHandle)
{
    DispatchRequest request = AgentRig::request(sequence, 500'000, 20, Duration(120'000'000));
    GroupSegment segment {{InstanceId("agent-1"), InstanceId("agent-2")}, index, {}, Tokens(250'000), {}};
    segment.offset = Tokens(index * 250'000);
    segment.importHandle = std::move(importHandle);
    request.group = segment;
    return request;
}

} // namespace

// Guards against a group whose members lose their reserved memory before they start, or keep it after the answer.
TEST_CASE("a prompt that exceeds one engine is prefilled by the members of a group in turn", "[agent]")
{
    AgentRig first;
    EngineModelSettings engine;
    engine.name = "second";
    AgentRig second(AgentRig::defaultSettings(), engine);
    second.engine.setSegmentSource([&first](const std::string &handle) {
        return first.engine.exportedSegment(handle);
    });
    first.send(makeReservation(1, 250'000));
    second.send(makeReservation(1, 250'020));
    REQUIRE(first.sent<ReserveResult>().size() == 1);
    CHECK_FALSE(first.sent<ReserveResult>()[0].error.has_value());
    first.send(makeMemberRequest(1, 0, ""));
    first.run(Duration(20'000'000));
    second.run(Duration(20'000'000));
    REQUIRE(first.sent<SegmentExported>().size() == 1);
    const DispatchRequest last = makeMemberRequest(1, 1, first.sent<SegmentExported>()[0].handle);
    second.send(last);
    second.run(Duration(20'000'000));
    CHECK(second.tokensOf(last.attempt) == AgentRig::expectedAnswer(last));
    CHECK(second.sent<StreamEnd>().size() == 1);
    CHECK(second.core.reservedMemory() == Tokens(0));
    CHECK(first.core.reservedMemory() == Tokens(250'000));
    first.send(ReleaseReservation {last.attempt});
    CHECK(first.core.reservedMemory() == Tokens(0));
    CHECK(first.engine.usedMemory() == Tokens(0));
}

// Guards against reservations that are kept although their group was never formed.
TEST_CASE("a reservation ends when it is released or expires", "[agent]")
{
    const auto released = GENERATE(true, false);
    AgentRig rig;
    rig.send(makeReservation(1, 250'000, Duration(3'000'000)));
    CHECK(rig.core.reservedMemory() == Tokens(250'000));
    if (released) {
        rig.send(ReleaseReservation {makeReservation(1, 1).owner});
    } else {
        rig.run(Duration(2'900'000));
        CHECK(rig.core.reservedMemory() == Tokens(250'000));
        rig.run(Duration(200'000));
    }
    CHECK(rig.core.reservedMemory() == Tokens(0));
    rig.send(makeMemberRequest(1, 0, ""));
    REQUIRE(rig.sent<DispatchRefused>().size() == 1);
    CHECK(rig.sent<DispatchRefused>()[0].error.code == ResultCode::MemoryExhausted);
}

// Guards against groups that never form because other attempts leave too little free memory at the time of the request.
TEST_CASE("a reservation waits for memory that becomes free soon and is refused otherwise", "[agent]")
{
    const auto output = GENERATE(30, 300);
    AgentRig rig;
    rig.send(AgentRig::request(1, 30'000, output));
    rig.run(Duration(1'000'000));
    rig.send(makeReservation(2, 330'000));
    CHECK(rig.sent<ReserveResult>().size() == (output == 30 ? 0 : 1));
    rig.run(Duration(3'000'000));
    REQUIRE(rig.sent<ReserveResult>().size() == 1);
    CHECK(rig.sent<ReserveResult>()[0].error.has_value() == (output != 30));
}

// Guards against two reservations of one request after a retry.
TEST_CASE("a reservation of a newer attempt replaces that of the older one", "[agent]")
{
    AgentRig rig;
    rig.send(makeReservation(1, 250'000));
    ReserveMemory retry = makeReservation(1, 250'000);
    retry.owner.number = 1;
    rig.send(retry);
    CHECK(rig.core.reservedMemory() == Tokens(250'000));
    CHECK(rig.sent<ReserveResult>().size() == 2);
    rig.send(makeReservation(1, 250'000));
    CHECK(rig.core.reservedMemory() == Tokens(250'000));
}
