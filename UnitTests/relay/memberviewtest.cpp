#include "ibismast/relay/memberview.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against entries that count as live after their loss, or whose restart is not noticed. The incarnation of a
// restarted entry may be smaller than the previous one, because the wall clock may have been set back.
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

// Guards against the address of a dead entry that the others report to each other indefinitely.
TEST_CASE("a reported address from which no message arrives is dropped", "[relay]")
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
