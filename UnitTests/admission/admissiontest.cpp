#include "ibismast/admission/admissioncontroller.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

constexpr EngineRates Rates {20'000.0, Duration {30'000}};

AdmissionRequest requestOf(const std::string &customer, std::int64_t prefill, Duration timeLeft)
{
    AdmissionRequest request;
    request.customer = CustomerId(customer);
    request.priorityClass = classifyPrompt(Tokens(prefill));
    request.prefill = Tokens(prefill);
    request.output = Tokens(100);
    request.timeLeft = timeLeft;
    return request;
}

QueuedAttempt queuedOf(std::uint64_t sequence, const std::string &customer, std::int64_t work)
{
    QueuedAttempt attempt;
    attempt.attempt = AttemptId {RequestId {Incarnation(1), sequence}, 0};
    attempt.customer = CustomerId(customer);
    attempt.work = Tokens(work);
    attempt.priorityClass = classifyPrompt(Tokens(work));
    return attempt;
}

} // namespace

// Guards against admitted requests that cannot end before their deadline.
TEST_CASE("an attempt that cannot end in time is refused with the time to wait", "[admission]")
{
    const auto milliseconds = GENERATE(1'000, 3'000, 10'000);
    const AdmissionController controller({}, {});
    const auto decision = controller.decide(
        requestOf("a", 2'000, Duration(milliseconds * 1'000)), FairQueue({}), EngineProgress(), Rates);
    // 2,000 tokens at 20,000/s and 100 tokens of 30 ms take 3.1 s, with the margin and the reserve 3.82 s.
    const Error *error = errorOf(decision);
    REQUIRE((error == nullptr) == (milliseconds == 10'000));
    if (error != nullptr) {
        CHECK(error->code == ResultCode::DeadlineNotFeasible);
        CHECK(error->retryAfter >= Duration((3'820 - milliseconds) * 1'000 - 1'000));
    }
}

// Guards against overload of one customer that is refused at another one.
TEST_CASE("a customer's own queue counts against its share only", "[admission]")
{
    const AdmissionController controller({}, {});
    FairQueue queue({});
    for (std::uint64_t sequence = 0; sequence < 100; ++sequence) {
        CHECK(queue.push(queuedOf(sequence, "busy", 4'000)));
    }
    const auto busy = controller.decide(requestOf("busy", 2'000, Duration(60'000'000)), queue, EngineProgress(), Rates);
    REQUIRE(errorOf(busy) != nullptr);
    CHECK(errorOf(busy)->code == ResultCode::CustomerOverShare);
    CHECK(errorOf(busy)->retryAfter > Duration::zero());
    const auto other =
        controller.decide(requestOf("other", 2'000, Duration(60'000'000)), queue, EngineProgress(), Rates);
    CHECK(errorOf(other) == nullptr);
}

// Guards against short requests that are refused because long prompts wait.
TEST_CASE("long prompts do not make short requests infeasible", "[admission]")
{
    const AdmissionController controller({}, {});
    FairQueue queue({});
    for (std::uint64_t sequence = 0; sequence < 50; ++sequence) {
        CHECK(queue.push(queuedOf(sequence, "a", 200'000)));
    }
    const auto decision =
        controller.decide(requestOf("b", 2'000, Duration(10'000'000)), queue, EngineProgress(), Rates);
    REQUIRE(errorOf(decision) == nullptr);
    CHECK(std::get<Duration>(decision) < Duration(1'000'000));
}

// Guards against settings that turn the mechanism off by accident.
TEST_CASE("invalid settings are named", "[admission]")
{
    AdmissionSettings settings;
    CHECK(errorOf(settings.validate()) == nullptr);
    settings.margin = 0.5;
    REQUIRE(errorOf(settings.validate()) != nullptr);
    CHECK(errorOf(settings.validate())->message.find("margin") != std::string::npos);
}

// Guards against a rate estimate that an idle or a lagging engine distorts.
TEST_CASE("the rate follows measurements of busy time only", "[admission]")
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
