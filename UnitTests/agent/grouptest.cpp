#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

ReserveMemory reservation(std::uint64_t sequence, std::int64_t amount, Duration expiresIn = Duration(60'000'000))
{
    ReserveMemory message;
    message.owner = AttemptId {RequestId {Incarnation(1), sequence}, 0};
    message.amount = Tokens(amount);
    message.expiresIn = expiresIn;
    message.timeLeft = Duration(120'000'000);
    message.model = ModelName("model");
    return message;
}

DispatchRequest memberOf(std::uint64_t sequence, std::uint32_t index, std::string importHandle)
{
    DispatchRequest request = AgentRig::request(sequence, 500'000, 20, Duration(120'000'000));
    GroupSegment segment {{InstanceId("agent-1"), InstanceId("agent-2")}, index, {}, Tokens(250'000), {}};
    segment.offset = Tokens(index * 250'000);
    segment.importHandle = std::move(importHandle);
    request.group = segment;
    return request;
}

} // namespace

// Guards against a group that loses its memory between the members, or keeps it after the end.
TEST_CASE("a prompt larger than one engine passes from member to member", "[agent]")
{
    AgentRig first;
    EngineModelSettings engine;
    engine.name = "second";
    AgentRig second(AgentRig::defaultSettings(), engine);
    second.engine.setSegmentSource([&first](const std::string &handle) {
        return first.engine.exportedSegment(handle);
    });
    first.send(reservation(1, 250'000));
    second.send(reservation(1, 250'020));
    REQUIRE(first.sent<ReserveResult>().size() == 1);
    CHECK_FALSE(first.sent<ReserveResult>()[0].error.has_value());
    first.send(memberOf(1, 0, ""));
    first.run(Duration(20'000'000));
    second.run(Duration(20'000'000));
    REQUIRE(first.sent<SegmentExported>().size() == 1);
    const DispatchRequest last = memberOf(1, 1, first.sent<SegmentExported>()[0].handle);
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

// Guards against reservations that outlive a group that was never formed.
TEST_CASE("a reservation ends by release or expiry", "[agent]")
{
    const auto released = GENERATE(true, false);
    AgentRig rig;
    rig.send(reservation(1, 250'000, Duration(3'000'000)));
    CHECK(rig.core.reservedMemory() == Tokens(250'000));
    if (released) {
        rig.send(ReleaseReservation {reservation(1, 1).owner});
    } else {
        rig.run(Duration(2'900'000));
        CHECK(rig.core.reservedMemory() == Tokens(250'000));
        rig.run(Duration(200'000));
    }
    CHECK(rig.core.reservedMemory() == Tokens(0));
    rig.send(memberOf(1, 0, ""));
    REQUIRE(rig.sent<DispatchRefused>().size() == 1);
    CHECK(rig.sent<DispatchRefused>()[0].error.code == ResultCode::MemoryExhausted);
}

// Guards against groups that never form because small work takes every token of memory that becomes free.
TEST_CASE("a reservation waits a short time for memory and is refused after it", "[agent]")
{
    const auto output = GENERATE(30, 300);
    AgentRig rig;
    rig.send(AgentRig::request(1, 30'000, output));
    rig.run(Duration(1'000'000));
    rig.send(reservation(2, 330'000));
    CHECK(rig.sent<ReserveResult>().size() == (output == 30 ? 0 : 1));
    rig.run(Duration(3'000'000));
    REQUIRE(rig.sent<ReserveResult>().size() == 1);
    CHECK(rig.sent<ReserveResult>()[0].error.has_value() == (output != 30));
}

// Guards against two reservations of one request after a retry.
TEST_CASE("a reservation of a later attempt replaces the earlier one", "[agent]")
{
    AgentRig rig;
    rig.send(reservation(1, 250'000));
    ReserveMemory again = reservation(1, 250'000);
    again.owner.number = 1;
    rig.send(again);
    CHECK(rig.core.reservedMemory() == Tokens(250'000));
    CHECK(rig.sent<ReserveResult>().size() == 2);
    rig.send(reservation(1, 250'000));
    CHECK(rig.core.reservedMemory() == Tokens(250'000));
}
