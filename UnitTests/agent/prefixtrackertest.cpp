#include "ibismast/agent/prefixtracker.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against admission decisions that rely on prefixes which the engine has evicted in an event that was lost.
TEST_CASE("cached prefixes are trusted until they are removed or a lost event has made them outdated", "[agent]")
{
    PrefixTracker tracker(100, Duration(10));
    tracker.handle({1, {1, 2, 3}, {}}, TimePoint());
    CHECK(tracker.expectedHit({1, 2, 9}, TimePoint()) == Tokens(2 * PrefixBlockTokens.value()));
    SECTION("the engine removes a block")
    {
        tracker.handle({2, {}, {2}}, TimePoint());
        CHECK(tracker.expectedHit({1, 2, 3}, TimePoint()) == PrefixBlockTokens);
    }
    SECTION("an event is lost")
    {
        tracker.handle({3, {7}, {}}, TimePoint(Duration(5)));
        CHECK(tracker.expectedHit({1, 2, 3}, TimePoint(Duration(14))) == Tokens(3 * PrefixBlockTokens.value()));
        CHECK(tracker.expectedHit({1, 2, 3}, TimePoint(Duration(15))) == Tokens(0));
        CHECK(tracker.newest(10, TimePoint(Duration(15))) == std::vector<std::uint64_t> {7});
    }
}
