#include "ibismast/leases/leaseholder.h"
#include "UnitTests/harness/fakestore.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

struct Process
{
    Process(std::uint16_t range, double rate)
        : ids(range), holder({}, "lease/shard", "p" + std::to_string(range), ids, range), clockRate(rate)
    {
    }

    StoreCallIds ids;
    LeaseHolder holder;
    /// Rate of the process's clock relative to the store's.
    double clockRate;
    /// Store time until which the process is paused.
    TimePoint pausedUntil {};
    /// Answers that arrived but were not handled yet.
    StoreAnswers unhandled;
};

// Processes that compete for one lease, each with its own clock.
class LeaseSimulation
{
public:
    explicit LeaseSimulation(const std::vector<double> &clockRates)
    {
        for (const double rate : clockRates) {
            processes.push_back(std::make_unique<Process>(static_cast<std::uint16_t>(processes.size() + 1), rate));
        }
    }

    TimePoint clockOf(const Process &process) const
    {
        return TimePoint(fromSeconds(toSeconds(now.time_since_epoch()) * process.clockRate));
    }
    bool holds(const Process &process) const
    {
        return process.holder.token(clockOf(process)).has_value();
    }
    int holders() const
    {
        int count = 0;
        for (const auto &process : processes) {
            count += holds(*process) ? 1 : 0;
        }
        return count;
    }
    void run(Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += 5ms) {
            step();
            maxHolders = std::max(maxHolders, holders());
        }
    }

    FakeStore store;
    std::vector<std::unique_ptr<Process>> processes;
    TimePoint now {100s};
    int maxHolders = 0;

private:
    void step()
    {
        for (StoreAnswer &answer : store.takeAnswers(now)) {
            processes[(answer.id.value() >> 48U) - 1]->unhandled.push_back(std::move(answer));
        }
        for (const auto &process : processes) {
            if (now < process->pausedUntil) {
                continue;
            }
            StoreCalls calls;
            for (const StoreAnswer &answer : std::exchange(process->unhandled, {})) {
                process->holder.handle(answer, clockOf(*process), calls);
            }
            process->holder.tick(clockOf(*process), calls);
            for (const StoreCall &call : calls) {
                store.submit(call, now);
            }
        }
    }
};

} // namespace

TEST_CASE("one process gets the lease and keeps it", "[leases]")
{
    LeaseSimulation simulation({1.0, 1.0, 1.0});
    simulation.run(60s);
    CHECK(simulation.holders() == 1);
    CHECK(simulation.maxHolders == 1);
    const auto &record = simulation.store.entries().at("lease/shard");
    for (const auto &process : simulation.processes) {
        if (const auto token = process->holder.token(simulation.clockOf(*process))) {
            CHECK(token->value() == record.modRevision.value());
        }
    }
}

// Guards against two concurrent holders: a paused holder must stop by its own clock before another process gets the
// lease, even if its clock runs slow.
TEST_CASE("a holder stops before the lease ends", "[leases]")
{
    LeaseSimulation simulation({GENERATE(0.9, 1.0, 1.1), GENERATE(0.95, 1.0)});
    simulation.run(20s);
    REQUIRE(simulation.holders() == 1);
    Process &holder = simulation.holds(*simulation.processes[0]) ? *simulation.processes[0] : *simulation.processes[1];
    const auto token = holder.holder.token(simulation.clockOf(holder));
    holder.pausedUntil = simulation.now + 30s;
    simulation.run(30s);
    simulation.run(20s);
    CHECK(simulation.maxHolders == 1);
    CHECK(simulation.holders() == 1);
    CHECK(FencingToken(simulation.store.entries().at("lease/shard").modRevision.value()) > token);
}

// Guards against a holder that resumes after a pause and still uses its expired lease.
TEST_CASE("no token is returned after a pause longer than the lease", "[leases]")
{
    LeaseSimulation simulation({1.0});
    simulation.run(10s);
    Process &holder = *simulation.processes[0];
    REQUIRE(simulation.holds(holder));
    CHECK_FALSE(holder.holder.token(simulation.clockOf(holder) + 8s).has_value());
}

TEST_CASE("tokens increase with each acquisition", "[leases]")
{
    LeaseSimulation simulation({1.0, 1.0});
    simulation.run(20s);
    std::int64_t last = 0;
    for (int round = 0; round < 4; ++round) {
        const auto revision = simulation.store.entries().at("lease/shard").modRevision.value();
        CHECK(revision > last);
        last = revision;
        simulation.store.lapseLease(simulation.store.entries().at("lease/shard").lease);
        simulation.run(20s);
    }
    CHECK(simulation.holders() == 1);
}

// Guards against two concurrent holders, for example after a lost answer makes a process claim the lease twice, and
// against a lease that no process acquires again after lost answers, outages, pauses and delayed writes.
TEST_CASE("lost answers and short outages do not produce two holders", "[leases]")
{
    LeaseSimulation simulation({1.0, 1.02, 0.98});
    SeededRandom random(GENERATE(range(1U, 11U)));
    for (int round = 0; round < 40; ++round) {
        switch (random.below(5)) {
        case 0:
            simulation.store.loseAnswersAfterEffect(static_cast<int>(random.below(4)));
            break;
        case 1:
            simulation.store.setDown(true);
            break;
        case 2:
            simulation.processes[random.below(3)]->pausedUntil =
                simulation.now + Duration(static_cast<std::int64_t>(random.below(15'000'000)));
            break;
        case 3:
            simulation.store.delayNextEffect(Duration(static_cast<std::int64_t>(random.below(8'000'000))));
            break;
        default:
            simulation.store.setDown(false);
            break;
        }
        simulation.run(Duration(static_cast<std::int64_t>(random.below(6'000'000))));
    }
    CHECK(simulation.maxHolders <= 1);
    simulation.store.setDown(false);
    simulation.store.loseAnswersAfterEffect(0);
    simulation.run(60s);
    CHECK(simulation.holders() == 1);
}

TEST_CASE("a released lease goes to another process soon", "[leases]")
{
    LeaseSimulation simulation({1.0, 1.0});
    simulation.run(20s);
    Process &holder = simulation.holds(*simulation.processes[0]) ? *simulation.processes[0] : *simulation.processes[1];
    StoreCalls calls;
    holder.holder.release(calls);
    for (const StoreCall &call : calls) {
        simulation.store.submit(call, simulation.now);
    }
    CHECK_FALSE(simulation.holds(holder));
    simulation.run(5s);
    CHECK(simulation.holders() == 1);
    CHECK_FALSE(simulation.holds(holder));
}
