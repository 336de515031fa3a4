#include "ibismast/retry/circuitbreaker.h"
#include "ibismast/retry/retrybudget.h"
#include "ibismast/retry/retrypolicy.h"

#include <catch2/catch.hpp>

#include <set>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against retries that amplify an overload.
TEST_CASE("retries are limited to a tenth of the recent requests plus the minimum", "[retry]")
{
    RetryBudget budget(RetryBudgetSettings {0.1, 3.0});
    const int requests = GENERATE(0, 100, 1'000);
    TimePoint now(1'000s);
    for (int request = 0; request < requests; ++request) {
        budget.noteRequest(now);
    }
    int retries = 0;
    while (budget.take(now)) {
        ++retries;
    }
    CHECK(retries == 3 + requests / 10);
    now += 11s;
    CHECK(budget.take(now));
}

// Guards against a failing upstream that still gets all work, and against one that never gets work again.
TEST_CASE("the circuit breaker opens, probes and closes", "[retry]")
{
    CircuitBreaker breaker(CircuitBreakerSettings {3, 1s, 4s});
    TimePoint now(1'000s);
    breaker.failed(now);
    breaker.failed(now);
    CHECK(breaker.allows(now));
    breaker.failed(now);
    CHECK_FALSE(breaker.allows(now));
    now += 1s;
    CHECK(breaker.allows(now));
    breaker.noteDispatch(now);
    CHECK_FALSE(breaker.allows(now));
    breaker.failed(now);
    now += 1s;
    CHECK_FALSE(breaker.allows(now));
    now += 1s;
    breaker.noteDispatch(now);
    breaker.succeeded();
    CHECK(breaker.allows(now));
}

// Guards against retries that are sent all at once or after the deadline.
TEST_CASE("backoff delays grow, have jitter and end before the deadline", "[retry]")
{
    const RetryPolicy policy(RetryPolicySettings {5, 100ms, 300ms});
    SeededRandom random(1);
    const auto [attempts, longest] = GENERATE(table<std::uint32_t, Duration>({{1, 100ms}, {2, 200ms}, {3, 300ms}}));
    std::set<Duration> delays;
    for (int round = 0; round < 50; ++round) {
        const auto delay = policy.backoffDelay(RetryCause::Failure, attempts, 10s, random);
        REQUIRE(delay);
        CHECK(*delay >= longest / 2);
        CHECK(*delay <= longest);
        delays.insert(*delay);
    }
    CHECK(delays.size() > 40);
    CHECK_FALSE(policy.backoffDelay(RetryCause::Failure, attempts, 10ms, random));
    CHECK_FALSE(policy.backoffDelay(RetryCause::Failure, 5, 10s, random));
    CHECK(policy.backoffDelay(RetryCause::Unavailable, attempts, 10ms, random) == Duration::zero());
}

// Guards against a budget that keeps its old limits after the size of the fleet has changed.
TEST_CASE("new limits apply to a budget and keep its counts", "[retry]")
{
    const auto [minimum, expected] = GENERATE(table<double, int>({{10.0, 8}, {2.0, 0}, {1.0, 0}}));
    RetryBudget budget(RetryBudgetSettings {0.0, 5.0});
    const TimePoint now(1'000s);
    CHECK(budget.take(now));
    CHECK(budget.take(now));
    budget.setSettings({0.0, minimum});
    int taken = 0;
    while (budget.take(now)) {
        ++taken;
    }
    CHECK(taken == expected);
}
