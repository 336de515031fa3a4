#include "ibismast/membership/membershiptable.h"
#include "ibismast/membership/accrualdetector.h"
#include "ibismast/membership/timeoutdetector.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start {100s};
const InstanceId Engine("engine-1");

PeerSummary summaryOf(std::uint64_t incarnation, InstanceState state = InstanceState::Ready)
{
    PeerSummary summary;
    summary.instance = Engine;
    summary.incarnation = Incarnation(incarnation);
    summary.state = state;
    return summary;
}

MembershipTable makeTable()
{
    return {MembershipTableSettings(), std::make_unique<TimeoutDetector>(TimeoutDetectorSettings {1s})};
}

std::unique_ptr<FailureDetector> makeDetector(bool accrual)
{
    if (accrual) {
        return std::make_unique<AccrualDetector>(AccrualDetectorSettings());
    }
    return std::make_unique<TimeoutDetector>(TimeoutDetectorSettings());
}

} // namespace

TEST_CASE("a silent member is suspected, then dead, then removed", "[membership]")
{
    auto table = makeTable();
    table.heartbeat(summaryOf(1), Start);
    CHECK(table.find(Engine)->state == MemberState::Alive);
    table.tick(Start + 900ms);
    CHECK(table.find(Engine)->state == MemberState::Alive);
    table.tick(Start + 1s);
    CHECK(table.find(Engine)->state == MemberState::Suspected);
    table.tick(Start + 6s);
    CHECK(table.find(Engine)->state == MemberState::Dead);
    table.tick(Start + 306s);
    CHECK(table.find(Engine) == nullptr);
    const auto changes = table.takeChanges();
    REQUIRE(changes.size() == 3);
    CHECK(changes[2].before == MemberState::Suspected);
    CHECK(changes[2].after == MemberState::Dead);
}

// Guards against the work of an instance that only paused still being treated as lost after its heartbeats resume.
TEST_CASE("a heartbeat makes a suspected or dead member alive", "[membership]")
{
    auto table = makeTable();
    table.heartbeat(summaryOf(1), Start);
    table.tick(Start + 2s);
    if (GENERATE(false, true)) {
        table.tick(Start + 8s);
    }
    CHECK(table.find(Engine)->state != MemberState::Alive);
    table.heartbeat(summaryOf(1), Start + 9s);
    CHECK(table.find(Engine)->state == MemberState::Alive);
}

// Guards against new work being sent to an instance that has announced that it is leaving (property P6).
TEST_CASE("a leaving member becomes alive only with a new incarnation", "[membership]")
{
    auto table = makeTable();
    table.heartbeat(summaryOf(1), Start);
    switch (GENERATE(0, 1, 2)) {
    case 0:
        table.markLeaving(Engine, Start);
        break;
    case 1:
        table.indirectReport(summaryOf(1, InstanceState::Leaving), Start);
        break;
    default:
        table.heartbeat(summaryOf(1, InstanceState::Leaving), Start);
        break;
    }
    table.heartbeat(summaryOf(1), Start + 100ms);
    CHECK(table.find(Engine)->state == MemberState::Leaving);
    CHECK(table.alive().empty());
    table.heartbeat(summaryOf(2), Start + 200ms);
    CHECK(table.find(Engine)->state == MemberState::Alive);
    CHECK(table.takeChanges().back().restarted);
}

// Guards against delayed messages of an earlier run changing the state of the current run.
TEST_CASE("an earlier incarnation is ignored", "[membership]")
{
    auto table = makeTable();
    table.heartbeat(summaryOf(2), Start);
    table.heartbeat(summaryOf(1, InstanceState::Leaving), Start + 100ms);
    table.indirectReport(summaryOf(1, InstanceState::Leaving), Start + 100ms);
    CHECK(table.find(Engine)->state == MemberState::Alive);
    CHECK(table.find(Engine)->summary.incarnation == Incarnation(2));
}

// Guards against a member being kept alive by reports of other instances although it sends no heartbeats.
TEST_CASE("an indirect report does not make a member alive", "[membership]")
{
    auto table = makeTable();
    table.indirectReport(summaryOf(1), Start);
    CHECK(table.find(Engine)->state == MemberState::Known);
    table.heartbeat(summaryOf(1), Start);
    table.tick(Start + 2s);
    table.indirectReport(summaryOf(1), Start + 2s);
    CHECK(table.find(Engine)->state == MemberState::Suspected);
    table.tick(Start + 8s);
    table.indirectReport(summaryOf(2), Start + 8s);
    CHECK(table.find(Engine)->state == MemberState::Known);
}

TEST_CASE("a member that never sends a heartbeat is removed", "[membership]")
{
    auto table = makeTable();
    table.indirectReport(summaryOf(1), Start);
    table.tick(Start + 301s);
    CHECK(table.find(Engine) == nullptr);
}

TEST_CASE("a sample contains only alive and leaving members", "[membership]")
{
    auto table = makeTable();
    for (int index = 0; index < 10; ++index) {
        auto summary = summaryOf(1);
        summary.instance = InstanceId("engine-" + std::to_string(index));
        if (index < 3) {
            table.indirectReport(summary, Start);
        } else {
            table.heartbeat(summary, Start);
        }
    }
    SeededRandom random(1);
    const auto sample = table.sample(random);
    CHECK(sample.size() == 4);
    for (const PeerSummary &summary : sample) {
        CHECK(table.find(summary.instance)->state == MemberState::Alive);
    }
}

// Guards against detectors that never suspect a silent sender, or that suspect a regular one.
TEST_CASE("both detectors suspect a silent sender but not a regular one", "[membership]")
{
    const auto detector = makeDetector(GENERATE(false, true));
    CHECK_FALSE(detector->suspects(Engine, Start));
    TimePoint now = Start;
    for (int beat = 0; beat < 200; ++beat) {
        now += 250ms + Duration((beat % 5) * 10'000);
        CHECK_FALSE(detector->suspects(Engine, now));
        detector->heartbeatArrived(Engine, now);
    }
    CHECK(detector->suspects(Engine, now + 1500ms));
    detector->forget(Engine);
    CHECK_FALSE(detector->suspects(Engine, now + 1500ms));
}

// Guards against a sender on a lossy network path being suspected because of its usual gaps.
TEST_CASE("the accrual detector adapts to irregular senders", "[membership]")
{
    AccrualDetector regular {AccrualDetectorSettings()};
    AccrualDetector irregular {AccrualDetectorSettings()};
    TimePoint now = Start;
    for (int beat = 0; beat < 100; ++beat) {
        regular.heartbeatArrived(Engine, Start + 250ms * beat);
        now += beat % 4 == 0 ? 1000ms : 250ms;
        irregular.heartbeatArrived(Engine, now);
    }
    CHECK(regular.suspicion(Engine, Start + 250ms * 99 + 1200ms) > 8.0);
    CHECK(irregular.suspicion(Engine, now + 1200ms) < 8.0);
    CHECK(irregular.suspicion(Engine, now + 60s) >= 8.0);
}

TEST_CASE("validation names the invalid detector setting", "[membership]")
{
    AccrualDetectorSettings settings;
    settings.windowSize = 1;
    const auto result = settings.validate();
    REQUIRE(errorOf(result) != nullptr);
    CHECK(errorOf(result)->message.find("windowSize") != std::string::npos);
}
