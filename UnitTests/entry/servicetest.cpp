#include "UnitTests/entry/entryfixture.h"
#include "UnitTests/harness/fakestore.h"

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// An entry that knows the given agents and has received a block of operation ids from each of them.
class ServiceFixture : public EntryFixture
{
public:
    explicit ServiceFixture(const std::vector<std::string> &agents, std::uint64_t firstId = 1)
    {
        for (const std::string &agent : agents) {
            heartbeat(agent);
        }
        issueIds(firstId);
    }

    /// Answers all pending requests for operation ids with blocks that start at @p firstId.
    void issueIds(std::uint64_t firstId)
    {
        for (const auto &request : sent<IssueOperations>()) {
            fromAgent(request.receiver, OperationsIssued {request.message.call, firstId, request.message.count});
        }
        out.clear();
    }

    RequestId call(bool idempotent, const std::string &key = {}, std::optional<OperationId> operation = {})
    {
        ServiceRequest request;
        request.customer = CustomerId("c");
        request.service = ServiceName("s");
        request.method = "POST";
        request.timeLeft = 5s;
        request.idempotent = idempotent;
        request.idempotencyKey = key;
        request.operation = std::move(operation);
        return core.callService(std::move(request), now, out);
    }

    void answer(const Sent<OperationCall> &call, OperationOutcome outcome, std::uint64_t incarnation = 1)
    {
        OperationResult result;
        result.operation = call.message.operation;
        result.request = call.message.request;
        result.outcome = outcome;
        result.httpStatus = 200;
        if (outcome != OperationOutcome::Completed) {
            result.error = Error {ResultCode::QueueFull, "", {}};
        }
        fromAgent(call.receiver, std::move(result), incarnation);
    }

    /// Advances the clock and passes calls and answers between the entry and the store.
    void advanceWithStore(Duration time, harness::FakeStore &store)
    {
        const TimePoint until = now + time;
        while (now < until) {
            advance(10ms);
            for (const StoreCall &call : actions<StoreCall>()) {
                if (m_lastStoreCall < call.id) {
                    m_lastStoreCall = call.id;
                    store.submit(call, now);
                }
            }
            for (const StoreAnswer &storeAnswer : store.takeAnswers(now)) {
                core.handleStore(storeAnswer, now, out);
            }
        }
    }

private:
    StoreCallId m_lastStoreCall;
};

} // namespace

// Guards against answers of services that are not delivered to their caller.
TEST_CASE("a service call is sent under an issued operation id", "[entry]")
{
    ServiceFixture entry({"a1"});
    const RequestId id = entry.call(false);
    const auto calls = entry.sent<OperationCall>();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].message.operation.agent.value() == "a1");
    entry.answer(calls[0], OperationOutcome::Completed);
    const auto replies = entry.actions<DeliverServiceReply>();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].request == id);
    CHECK(entry.core.openRequests() == 0);
}

// Guards against running a non-idempotent call twice: its agent may have run it before the connection was lost.
TEST_CASE("a lost connection leaves the outcome of a non-idempotent call unknown", "[entry]")
{
    ServiceFixture entry({"a1", "a2"});
    entry.call(false);
    const auto call = entry.sent<OperationCall>().at(0);
    entry.core.peerDisconnected(InstanceId(call.receiver), entry.now, entry.out);
    entry.advance(6s);
    CHECK(entry.sent<OperationCall>().size() == 1);
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error.code == ResultCode::OutcomeUnknown);
    CHECK(failures[0].operation == call.message.operation);
}

// Guards against failing an idempotent call because its agent was lost, although another agent can run it.
TEST_CASE("an idempotent call is retried at another agent when its agent is lost", "[entry]")
{
    ServiceFixture entry({"a1", "a2"});
    entry.call(true);
    const auto first = entry.sent<OperationCall>().at(0);
    entry.core.peerDisconnected(InstanceId(first.receiver), entry.now, entry.out);
    entry.advance(1s);
    const auto calls = entry.sent<OperationCall>();
    REQUIRE(calls.size() == 2);
    CHECK(calls[1].receiver != first.receiver);
    entry.answer(calls[1], OperationOutcome::Completed);
    CHECK(entry.actions<DeliverServiceReply>().size() == 1);
}

// Guards against sending an operation to an agent that did not issue its id.
TEST_CASE("a call with an operation id is sent only to the agent that the id names", "[entry]")
{
    ServiceFixture entry({"a1", "a2", "a3"});
    const bool reachable = GENERATE(true, false);
    const OperationId operation {InstanceId("a2"), Incarnation(1), 77};
    if (!reachable) {
        entry.core.peerDisconnected(InstanceId("a2"), entry.now, entry.out);
    }
    entry.call(false, "", operation);
    entry.advance(6s);
    const auto calls = entry.sent<OperationCall>();
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK_FALSE(resultCodeInfo(failures[0].error.code).notRun);
    CHECK(failures[0].operation == operation);
    REQUIRE(calls.size() == (reachable ? 1 : 0));
    if (reachable) {
        CHECK(calls[0].receiver == "a2");
        CHECK(calls[0].message.operation == operation);
    }
}

