#include "ibismast/relay/reservationreleases.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

AttemptHelper holder(const std::string &reservation)
{
    return {UpstreamRecord(), Tokens(1'000), reservation};
}

} // namespace

// Load: engines leave orders unanswered while prompts end on them. Guards against memory that stays reserved for more
// than 4 s after its request because one release was lost.
TEST_CASE("a release is sent until its engine answers", "[relay]")
{
    const auto [lost, expectedSends, expectedTime] = GENERATE(table<int, int, Duration>({
        {0, 1, 0ms},
        {1, 2, 200ms},
        {4, 5, 800ms},
        {100, 20, 3'800ms},
    }));
    ReservationReleases releases {ReservationReleasesSettings()};
    TimePoint now {1'000s};
    const TimePoint begun = now;
    TimePoint lastSend = now;
    int sends = 0;
    releases.add(holder("r.1.1"), now);
    REQUIRE(releases.nextDue() == now);
    while (releases.nextDue() && now - begun < 10s) {
        now = *releases.nextDue();
        for (const AttemptHelper &due : releases.takeDue(now)) {
            CHECK(due.reservationId == "r.1.1");
            ++sends;
            lastSend = now;
            if (sends > lost) {
                releases.answered(due.reservationId);
            }
        }
        CHECK(releases.takeDue(now).empty());
    }
    CHECK_FALSE(releases.nextDue());
    CHECK(sends == expectedSends);
    CHECK(lastSend - begun == expectedTime);
}

// Guards against releases that grow without bound while many engines do not answer, and against a late answer for one
// reservation that ends the release of another.
TEST_CASE("unanswered releases are bounded and separate", "[relay]")
{
    ReservationReleasesSettings settings;
    settings.maxOpen = 3;
    ReservationReleases releases(settings);
    TimePoint now {1'000s};
    for (const char *reservation : {"a", "b", "c", "d"}) {
        releases.add(holder(reservation), now);
        now += 1ms;
    }
    releases.answered("a");
    releases.answered("c");
    std::string due;
    for (const AttemptHelper &release : releases.takeDue(now)) {
        due += release.reservationId;
    }
    CHECK(due == "bd");
}
