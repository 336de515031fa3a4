#include "ibismast/leases/leaseholder.h"
#include "UnitTests/harness/fakestore.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

struct Actor
{
    Actor(std::uint16_t range, double rate)
        : ids(range), holder({}, "lease/shard", "p" + std::to_string(range), ids, range), clockRate(rate)
    {
    }

    StoreCallIds ids;
    LeaseHolder holder;
    /// Speed of the process's clock against the store's.
    double clockRate;
    /// The process does nothing until this time of the store.
    TimePoint pausedUntil {};
    StoreAnswers waiting;
};

// Processes that compete for one lease, each with a clock of its own.
class LeaseBench
{
public:
    explicit LeaseBench(const std::vector<double> &clockRates)
    {
        for (const double rate : clockRates) {
            actors.push_back(std::make_unique<Actor>(static_cast<std::uint16_t>(actors.size() + 1), rate));
        }
    }

    TimePoint clockOf(const Actor &actor) const
    {
        return TimePoint(fromSeconds(toSeconds(now.time_since_epoch()) * actor.clockRate));
    }
    bool holds(const Actor &actor) const
    {
        return actor.holder.token(clockOf(actor)).has_value();
    }
    int holders() const
    {
        int count = 0;
        for (const auto &actor : actors) {
            count += holds(*actor) ? 1 : 0;
        }
        return count;
    }
    void run(Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += 5ms) {
            step();
            mostHolders = std::max(mostHolders, holders());
        }
    }

    FakeStore store;
    std::vector<std::unique_ptr<Actor>> actors;
    TimePoint now {100s};
    int mostHolders = 0;

private:
    void step()
    {
        for (StoreAnswer &answer : store.takeAnswers(now)) {
            actors[(answer.id.value() >> 48U) - 1]->waiting.push_back(std::move(answer));
        }
        for (const auto &actor : actors) {
            if (now < actor->pausedUntil) {
                continue;
            }
            StoreCalls calls;
            for (const StoreAnswer &answer : std::exchange(actor->waiting, {})) {
                actor->holder.handle(answer, clockOf(*actor), calls);
            }
            actor->holder.tick(clockOf(*actor), calls);
            for (const StoreCall &call : calls) {
                store.submit(call, now);
            }
        }
    }
};

} // namespace

TEST_CASE("one process gets the lease and keeps it", "[leases]")
{
    LeaseBench bench({1.0, 1.0, 1.0});
    bench.run(60s);
    CHECK(bench.holders() == 1);
    CHECK(bench.mostHolders == 1);
    const auto &record = bench.store.entries().at("lease/shard");
    for (const auto &actor : bench.actors) {
        if (const auto token = actor->holder.token(bench.clockOf(*actor))) {
            CHECK(token->value() == record.modRevision.value());
        }
    }
}

// Guards against two actors at once: a holder must stop by its own clock, even if that runs slow.
TEST_CASE("a holder stops before the lease ends", "[leases]")
{
    LeaseBench bench({GENERATE(0.9, 1.0, 1.1), GENERATE(0.95, 1.0)});
    bench.run(20s);
    REQUIRE(bench.holders() == 1);
    Actor &holder = bench.holds(*bench.actors[0]) ? *bench.actors[0] : *bench.actors[1];
    const auto token = holder.holder.token(bench.clockOf(holder));
    holder.pausedUntil = bench.now + 30s;
    bench.run(30s);
    bench.run(20s);
    CHECK(bench.mostHolders == 1);
    CHECK(bench.holders() == 1);
    CHECK(FencingToken(bench.store.entries().at("lease/shard").modRevision.value()) > token);
}

// Guards against a paused holder that resumes in the belief that it still holds the lease.
TEST_CASE("a token is gone at once after a long pause", "[leases]")
{
    LeaseBench bench({1.0});
    bench.run(10s);
    Actor &holder = *bench.actors[0];
    REQUIRE(bench.holds(holder));
    CHECK_FALSE(holder.holder.token(bench.clockOf(holder) + 8s).has_value());
}

TEST_CASE("tokens grow with each holder", "[leases]")
{
    LeaseBench bench({1.0, 1.0});
    bench.run(20s);
    std::int64_t last = 0;
    for (int round = 0; round < 4; ++round) {
        const auto revision = bench.store.entries().at("lease/shard").modRevision.value();
        CHECK(revision > last);
        last = revision;
        bench.store.lapseLease(bench.store.entries().at("lease/shard").lease);
        bench.run(20s);
    }
    CHECK(bench.holders() == 1);
}

// Guards against a lease that is lost by one lost answer, or claimed twice by its holder.
TEST_CASE("lost answers and short outages do not produce two holders", "[leases]")
{
    LeaseBench bench({1.0, 1.02, 0.98});
    SeededRandom random(GENERATE(range(1U, 11U)));
    for (int round = 0; round < 40; ++round) {
        switch (random.below(5)) {
        case 0:
            bench.store.loseAnswersAfterEffect(static_cast<int>(random.below(4)));
            break;
        case 1:
            bench.store.setDown(true);
            break;
        case 2:
            bench.actors[random.below(3)]->pausedUntil =
                bench.now + Duration(static_cast<std::int64_t>(random.below(15'000'000)));
            break;
        case 3:
            bench.store.delayNextEffect(Duration(static_cast<std::int64_t>(random.below(8'000'000))));
            break;
        default:
            bench.store.setDown(false);
            break;
        }
        bench.run(Duration(static_cast<std::int64_t>(random.below(6'000'000))));
    }
    CHECK(bench.mostHolders <= 1);
    bench.store.setDown(false);
    bench.store.loseAnswersAfterEffect(0);
    bench.run(60s);
    CHECK(bench.holders() == 1);
}

TEST_CASE("a released lease goes to another process soon", "[leases]")
{
    LeaseBench bench({1.0, 1.0});
    bench.run(20s);
    Actor &holder = bench.holds(*bench.actors[0]) ? *bench.actors[0] : *bench.actors[1];
    StoreCalls calls;
    holder.holder.release(calls);
    for (const StoreCall &call : calls) {
        bench.store.submit(call, bench.now);
    }
    CHECK_FALSE(bench.holds(holder));
    bench.run(5s);
    CHECK(bench.holders() == 1);
    CHECK_FALSE(bench.holds(holder));
}
