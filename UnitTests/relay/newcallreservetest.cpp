#include "ibismast/relay/newcallreserve.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Load: a burst of new calls whose excess is refused and comes back. Guards against returning calls that take all
// slots, and against slots that stay empty after the burst.
TEST_CASE("slots are kept for the new calls of a burst and given back after it", "[relay][load]")
{
    struct Row
    {
        int callsPerSecond;
        Duration pause;
        std::size_t least;
        std::size_t most;
    };
    const Row row = GENERATE(values<Row>({
        {0, 0s, 0, 0},
        {10, 0s, 2, 3},
        {200, 0s, 54, 66},
        {200, 1s, 19, 25},
        {200, 10s, 0, 0},
    }));
    CAPTURE(row.callsPerSecond);
    NewCallReserve reserve {NewCallReserveSettings()};
    TimePoint now {1'000s};
    for (int call = 0; call < row.callsPerSecond * 5; ++call) {
        now += fromSeconds(1.0 / row.callsPerSecond);
        reserve.noteCalls(1, now);
    }
    now += row.pause;
    CHECK(reserve.slots(now) >= row.least);
    CHECK(reserve.slots(now) <= row.most);
}

// Guards against settings that divide by zero or keep a negative number of slots.
TEST_CASE("the settings of the reserve are checked", "[relay][settings]")
{
    const auto [horizon, window, valid] = GENERATE(
        table<Duration, Duration, bool>({{0ms, 1s, true}, {300ms, 1s, true}, {-1ms, 1s, false}, {300ms, 0s, false}}));
    NewCallReserveSettings settings;
    settings.horizon = horizon;
    settings.window = window;
    CHECK((errorOf(settings.validate()) == nullptr) == valid);
}
