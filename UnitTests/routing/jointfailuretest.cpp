#include "ibismast/routing/jointfailuretracker.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

InstanceId upstream(int number)
{
    return InstanceId("u" + std::to_string(number));
}

constexpr TimePoint Start(1'000s);

} // namespace

// Guards against copies and retries on upstreams that share a power feed that is not part of their failure domains.
TEST_CASE("upstreams lost together in a large event are correlated", "[routing]")
{
    JointFailureTracker tracker({}, Start);
    for (int number = 0; number < 8; ++number) {
        tracker.noteLost(upstream(number), 25, Start + 1h + number * 200ms);
    }
    tracker.noteLost(upstream(20), 25, Start + 2h);
    const TimePoint now = Start + 3h;
    CHECK(tracker.areCorrelated(upstream(0), upstream(7), now));
    CHECK_FALSE(tracker.areCorrelated(upstream(0), upstream(20), now));
    CHECK_FALSE(tracker.areCorrelated(upstream(0), upstream(21), now));
}

// Guards against treating upstreams as correlated after independent losses have coincided once.
TEST_CASE("a pair is correlated only if it is lost together more often than by chance", "[routing]")
{
    JointFailureTracker tracker({}, Start);
    const int jointLosses = GENERATE(1, 2, 3);
    for (int event = 0; event < jointLosses; ++event) {
        tracker.noteLost(upstream(1), 100, Start + 24h * (event + 1));
        tracker.noteLost(upstream(2), 100, Start + 24h * (event + 1) + 1s);
    }
    CHECK(tracker.areCorrelated(upstream(1), upstream(2), Start + 200h) == (jointLosses >= 2));
}

// Guards against treating all upstreams as correlated after a failure of the entry's own network.
TEST_CASE("the loss of nearly all upstreams does not make them correlated", "[routing]")
{
    JointFailureTracker tracker({}, Start);
    for (int number = 0; number < 10; ++number) {
        tracker.noteLost(upstream(number), 10, Start + 1h);
    }
    CHECK_FALSE(tracker.areCorrelated(upstream(0), upstream(1), Start + 2h));
}
