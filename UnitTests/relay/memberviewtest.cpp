#include "ibismast/relay/memberview.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against entries that are taken for alive after their loss, or for the same run after a restart. A restart may
// have any number, since the time of day may have jumped back.
TEST_CASE("entries join, restart and are lost", "[relay]")
{
    MemberView view {MemberViewSettings()};
    TimePoint now(1'000s);
    view.named("10.0.0.1:1", now);
    CHECK(view.namedAddresses().size() == 1);
    CHECK(view.heard({InstanceId("e"), Incarnation(5), "10.0.0.1:1"}, now) == MemberView::News::Joined);
    CHECK(view.namedAddresses().empty());
    CHECK(view.heard({InstanceId("e"), Incarnation(5), "10.0.0.1:1"}, now) == MemberView::News::None);
    const std::uint64_t next = GENERATE(std::uint64_t {3}, std::uint64_t {9});
    CHECK(view.heard({InstanceId("e"), Incarnation(next), "10.0.0.1:1"}, now) == MemberView::News::Restarted);
    now += 2s;
    CHECK(view.expire(now).empty());
    now += 1s;
    CHECK(view.expire(now) == std::vector {InstanceId("e")});
    CHECK(view.others() == 0);
}

// Guards against hearsay that is passed on for ever.
TEST_CASE("an entry that is only named is forgotten", "[relay]")
{
    MemberView view {MemberViewSettings()};
    TimePoint now(1'000s);
    view.named("10.0.0.1:1", now);
    now += 5s;
    view.named("10.0.0.1:1", now);
    (void)view.expire(now + 4s);
    CHECK(view.namedAddresses().size() == 1);
    (void)view.expire(now + 6s);
    CHECK(view.namedAddresses().empty());
}
