#include "ibismast/relay/memberview.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

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
    CHECK(view.messageReceived({InstanceId("e"), Incarnation(5), "10.0.0.1:1", {}}, now)
          == MemberView::MembershipChange::Joined);
    CHECK(view.unconfirmedAddresses().empty());
    CHECK(view.messageReceived({InstanceId("e"), Incarnation(5), "10.0.0.1:1", {}}, now)
          == MemberView::MembershipChange::None);
    const std::uint64_t next = GENERATE(std::uint64_t {3}, std::uint64_t {9});
    CHECK(view.messageReceived({InstanceId("e"), Incarnation(next), "10.0.0.1:1", {}}, now)
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

namespace
{

/// Adds @p count entries of each of @p domains to @p view.
void addEntries(MemberView &view, const std::vector<std::string> &domains, std::size_t count, TimePoint now)
{
    for (const std::string &domain : domains) {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string name = domain + std::to_string(100 + index);
            (void)view.messageReceived({InstanceId(name), Incarnation(1), name, FailureDomain(domain)}, now);
        }
    }
}

} // namespace

// Guards against heartbeats that grow with the square of the fleet: they took most of the bytes between domains of a
// fleet of 103 entries. Also guards against an entry that never gets one.
TEST_CASE("the entries of other domains get heartbeats in turn", "[relay]")
{
    const std::size_t perDomain = GENERATE(1, 20, 200);
    MemberView view {MemberViewSettings(), FailureDomain("a")};
    const TimePoint now(1'000s);
    addEntries(view, {"a", "b", "c", "d"}, perDomain, now);
    CHECK(view.localAddresses().size() == perDomain);
    CHECK(view.addressesIn(FailureDomain("c")).size() == perDomain);
    const std::size_t limit = MemberViewSettings().remoteHeartbeats;
    std::set<std::string> reached;
    std::size_t turns = 0;
    while (reached.size() < perDomain * 3) {
        const std::vector<std::string> addresses = view.nextRemoteAddresses();
        CHECK(addresses.size() <= limit);
        CHECK(std::ranges::none_of(addresses, [](const std::string &address) {
            return address.starts_with("a");
        }));
        reached.insert(addresses.begin(), addresses.end());
        REQUIRE(++turns <= (perDomain * 3 + limit - 1) / limit);
    }
    // One report is much smaller than the fleet, and successive ones cover it.
    std::set<std::string> reported;
    for (std::size_t report = 0; report < perDomain; ++report) {
        const std::vector<std::string> addresses = view.nextReportedAddresses();
        CHECK(addresses.size() <= MemberViewSettings().reportedAddresses);
        reported.insert(addresses.begin(), addresses.end());
    }
    CHECK(reported.size() == perDomain * 4);
}

// Guards against entries of other domains that count as lost because they send heartbeats in turns, and against a lost
// entry of the own domain that is noticed late because of that.
TEST_CASE("entries that send heartbeats in turns have more time", "[relay]")
{
    const auto [inTurns, perDomain, silence, lost] = GENERATE(table<bool, std::size_t, Duration, std::string>({
        {false, 20, 2'400ms, "none"},
        {false, 20, 2'600ms, "all"},
        {true, 20, 2'600ms, "local"},
        // Four domains of 20 entries get a heartbeat every 3.5 s.
        {true, 20, 12'900ms, "local"},
        {true, 20, 13'100ms, "all"},
        {true, 1, 4'100ms, "all"},
    }));
    MemberView view {MemberViewSettings(), FailureDomain("a")};
    const TimePoint now(1'000s);
    addEntries(view, {"a", "b", "c", "d", "e"}, perDomain, now);
    const std::size_t gone = view.expire(now + silence, inTurns).size();
    CHECK(gone == (lost == "none" ? 0 : lost == "local" ? perDomain : perDomain * 5));
}
