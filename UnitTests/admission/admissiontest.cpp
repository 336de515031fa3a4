#include "ibismast/admission/admissioncontroller.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

constexpr EngineRates Rates {20'000.0, Duration {30'000}};

AdmissionRequest makeRequest(const std::string &customer, std::int64_t prefill, Duration timeLeft)
{
    AdmissionRequest request;
    request.customer = CustomerId(customer);
    request.priorityClass = classifyPrompt(Tokens(prefill));
    request.prefill = Tokens(prefill);
    request.output = Tokens(100);
    request.timeLeft = timeLeft;
    return request;
}

QueuedAttempt makeQueued(std::uint64_t sequence, const std::string &customer, std::int64_t work)
{
    QueuedAttempt attempt;
    attempt.attempt = AttemptId {RequestId {Incarnation(1), sequence}, 0};
    attempt.customer = CustomerId(customer);
    attempt.work = Tokens(work);
    attempt.priorityClass = classifyPrompt(Tokens(work));
    return attempt;
}

} // namespace

// Guards against admitting requests that cannot complete before their deadline.
TEST_CASE("an attempt that cannot complete in time is refused with a retry-after time", "[admission]")
{
    const auto milliseconds = GENERATE(1'000, 3'000, 10'000);
    const AdmissionController controller({}, {});
    const auto decision = controller.decide(
        makeRequest("a", 2'000, Duration(milliseconds * 1'000)), FairQueue({}), EngineProgress(), Rates);
    // Prefilling 2,000 tokens at 20,000/s and decoding 100 tokens at 30 ms takes 3.1 s; with margin and reserve 3.82 s.
    const Error *error = errorOf(decision);
    REQUIRE((error == nullptr) == (milliseconds == 10'000));
    if (error != nullptr) {
        CHECK(error->code == ResultCode::DeadlineNotFeasible);
        CHECK(error->retryAfter >= Duration((3'820 - milliseconds) * 1'000 - 1'000));
    }
}

// Guards against refusing requests of one customer because another customer causes overload.
TEST_CASE("a customer's queued work counts against its own share only", "[admission]")
{
    const AdmissionController controller({}, {});
    FairQueue queue({});
    for (std::uint64_t sequence = 0; sequence < 100; ++sequence) {
        CHECK(queue.push(makeQueued(sequence, "busy", 4'000)));
    }
    const auto busy =
        controller.decide(makeRequest("busy", 2'000, Duration(60'000'000)), queue, EngineProgress(), Rates);
    REQUIRE(errorOf(busy) != nullptr);
    CHECK(errorOf(busy)->code == ResultCode::CustomerOverShare);
    CHECK(errorOf(busy)->retryAfter > Duration::zero());
    const auto other =
        controller.decide(makeRequest("other", 2'000, Duration(60'000'000)), queue, EngineProgress(), Rates);
    CHECK(errorOf(other) == nullptr);
}

// Guards against refusing short requests because long prompts are queued.
TEST_CASE("long prompts do not make short requests infeasible", "[admission]")
{
    const AdmissionController controller({}, {});
    FairQueue queue({});
    for (std::uint64_t sequence = 0; sequence < 50; ++sequence) {
        CHECK(queue.push(makeQueued(sequence, "a", 200'000)));
    }
    const auto decision =
        controller.decide(makeRequest("b", 2'000, Duration(10'000'000)), queue, EngineProgress(), Rates);
    REQUIRE(errorOf(decision) == nullptr);
    CHECK(std::get<Duration>(decision) < Duration(1'000'000));
}

// Guards against values that disable admission control by accident.
TEST_CASE("the error for invalid settings names the field", "[admission]")
{
    AdmissionSettings settings;
    CHECK(errorOf(settings.validate()) == nullptr);
    settings.margin = 0.5;
    REQUIRE(errorOf(settings.validate()) != nullptr);
    CHECK(errorOf(settings.validate())->message.find("margin") != std::string::npos);
}

// Guards against a rate estimate that idle time or the rate reported by the engine distorts.
TEST_CASE("the prefill rate follows measurements of busy time only", "[admission]")
{
    CapacityEstimator estimator({});
    estimator.noteReportedRates(30'000.0, 0.0);
    CHECK(estimator.rates().prefill == Approx(30'000.0));
    TimePoint now {};
    for (int step = 0; step < 300; ++step) {
        now += Duration(100'000);
        estimator.advance(now, true);
        estimator.notePrefilled(1'000.0);
    }
    CHECK(estimator.rates().prefill == Approx(10'000.0).epsilon(0.05));
    now += Duration(60'000'000);
    estimator.advance(now, false);
    estimator.noteReportedRates(30'000.0, 0.0);
    CHECK(estimator.rates().prefill == Approx(10'000.0).epsilon(0.05));
}
