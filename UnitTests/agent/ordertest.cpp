#include "UnitTests/agent/agentrig.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

UpstreamOrder makeOrder(std::uint64_t call, std::int64_t token, const std::string &issuer = "entry-1")
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

// Guards against a former lease holder that reconfigures an engine which does not check fencing tokens itself.
TEST_CASE("orders with a stale fencing token are refused even if the engine ignores tokens", "[agent]")
{
    EngineModelSettings engine;
    engine.checkFencingTokens = false;
    AgentRig rig(AgentRig::defaultSettings(), engine);
    rig.send(makeOrder(1, 7));
    rig.sendAs("entry-2", 3, makeOrder(1, 6, "entry-2"));
    rig.send(makeOrder(2, 7));
    rig.run(Duration(3'000'000));
    CHECK(rig.engine.executedOrders().size() == 2);
    const auto results = rig.sent<UpstreamOrderResult>();
    REQUIRE(results.size() == 3);
    CHECK(results[0].error->code == ResultCode::StaleFencingToken);
    CHECK(results[1].call == 1);
    CHECK_FALSE(results[1].error.has_value());
    CHECK(results[2].call == 2);
}

// Guards against orders that name another instance as their issuer, and against such orders making the fencing tokens
// of valid ones stale.
TEST_CASE("an order must be sent by its issuer", "[agent]")
{
    AgentRig rig;
    rig.sendAs("entry-2", 3, makeOrder(1, 99, "entry-1"));
    REQUIRE(rig.sent<UpstreamOrderResult>().size() == 1);
    CHECK(rig.sent<UpstreamOrderResult>()[0].error->code == ResultCode::Unauthorized);
    rig.send(makeOrder(1, 7));
    rig.run(Duration(3'000'000));
    CHECK(rig.engine.executedOrders().size() == 1);
}

// Guards against issuers that never get a result, or that are told that an order failed although it may have been
// executed.
TEST_CASE("an order that the engine does not answer is reported with an unknown outcome", "[agent]")
{
    const auto crashes = GENERATE(true, false);
    AgentRig rig;
    rig.dropCommands = true;
    rig.send(makeOrder(1, 7));
    if (crashes) {
        rig.crashEngine();
    } else {
        rig.run(Duration(61'000'000));
    }
    REQUIRE(rig.sent<UpstreamOrderResult>().size() == 1);
    CHECK(rig.sent<UpstreamOrderResult>()[0].error->code == ResultCode::OutcomeUnknown);
}

// Guards against calls of a service that the agent does not serve, and against results sent to the wrong entry.
TEST_CASE("operations on the services of the agent are invoked and answered", "[agent]")
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
    rig.sendServiceEvent(ServiceReply {call.operation, 200, "text/plain", std::make_shared<const std::string>("done")});
    REQUIRE(rig.sent<OperationResult>().size() == 2);
    CHECK(rig.sent<OperationResult>()[1].httpStatus == 200);
    CHECK(rig.messages().back().receiver == InstanceId("entry-1"));
    CHECK(rig.core.openWork() == 0);
}
