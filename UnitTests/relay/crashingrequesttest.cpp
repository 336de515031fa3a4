#include "UnitTests/relay/crashingfleet.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against one request that comes again and again and crashes one upstream after the other (issue 34, BUDGET):
// later than three seconds after its third crash it is sent three times at most, at whatever entry it comes, also if
// entries restart one after the other, while other requests are served.
TEST_CASE("a request that crashes upstreams is kept from them when it comes again", "[relay][load]")
{
    CrashingFleet::Settings settings;
    settings.path = GENERATE(as<std::string> {}, "/g/", "/p/", "/u/");
    settings.entries = GENERATE(std::size_t {1}, std::size_t {3}, std::size_t {12});
    settings.upstreams = GENERATE(std::size_t {4}, std::size_t {12});
    settings.sharesPart = GENERATE(false, true);
    settings.keepsId = GENERATE(false, true);
    settings.crashingRate = GENERATE(1.0, 5.0);
    const bool restarts = GENERATE(false, true);
    if (settings.path != "/g/" && settings.sharesPart) {
        return;
    }
    CAPTURE(settings.path,
            settings.entries,
            settings.upstreams,
            settings.sharesPart,
            settings.keepsId,
            settings.crashingRate,
            restarts);
    CrashingFleet fleet(settings);
    fleet.play(12s);
    if (restarts && settings.entries > 1) {
        for (std::size_t entry = 0; entry < settings.entries; ++entry) {
            fleet.restartEntry(entry);
            fleet.play(1s);
        }
    }
    CHECK(fleet.crashes >= 3);
    fleet.resetCounts();
    fleet.play(15s);
    CHECK(fleet.lateAttempts <= 3);
    CHECK(fleet.soundAnswered >= fleet.soundCalls * 95 / 100);
}
