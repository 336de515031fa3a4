#include "UnitTests/entry/entryfixture.h"

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

Error refusal(ResultCode code)
{
    return Error {code, "", 100ms};
}

} // namespace

// Guards against failing a request because the first selected upstream is shutting down.
TEST_CASE("a refusal by a leaving upstream is retried at once without using the retry budget", "[entry]")
{
    EntryCoreSettings settings;
    settings.retryBudget.minimum = 0.0;
    EntryFixture entry(settings);
    entry.heartbeat("a1");
    entry.heartbeat("a2");
    entry.submit();
    const auto first = entry.sent<DispatchRequest>().at(0);
    entry.fromAgent(first.receiver, DispatchRefused {first.message.attempt, refusal(ResultCode::UpstreamLeaving), {}});
    const auto dispatches = entry.sent<DispatchRequest>();
    REQUIRE(dispatches.size() == 2);
    CHECK(dispatches[1].receiver != first.receiver);
    entry.out.clear();
    entry.submit();
    CHECK(entry.sent<DispatchRequest>().at(0).receiver == dispatches[1].receiver);
}

// Guards against errors that hide the agents' reason or do not tell the caller that the request was not run.
TEST_CASE("a request that all upstreams refuse fails as not run with the agent's reason", "[entry]")
{
    EntryFixture entry;
    entry.heartbeat("a1");
    entry.heartbeat("a2");
    entry.submit();
    for (std::size_t number = 0; number < 2; ++number) {
        const auto dispatch = entry.sent<DispatchRequest>().at(number);
        entry.fromAgent(dispatch.receiver,
                        DispatchRefused {dispatch.message.attempt, refusal(ResultCode::DeadlineNotFeasible), {}});
        entry.advance(100ms);
    }
    const auto failures = entry.actions<DeliverFailure>();
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].error == refusal(ResultCode::DeadlineNotFeasible));
}

// Guards against dispatching requests that every known upstream would refuse again.
TEST_CASE("a request that resembles a recently refused one is refused without a dispatch", "[entry]")
{
    EntryFixture entry;
    entry.heartbeat("a1");
    entry.submit();
    const auto dispatch = entry.sent<DispatchRequest>().at(0);
    entry.fromAgent("a1", DispatchRefused {dispatch.message.attempt, refusal(ResultCode::QueueFull), {}});
    entry.advance(50ms);
    entry.out.clear();
    entry.submit(5s);
    CHECK(entry.sent<DispatchRequest>().empty());
    REQUIRE(entry.actions<DeliverFailure>().size() == 1);
    CHECK(entry.actions<DeliverFailure>()[0].error.code == ResultCode::QueueFull);

    // A smaller request may be accepted, and the cached refusal expires when the agent's retry-after has passed.
    entry.submit(10s, 500);
    CHECK(entry.sent<DispatchRequest>().size() == 1);
    entry.advance(100ms);
    entry.submit(5s);
    CHECK(entry.sent<DispatchRequest>().size() == 2);
}

// Guards against ignoring the upstreams that a refusing agent suggests.
TEST_CASE("an upstream that a refusal suggests is tried first", "[entry]")
{
    EntryFixture entry;
    for (int number = 1; number <= 9; ++number) {
        entry.heartbeat("a" + std::to_string(number));
    }
    entry.submit();
    const auto first = entry.sent<DispatchRequest>().at(0);
    const std::string better = first.receiver == "a3" ? "a4" : "a3";
    entry.fromAgent(first.receiver,
                    DispatchRefused {first.message.attempt,
                                     refusal(ResultCode::QueueFull),
                                     {InstanceId("unknown"), InstanceId(better)}});
    entry.advance(100ms);
    CHECK(entry.sent<DispatchRequest>().at(1).receiver == better);
}