// Guards against trusting a "not run" answer of a restarted agent, which has no record of earlier operations.
TEST_CASE("only the issuing incarnation can confirm that an operation was not run", "[entry]")
{
    ServiceFixture entry({"a1"});
    const std::uint64_t incarnation = GENERATE(1, 2);
    const OperationId operation {InstanceId("a1"), Incarnation(1), 77};
    entry.call(false, "", operation);
    entry.answer(entry.sent<OperationCall>().at(0), OperationOutcome::NotRun, incarnation);
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(resultCodeInfo(failures[0].error.code).notRun == (incarnation == 1));
}

// Guards against reporting an unknown outcome to a repeated call while the operation is still running.
TEST_CASE("an operation in progress is polled until it ends or the deadline passes", "[entry]")
{
    ServiceFixture entry({"a1"});
    const bool ends = GENERATE(true, false);
    entry.call(false, "", OperationId {InstanceId("a1"), Incarnation(1), 77});
    std::size_t answered = 0;
    for (int step = 0; step < 600 && entry.core.openRequests() > 0; ++step) {
        const auto calls = entry.sent<OperationCall>();
        if (answered < calls.size()) {
            ++answered;
            entry.answer(calls.back(),
                         ends && answered == 3 ? OperationOutcome::Completed : OperationOutcome::InProgress);
        }
        entry.advance(10ms);
    }
    CHECK(entry.actions<DeliverServiceReply>().size() == (ends ? 1 : 0));
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == (ends ? 0 : 1));
    if (!ends) {
        CHECK(failures[0].error.code == ResultCode::OperationInProgress);
    }
}

// Guards against failing a call that one agent refused although another agent has capacity.
TEST_CASE("a call that was not run is retried under another operation id", "[entry]")
{
    ServiceFixture entry({"a1", "a2"});
    entry.call(false);
    const auto first = entry.sent<OperationCall>().at(0);
    entry.answer(first, OperationOutcome::NotRun);
    entry.advance(1s);
    const auto calls = entry.sent<OperationCall>();
    REQUIRE(calls.size() == 2);
    CHECK(calls[1].message.operation != first.message.operation);
    entry.answer(calls[1], OperationOutcome::NotRun);
    entry.advance(1s);
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error.code == ResultCode::QueueFull);
}

// Guards against issuing the same operation id to two callers.
TEST_CASE("callers obtain different operation ids", "[entry]")
{
    ServiceFixture entry({"a1"});
    std::set<OperationId> ids;
    for (int count = 0; count < 600; ++count) {
        entry.core.requestOperationId(ServiceName("s"), 1s, entry.now, entry.out);
        for (const DeliverOperationId &delivery : entry.actions<DeliverOperationId>()) {
            CHECK(ids.insert(delivery.operation).second);
        }
        std::uint64_t first = 1 + static_cast<std::uint64_t>(count) * 1'000;
        for (const auto &request : entry.sent<IssueOperations>()) {
            entry.fromAgent("a1", OperationsIssued {request.message.call, first, request.message.count});
        }
        entry.out.clear();
    }
    CHECK(ids.size() == 600);
}

// Guards against duplicate execution when a caller repeats a request with the same idempotency key at another entry.
TEST_CASE("two entries bind the same idempotency key to the same operation", "[entry]")
{
    harness::FakeStore store;
    ServiceFixture first({"a1", "a2", "a3"});
    ServiceFixture second({"a1", "a2", "a3"}, 10'000);
    const bool loseAnswer = GENERATE(true, false);
    if (loseAnswer) {
        store.loseAnswersAfterEffect(1);
    }
    first.call(false, "key");
    first.advanceWithStore(1s, store);
    second.now = first.now;
    second.call(false, "key");
    second.advanceWithStore(1s, store);
    const auto firstCalls = first.sent<OperationCall>();
    const auto secondCalls = second.sent<OperationCall>();
    REQUIRE(firstCalls.size() == 1);
    REQUIRE(secondCalls.size() == 1);
    CHECK(firstCalls[0].message.operation == secondCalls[0].message.operation);
    CHECK(firstCalls[0].receiver == secondCalls[0].receiver);
}

// Guards against calls with an idempotency key that hang, or run although the key is not claimed, during a store
// outage.
TEST_CASE("a call with an idempotency key is refused within two seconds during a store outage", "[entry]")
{
    harness::FakeStore store;
    const bool silent = GENERATE(true, false);
    if (silent) {
        store.setSlowness(1h);
    } else {
        store.setDown(true);
    }
    ServiceFixture entry({"a1"});
    entry.call(false, "key");
    entry.advanceWithStore(2s, store);
    CHECK(entry.sent<OperationCall>().empty());
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error.code == ResultCode::StoreUnavailable);
}
