#include "UnitTests/harness/configfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

// Limit of property P8 for a change to be in force everywhere.
constexpr Duration InForceLimit = 6s;

// Starts a fleet and brings a first change into force.
void bringUp(ConfigFleet &fleet)
{
    REQUIRE(fleet.runUntilInForce(Revision(0), 5s).has_value());
    fleet.submit(0, drainChange("first", "a"));
    REQUIRE(fleet.runUntilInForce(Revision(1), InForceLimit).has_value());
}

} // namespace

// Guards against a change that stays unknown to some processes, with and without message loss.
TEST_CASE("a change is in force on all replicas within 6 s", "[config]")
{
    ConfigFleetSettings settings;
    settings.nodes = GENERATE(2U, 16U, 64U);
    settings.loss = GENERATE(0.0, 0.05, 0.3);
    settings.seed = GENERATE(1U, 2U, 3U);
    ConfigFleet fleet(settings);
    bringUp(fleet);
    for (int index = 0; index < 5; ++index) {
        fleet.submit(1, drainChange("c" + std::to_string(index), "host-" + std::to_string(index)));
        CHECK(fleet.runUntilInForce(Revision(2 + index), InForceLimit).has_value());
    }
    CHECK(fleet.neverWentBack());
}

// Guards against a watch per process, which the store cannot carry.
TEST_CASE("two processes of each domain read the store", "[config]")
{
    ConfigFleetSettings settings;
    settings.nodes = 60;
    ConfigFleet fleet(settings);
    bringUp(fleet);
    std::map<FailureDomain, int> relays;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        relays[fleet.node(index).self.domain] += fleet.node(index).relay->isRelay() ? 1 : 0;
    }
    CHECK(relays.size() == 3);
    CHECK(std::ranges::all_of(relays, [](const auto &entry) {
        return entry.second == 2;
    }));
    const auto before = fleet.store().reads();
    fleet.run(10s);
    CHECK(fleet.store().reads() - before <= 6 * 6);
}

// Guards against a change being lost with a dropped notification of the store.
TEST_CASE("dropped watch events are repaired by reading the head", "[config]")
{
    ConfigFleet fleet({});
    bringUp(fleet);
    fleet.store().dropWatchEvents(1'000);
    fleet.submit(0, drainChange("c1", "b"));
    CHECK(fleet.runUntilInForce(Revision(2), InForceLimit).has_value());
}

// Guards against a fleet that stops learning of changes when its relays are gone.
TEST_CASE("other processes take over from failed relays", "[config]")
{
    ConfigFleetSettings settings;
    settings.nodes = 48;
    ConfigFleet fleet(settings);
    bringUp(fleet);
    for (std::size_t index = 1; index < fleet.size(); ++index) {
        if (fleet.node(index).relay->isRelay()) {
            fleet.kill(index);
        }
    }
    fleet.publishMembers();
    fleet.run(1s);
    fleet.submit(0, drainChange("c1", "b"));
    CHECK(fleet.runUntilInForce(Revision(2), InForceLimit).has_value());
}

// Guards against a process that starts during an outage serving without configuration or with an old one.
TEST_CASE("a process that starts during an outage takes the newest revision of its peers", "[config]")
{
    ConfigFleetSettings settings;
    settings.nodes = 24;
    settings.loss = GENERATE(0.0, 0.05);
    ConfigFleet fleet(settings);
    bringUp(fleet);
    fleet.submit(0, drainChange("c1", "b"));
    REQUIRE(fleet.runUntilInForce(Revision(2), InForceLimit).has_value());
    fleet.store().setDown(true);
    fleet.run(1s);
    for (std::size_t index : {3, 4, 5, 6}) {
        fleet.restart(index);
    }
    fleet.publishMembers();
    CHECK_FALSE(fleet.node(3).relay->ready());
    CHECK(fleet.runUntilInForce(Revision(2), 5s).has_value());
}

TEST_CASE("no process is ready if all start during an outage", "[config]")
{
    ConfigFleet fleet({});
    fleet.store().setDown(true);
    fleet.run(10s);
    CHECK(fleet.inForce(Revision(0)) == 0);
    fleet.store().setDown(false);
    CHECK(fleet.runUntilInForce(Revision(0), 15s).has_value());
}

// Guards against the side of a partition with older configuration overriding the other one when it heals.
TEST_CASE("the higher revision wins after a partition", "[config]")
{
    ConfigFleetSettings settings;
    settings.nodes = 30;
    ConfigFleet fleet(settings);
    bringUp(fleet);
    fleet.setCut([](std::size_t left, std::size_t right) {
        return left % 3 == 0 || right % 3 == 0;
    });
    fleet.store().dropWatchEvents(2);
    fleet.submit(1, drainChange("c1", "b"));
    fleet.run(5s);
    fleet.setCut({});
    CHECK(fleet.runUntilInForce(Revision(2), InForceLimit).has_value());
    CHECK(fleet.neverWentBack());
}

// Guards against revisions that reach some processes only, or go back, under a mix of faults.
TEST_CASE("replicas converge after random faults", "[config]")
{
    ConfigFleetSettings settings;
    settings.nodes = 24;
    settings.loss = 0.05;
    settings.seed = GENERATE(range(1U, 9U));
    settings.log.snapshotInterval = 20;
    settings.log.segmentBytes = 2'000;
    ConfigFleet fleet(settings);
    bringUp(fleet);
    SeededRandom random(settings.seed);
    for (int index = 0; index < 60; ++index) {
        const std::size_t writer = random.below(fleet.size());
        if (fleet.node(writer).alive) {
            fleet.submit(writer, drainChange("c" + std::to_string(index), "b", std::to_string(index)));
        }
        const std::size_t victim = random.below(fleet.size());
        switch (random.below(8)) {
        case 0:
            fleet.kill(victim);
            break;
        case 1:
            fleet.restart(victim);
            break;
        case 2:
            fleet.store().setDown(random.below(2) == 0);
            break;
        case 3:
            fleet.store().loseAnswersAfterEffect(1);
            break;
        case 4:
            fleet.publishMembers();
            break;
        default:
            break;
        }
        fleet.run(Duration(static_cast<std::int64_t>(random.below(600'000))));
    }
    fleet.store().setDown(false);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (!fleet.node(index).alive) {
            fleet.restart(index);
        }
    }
    fleet.publishMembers();
    fleet.run(15s);
    const auto head = decodeHead(fleet.store().entries().at("config/head").value).value();
    CHECK(head.revision > Revision(20));
    CHECK(fleet.inForce(head.revision) == fleet.size());
    CHECK(fleet.neverWentBack());
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        CHECK(fleet.node(index).replica.state() == fleet.node(0).replica.state());
    }
}
