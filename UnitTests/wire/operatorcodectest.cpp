#include "wire/operatorcodec.h"

#include <catch2/catch.hpp>

#include <Operator.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace ibismast;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TMemoryBuffer;
namespace wo = ibismast::wire::operators;

namespace
{

// A generated client whose bytes are taken and given by hand.
struct Wire
{
    std::shared_ptr<TMemoryBuffer> sent = std::make_shared<TMemoryBuffer>();
    std::shared_ptr<TMemoryBuffer> received = std::make_shared<TMemoryBuffer>();
    wo::OperatorClient client {std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(received)),
                               std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(sent))};

    DecodedOperatorCall takeCall()
    {
        const std::string frame = sent->getBufferAsString();
        sent->resetBuffer();
        auto call = decodeOperatorCall(std::string_view(frame).substr(4));
        REQUIRE(std::holds_alternative<DecodedOperatorCall>(call));
        return std::get<DecodedOperatorCall>(std::move(call));
    }
    void answer(const DecodedOperatorCall &call, const OperatorReply &reply)
    {
        const std::string frame = encodeOperatorAnswer(call.method, call.sequence, reply);
        received->write(reinterpret_cast<const std::uint8_t *>(frame.data()), static_cast<std::uint32_t>(frame.size()));
    }
};

} // namespace

// Guards against a client that cannot talk to the server because the two disagree on the form of a call.
TEST_CASE("a generated client and the codec understand each other", "[wire]")
{
    Wire wire;
    wo::ObjectEdit edit;
    edit.__set_values({{"address", "10.0.0.1:80"}});
    wire.client.send_apply("c1", "why", {{"service s", edit}, {"drain x", wo::ObjectEdit()}}, {{"drain x", 4}});
    const auto call = wire.takeCall();
    const auto &apply = std::get<ApplyCall>(call.request);
    CHECK(apply.changeId == "c1");
    CHECK(apply.edits.at("service s").value().at("address") == "10.0.0.1:80");
    CHECK_FALSE(apply.edits.at("drain x").has_value());
    CHECK(apply.expected.at("drain x") == Revision(4));
    ConfigEdit shown {"drain x", ObjectValues(), std::nullopt};
    ConfigRecord between {Revision(8), "c0", "ana", "", WallTime(3), {shown}};
    wire.answer(call, ChangeReply {ResultCode::ConfigConflict, Revision(9), {shown}, {between}, {}, "late"});
    wo::ChangeReply reply;
    wire.client.recv_apply(reply);
    CHECK(reply.code == 4002);
    CHECK(reply.revision == 9);
    CHECK(reply.between.at(0).author == "ana");
    CHECK(reply.edits.at(0).__isset.before);
    CHECK_FALSE(reply.edits.at(0).__isset.after);
}

TEST_CASE("each call arrives with its arguments", "[wire]")
{
    Wire wire;
    wire.client.send_validate({{"a.ini", "x"}});
    CHECK(std::get<ValidateCall>(wire.takeCall().request).files.at("a.ini") == "x");
    wire.client.send_plan({{"a.ini", "x"}}, true);
    CHECK(std::get<PlanCall>(wire.takeCall().request).prune);
    wire.client.send_status(7);
    CHECK(std::get<StatusCall>(wire.takeCall().request).revision == Revision(7));
    wire.client.send_history(-5, true);
    CHECK(std::get<HistoryCall>(wire.takeCall().request).limit == 0);
    wire.client.send_show(3, "model");
    CHECK(std::get<ShowCall>(wire.takeCall().request).prefix == "model");
    wire.client.send_rollback("c", "r", 2);
    CHECK(std::get<RollbackCall>(wire.takeCall().request).revision == Revision(2));
    wire.client.send_drain("c", "r", "engine-1", true);
    CHECK(std::get<DrainCall>(wire.takeCall().request).undo);
}

// Guards against a refusal that reaches the operator as a broken connection.
TEST_CASE("errors arrive with code and name", "[wire]")
{
    Wire wire;
    wire.client.send_rollback("c", "", 1);
    wire.answer(wire.takeCall(), Error {ResultCode::PermissionDenied, "no", std::nullopt});
    wo::ChangeReply reply;
    try {
        wire.client.recv_rollback(reply);
        FAIL("no error arrived");
    } catch (const wo::OperatorError &error) {
        CHECK(error.code == 4006);
        CHECK(error.name == "PermissionDenied");
    }
}

// Guards against a client that ends the server with damaged bytes.
TEST_CASE("malformed operator calls are refused", "[wire]")
{
    Wire wire;
    wire.client.send_plan({{"a.ini", "[service s]"}}, true);
    const std::string payload = wire.sent->getBufferAsString().substr(4);
    for (std::size_t length = 0; length + 1 < payload.size(); ++length) {
        CHECK(errorOf(decodeOperatorCall(payload.substr(0, length))) != nullptr);
    }
    std::string unknown = payload;
    unknown[unknown.find("plan")] = 'f';
    CHECK(errorOf(decodeOperatorCall(unknown)) != nullptr);
}