// Guards against retries on upstreams that tend to fail together with the one that failed.
TEST_CASE("a failed request is not retried in the same joint-failure set", "[entry]")
{
    // Keep the retry budget and the circuit breakers from preventing retries.
    EntryCoreSettings settings;
    settings.retryBudget.ratio = 1.0;
    settings.breaker.failureThreshold = 1'000;
    EntryFixture entry(settings);
    const auto heartbeats = [&](std::uint64_t incarnation) {
        for (int number = 1; number <= 10; ++number) {
            entry.heartbeat("a" + std::to_string(number), number <= 5 ? incarnation : 1);
        }
    };
    heartbeats(1);
    for (int number = 1; number <= 5; ++number) {
        entry.core.peerDisconnected(InstanceId("a" + std::to_string(number)), entry.now, entry.out);
    }
    heartbeats(2);
    const auto inSet = [](const std::string &agent) {
        return agent.size() == 2 && agent[1] <= '5';
    };
    int failedInSet = 0;
    for (int request = 0; request < 40; ++request) {
        heartbeats(2);
        entry.out.clear();
        entry.submit();
        const auto first = entry.sent<DispatchRequest>().at(0);
        const std::uint64_t incarnation = inSet(first.receiver) ? 2 : 1;
        entry.fromAgent(first.receiver, DispatchAccepted {first.message.attempt, 1ms}, incarnation);
        entry.fromAgent(first.receiver,
                        AttemptFailed {first.message.attempt, refusal(ResultCode::UpstreamFailed), true},
                        incarnation);
        entry.advance(1s);
        for (const auto &dispatch : entry.sent<DispatchRequest>()) {
            // Retries of earlier requests may have waited for the budget and be dispatched here too.
            const bool retry = dispatch.message.attempt.request == first.message.attempt.request
                && dispatch.message.attempt.number > 1;
            if (inSet(first.receiver) && retry) {
                ++failedInSet;
                CHECK_FALSE(inSet(dispatch.receiver));
            }
        }
    }
    CHECK(failedInSet > 3);
}

// Guards against retries that exceed the budget after many upstreams were lost, and against requests that never end.
TEST_CASE("retries after a joint loss stay within the budget", "[entry]")
{
    EntryFixture entry;
    for (int number = 1; number <= 8; ++number) {
        entry.heartbeat("a" + std::to_string(number));
    }
    for (int request = 0; request < 200; ++request) {
        entry.submit(8s);
    }
    for (int number = 1; number <= 4; ++number) {
        entry.core.peerDisconnected(InstanceId("a" + std::to_string(number)), entry.now, entry.out);
    }
    const std::size_t before = entry.sent<DispatchRequest>().size();
    for (int step = 0; step < 20; ++step) {
        entry.advance(100ms);
        for (int number = 5; number <= 8; ++number) {
            entry.heartbeat("a" + std::to_string(number));
        }
    }
    const std::size_t retries = entry.sent<DispatchRequest>().size() - before;
    CHECK(retries >= 20);
    CHECK(retries <= 23);
    entry.advance(8s);
    CHECK(entry.core.openRequests() == 0);
    CHECK(entry.actions<DeliverFailure>().size() == 200);
}

// Guards against admitting as much load as before when half of the upstreams are lost.
TEST_CASE("admission is reduced to the live capacity after a joint loss", "[entry]")
{
    EntryFixture entry;
    for (int number = 1; number <= 8; ++number) {
        entry.heartbeat("a" + std::to_string(number));
    }
    for (int request = 0; request < 200; ++request) {
        entry.submit(30s);
    }
    for (int number = 1; number <= 4; ++number) {
        entry.core.peerDisconnected(InstanceId("a" + std::to_string(number)), entry.now, entry.out);
    }
    entry.out.clear();
    entry.submit();
    REQUIRE(entry.actions<DeliverFailure>().size() == 1);
    CHECK(entry.actions<DeliverFailure>()[0].error.code == ResultCode::CustomerOverShare);

    // Another customer, which has no open work, is below its share and is still admitted.
    CompletionRequest other;
    other.customer = CustomerId("other");
    other.model = ModelName("m");
    other.promptTokens = Tokens(1'000);
    other.maxOutputTokens = Tokens(100);
    other.timeLeft = 10s;
    entry.core.submit(other, entry.now, entry.out);
    CHECK(entry.sent<DispatchRequest>().size() == 1);
}
