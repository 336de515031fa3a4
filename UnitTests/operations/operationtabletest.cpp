#include "ibismast/operations/operationtable.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

const InstanceId Agent("agent-1");
const InstanceId Entry("entry-1");

struct Fixture
{
    OperationTable table {Agent, Incarnation(5), {}};
    std::vector<OperationAnswer> answers;
    TimePoint now {};

    Fixture()
    {
        CHECK(table.issue(10) == std::pair<std::uint64_t, std::uint32_t>(0, 10));
    }

    OperationCall callOf(std::uint64_t number, std::uint64_t delivery = 1)
    {
        OperationCall call;
        call.operation = {Agent, Incarnation(5), number};
        call.request = {Incarnation(1), delivery};
        call.service = ServiceName("registry");
        call.method = "POST";
        call.path = "/orders";
        call.body = std::make_shared<const std::string>("order");
        call.timeLeft = Duration(10'000'000);
        return call;
    }
    bool call(const OperationCall &call)
    {
        return table.call(Entry, call, now, answers);
    }
    void complete(std::uint64_t number)
    {
        const auto body = std::make_shared<const std::string>("booked");
        table.completed({Agent, Incarnation(5), number}, 201, "text/plain", body, now, answers);
    }
};

} // namespace

// Guards against a retried call running twice: later deliveries must get the result of the first run.
TEST_CASE("a repeated call gets the result of the first run", "[operations]")
{
    Fixture fixture;
    CHECK(fixture.call(fixture.callOf(3, 1)));
    CHECK_FALSE(fixture.call(fixture.callOf(3, 2)));
    CHECK_FALSE(fixture.call(fixture.callOf(3, 2)));
    CHECK(fixture.answers.empty());
    fixture.complete(3);
    REQUIRE(fixture.answers.size() == 2);
    CHECK_FALSE(fixture.call(fixture.callOf(3, 3)));
    REQUIRE(fixture.answers.size() == 3);
    for (std::uint64_t delivery = 1; delivery <= 3; ++delivery) {
        const OperationResult &result = fixture.answers[delivery - 1].result;
        CHECK(result.request.sequence == delivery);
        CHECK(result.outcome == OperationOutcome::Completed);
        CHECK(result.httpStatus == 201);
        CHECK(*result.body == "booked");
    }
}

// Guards against a wrong outcome for operation ids that this incarnation has not issued.
TEST_CASE("ids of other incarnations are unknown and ids that were not issued are not run", "[operations]")
{
    Fixture fixture;
    OperationCall call = fixture.callOf(3);
    OperationOutcome expected = OperationOutcome::Unknown;
    SECTION("an earlier incarnation")
    {
        call.operation.incarnation = Incarnation(4);
    }
    SECTION("another agent")
    {
        call.operation.agent = InstanceId("agent-2");
    }
    SECTION("an id that was not issued")
    {
        call.operation.number = 10;
        expected = OperationOutcome::NotRun;
    }
    CHECK_FALSE(fixture.call(call));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result.outcome == expected);
}

// Guards against a second run after the service gave no response, when the first run may have taken effect.
TEST_CASE("a failed operation runs again only if it is idempotent or was never sent", "[operations]")
{
    const auto mayHaveRun = GENERATE(true, false);
    const auto idempotent = GENERATE(true, false);
    Fixture fixture;
    OperationCall call = fixture.callOf(3);
    call.idempotent = idempotent;
    CHECK(fixture.call(call));
    const Error error {ResultCode::ServiceFailed, "connection reset", std::nullopt};
    fixture.table.failed(call.operation, error, mayHaveRun, fixture.now, fixture.answers);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result.outcome == (mayHaveRun ? OperationOutcome::Unknown : OperationOutcome::NotRun));
    CHECK(resultCodeInfo(fixture.answers[0].result.error->code).notRun == !mayHaveRun);
    CHECK(fixture.call(call) == (idempotent || !mayHaveRun));
    CHECK(fixture.table.running() == (idempotent || !mayHaveRun ? 1 : 0));
}

// Guards against an operation that runs after its caller was told that it was cancelled.
TEST_CASE("a cancelled operation never starts and a started one cannot be cancelled", "[operations]")
{
    Fixture fixture;
    const OperationId id = fixture.callOf(3).operation;
    const CancelOperation cancel {id, {Incarnation(1), 9}};
    SECTION("before the start")
    {
        CHECK(fixture.table.cancel(cancel, fixture.now).outcome == OperationOutcome::NotRun);
        CHECK_FALSE(fixture.call(fixture.callOf(3)));
        REQUIRE(fixture.answers.size() == 1);
        CHECK(fixture.answers[0].result.outcome == OperationOutcome::NotRun);
    }
    SECTION("while it runs")
    {
        CHECK(fixture.call(fixture.callOf(3)));
        CHECK(fixture.table.cancel(cancel, fixture.now).outcome == OperationOutcome::InProgress);
    }
    SECTION("after its end")
    {
        CHECK(fixture.call(fixture.callOf(3)));
        fixture.complete(3);
        CHECK(fixture.table.cancel(cancel, fixture.now).outcome == OperationOutcome::Completed);
    }
}

// Guards against a second run after the stored result has expired.
TEST_CASE("an operation whose result was dropped is unknown and does not run again", "[operations]")
{
    Fixture fixture;
    CHECK(fixture.call(fixture.callOf(3)));
    fixture.complete(3);
    fixture.answers.clear();
    fixture.now += Duration(3'600'000'000);
    fixture.table.tick(fixture.now, fixture.answers);
    CHECK_FALSE(fixture.call(fixture.callOf(3)));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result.outcome == OperationOutcome::Unknown);
}

// Guards against a call being answered with the result of another call, possibly another customer's, that used the
// same operation id.
TEST_CASE("an operation id that was used for a different call is refused", "[operations]")
{
    Fixture fixture;
    CHECK(fixture.call(fixture.callOf(3)));
    OperationCall other = fixture.callOf(3, 2);
    other.body = std::make_shared<const std::string>("another order");
    CHECK_FALSE(fixture.call(other));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result.error->code == ResultCode::InvalidArgument);
}

// Guards against deliveries that wait without limit for a slow service.
TEST_CASE("a delivery whose deadline has passed is told that the operation is running", "[operations]")
{
    Fixture fixture;
    CHECK(fixture.call(fixture.callOf(3)));
    fixture.now += Duration(10'000'000);
    fixture.table.tick(fixture.now, fixture.answers);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result.outcome == OperationOutcome::InProgress);
    CHECK(fixture.table.running() == 1);
    fixture.table.setLeaving();
    CHECK_FALSE(fixture.call(fixture.callOf(4)));
    CHECK(fixture.answers[1].result.outcome == OperationOutcome::NotRun);
}
