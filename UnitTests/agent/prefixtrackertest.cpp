#include "ibismast/agent/prefixtracker.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against admission that counts on cached prefixes which the engine has dropped without a visible event.
TEST_CASE("cached prefixes count until they are removed or doubtful for too long", "[agent]")
{
    PrefixTracker tracker(100, Duration(10));
    tracker.handle({1, {1, 2, 3}, {}}, TimePoint());
    CHECK(tracker.expectedHit({1, 2, 9}, TimePoint()) == Tokens(2 * PrefixBlockTokens.value()));
    SECTION("removed")
    {
        tracker.handle({2, {}, {2}}, TimePoint());
        CHECK(tracker.expectedHit({1, 2, 3}, TimePoint()) == PrefixBlockTokens);
    }
    SECTION("a lost event")
    {
        tracker.handle({3, {7}, {}}, TimePoint(Duration(5)));
        CHECK(tracker.expectedHit({1, 2, 3}, TimePoint(Duration(14))) == Tokens(3 * PrefixBlockTokens.value()));
        CHECK(tracker.expectedHit({1, 2, 3}, TimePoint(Duration(15))) == Tokens(0));
        CHECK(tracker.newest(10, TimePoint(Duration(15))) == std::vector<std::uint64_t> {7});
    }
}
