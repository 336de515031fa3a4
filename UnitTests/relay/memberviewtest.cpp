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
    view.addressReported("10.0.0.1:1", now);
    CHECK(view.unconfirmedAddresses().size() == 1);
    CHECK(view.messageReceived({InstanceId("e"), Incarnation(5), "10.0.0.1:1"}, now)
          == MemberView::MembershipChange::Joined);
    CHECK(view.unconfirmedAddresses().empty());
    CHECK(view.messageReceived({InstanceId("e"), Incarnation(5), "10.0.0.1:1"}, now)
          == MemberView::MembershipChange::None);
    const std::uint64_t next = GENERATE(std::uint64_t {3}, std::uint64_t {9});
    CHECK(view.messageReceived({InstanceId("e"), Incarnation(next), "10.0.0.1:1"}, now)
          == MemberView::MembershipChange::Restarted);
    now += 2s;
    CHECK(view.expire(now).empty());
    now += 1s;
    CHECK(view.expire(now) == std::vector {InstanceId("e")});
    CHECK(view.otherCount() == 0);
}

// Guards against hearsay that is passed on for ever.
TEST_CASE("an entry that is only named is forgotten", "[relay]")
{
    MemberView view {MemberViewSettings()};
    TimePoint now(1'000s);
    view.addressReported("10.0.0.1:1", now);
    now += 5s;
    view.addressReported("10.0.0.1:1", now);
    (void)view.expire(now + 4s);
    CHECK(view.unconfirmedAddresses().size() == 1);
    (void)view.expire(now + 6s);
    CHECK(view.unconfirmedAddresses().empty());
}
