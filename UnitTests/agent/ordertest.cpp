#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

UpstreamOrder orderOf(std::uint64_t call, std::int64_t token, const std::string &issuer = "entry-1")
{
    UpstreamOrder order;
    order.call = call;
    order.token = FencingToken(token);
    order.issuer = InstanceId(issuer);
    order.shard = "shard-1";
    order.verb = "load";
    order.model = ModelName("other");
    return order;
}

} // namespace

// Guards against a former lease holder that reconfigures an engine which does not check tokens itself.
TEST_CASE("orders with an old token are refused for engines that ignore tokens", "[agent]")
{
    EngineModelSettings engine;
    engine.checkFencingTokens = false;
    AgentRig rig(AgentRig::defaultSettings(), engine);
    rig.send(orderOf(1, 7));
    rig.sendAs("entry-2", 3, orderOf(1, 6, "entry-2"));
    rig.send(orderOf(2, 7));
    rig.run(Duration(3'000'000));
    CHECK(rig.engine.executedOrders().size() == 2);
    const auto results = rig.sent<UpstreamOrderResult>();
    REQUIRE(results.size() == 3);
    CHECK(results[0].error->code == ResultCode::StaleFencingToken);
    CHECK(results[1].call == 1);
    CHECK_FALSE(results[1].error.has_value());
    CHECK(results[2].call == 2);
}

// Guards against orders in another actor's name, and against forged ones that fence off the real actor.
TEST_CASE("an order must come from its issuer", "[agent]")
{
    AgentRig rig;
    rig.sendAs("entry-2", 3, orderOf(1, 99, "entry-1"));
    REQUIRE(rig.sent<UpstreamOrderResult>().size() == 1);
    CHECK(rig.sent<UpstreamOrderResult>()[0].error->code == ResultCode::Unauthorized);
    rig.send(orderOf(1, 7));
    rig.run(Duration(3'000'000));
    CHECK(rig.engine.executedOrders().size() == 1);
}

// Guards against issuers that wait for ever, or take a lost order for a failed one.
TEST_CASE("an order that the engine does not answer is reported as unknown", "[agent]")
{
    const auto dies = GENERATE(true, false);
    AgentRig rig;
    rig.holdCommands = true;
    rig.send(orderOf(1, 7));
    if (dies) {
        rig.engineDies();
    } else {
        rig.run(Duration(61'000'000));
    }
    REQUIRE(rig.sent<UpstreamOrderResult>().size() == 1);
    CHECK(rig.sent<UpstreamOrderResult>()[0].error->code == ResultCode::OutcomeUnknown);
}

// Guards against a call of a service that does not run here, and against an answer that goes to the wrong entry.
TEST_CASE("operations of the services beside the agent are invoked and answered", "[agent]")
{
    AgentRig rig;
    rig.send(IssueOperations {4, 2});
    REQUIRE(rig.sent<OperationsIssued>().size() == 1);
    CHECK(rig.sent<OperationsIssued>()[0].count == 2);
    OperationCall call;
    call.operation = {InstanceId("agent-1"), Incarnation(5), rig.sent<OperationsIssued>()[0].first};
    call.service = ServiceName("orders");
    call.timeLeft = Duration(5'000'000);
    rig.send(call);
    REQUIRE(rig.sent<OperationResult>().size() == 1);
    CHECK(rig.sent<OperationResult>()[0].error->code == ResultCode::UnknownService);
    call.service = ServiceName("registry");
    rig.send(call);
    REQUIRE(rig.invocations.size() == 1);
    CHECK(rig.core.openWork() == 1);
    rig.service(ServiceReply {call.operation, 200, "text/plain", std::make_shared<const std::string>("done")});
    REQUIRE(rig.sent<OperationResult>().size() == 2);
    CHECK(rig.sent<OperationResult>()[1].httpStatus == 200);
    CHECK(rig.messages().back().receiver == InstanceId("entry-1"));
    CHECK(rig.core.openWork() == 0);
}
