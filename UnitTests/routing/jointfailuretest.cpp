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

// Guards against copies and retries that land on the same undocumented power feed.
TEST_CASE("upstreams lost together in a large event share a set", "[routing]")
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

// Guards against independent losses that coincide once being taken for a common cause.
TEST_CASE("a pair must be lost together more often than by chance", "[routing]")
{
    JointFailureTracker tracker({}, Start);
    const int together = GENERATE(1, 2, 3);
    for (int event = 0; event < together; ++event) {
        tracker.noteLost(upstream(1), 100, Start + 24h * (event + 1));
        tracker.noteLost(upstream(2), 100, Start + 24h * (event + 1) + 1s);
    }
    CHECK(tracker.areCorrelated(upstream(1), upstream(2), Start + 200h) == (together >= 2));
}

// Guards against all upstreams being put into one set when the entry's own network fails.
TEST_CASE("the loss of nearly everything teaches nothing", "[routing]")
{
    JointFailureTracker tracker({}, Start);
    for (int number = 0; number < 10; ++number) {
        tracker.noteLost(upstream(number), 10, Start + 1h);
    }
    CHECK_FALSE(tracker.areCorrelated(upstream(0), upstream(1), Start + 2h));
}
