#include "ibismast/placement/placementplanner.h"
#include "ibismast/core/seededrandom.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const ModelName Model("m");

ModelDeclaration modelOf(int copies, std::set<UpstreamRole> roles = {UpstreamRole::Mixed})
{
    ModelDeclaration model;
    model.name = Model;
    model.version = "1";
    model.copiesPerDomain = copies;
    model.memory = Tokens(100);
    model.weightBytes = Bytes(1'000'000'000);
    model.roles = std::move(roles);
    return model;
}

// Upstreams that carry out the planner's orders.
class PlacementBench
{
public:
    explicit PlacementBench(int upstreams, const PlacementPlannerSettings &settings = {})
        : planner(settings, InstanceId("self"), FailureDomain("d"))
    {
        for (int index = 0; index < upstreams; ++index) {
            UpstreamDeclaration upstream;
            upstream.name = InstanceId("e" + std::to_string(index));
            upstream.domain = FailureDomain("d");
            upstream.jointFailureSet = "feed-" + std::to_string(index % 2);
            upstream.memory = Tokens(150);
            declarations.upstreams[upstream.name] = upstream;
            statuses[upstream.name].upstream = upstream.name;
        }
    }

    void declare(const ModelDeclaration &model)
    {
        declarations.models[model.name] = model;
    }
    int copies(const std::string &version = "1") const
    {
        return static_cast<int>(std::ranges::count_if(statuses, [&](const auto &entry) {
            return entry.second.alive && !entry.second.models.empty() && entry.second.models[0].version == version;
        }));
    }
    int copiesWith(UpstreamRole role) const
    {
        return static_cast<int>(std::ranges::count_if(statuses, [&](const auto &entry) {
            return !entry.second.models.empty() && entry.second.models[0].role == role;
        }));
    }
    // Plans once and carries the orders out; returns them.
    std::vector<PlacementOrder> step(Duration length = 10s)
    {
        now += length;
        planner.setDeclarations(declarations);
        for (const auto &[id, status] : statuses) {
            planner.observe(status);
        }
        auto orders = planner.plan(FencingToken(7), now);
        for (const PlacementOrder &order : orders) {
            carryOut(order);
            planner.handleResult({order.order.call, std::nullopt}, now);
            leastCopies = std::min(leastCopies, copies("1") + copies("2"));
        }
        return orders;
    }
    void run(int steps)
    {
        for (int count = 0; count < steps; ++count) {
            step();
        }
    }

    Declarations declarations;
    std::map<InstanceId, UpstreamStatus> statuses;
    PlacementPlanner planner;
    TimePoint now {100s};
    int leastCopies = 1'000;

private:
    void carryOut(const PlacementOrder &order)
    {
        auto &models = statuses.at(order.upstream).models;
        if (order.order.verb == "unload") {
            models.clear();
        } else if (order.order.verb == "role") {
            models.at(0).role = roleOf(order.order.role);
        } else if (!order.order.adapter.empty()) {
            models.at(0).adapters.insert(order.order.adapter);
        } else {
            models = {{order.order.model, order.order.version, {}, roleOf(order.order.role), true}};
        }
    }
    static UpstreamRole roleOf(const std::string &name)
    {
        return name == "prefill" ? UpstreamRole::Prefill
            : name == "decode"   ? UpstreamRole::Decode
                                 : UpstreamRole::Mixed;
    }
};

} // namespace

TEST_CASE("copies are loaded, with adapters, and spread over joint-failure sets", "[placement]")
{
    PlacementBench bench(8);
    auto model = modelOf(4);
    model.adapters = {"a", "b"};
    bench.declare(model);
    const auto orders = bench.step();
    REQUIRE(orders.size() == 4);
    CHECK(orders[0].order.token == FencingToken(7));
    CHECK(orders[0].order.shard == "d");
    bench.run(5);
    CHECK(bench.copies() == 4);
    std::map<std::string, int> perSet;
    for (const auto &[id, status] : bench.statuses) {
        if (!status.models.empty()) {
            perSet[bench.declarations.upstreams.at(id).jointFailureSet] += 1;
            CHECK(status.models[0].adapters == std::set<std::string> {"a", "b"});
        }
    }
    CHECK(perSet["feed-0"] == 2);
    CHECK(perSet["feed-1"] == 2);
    CHECK(bench.step().empty());
}

// Guards against all copies being lost with one power feed that only observation reveals.
TEST_CASE("observed joint-failure sets replace declared ones", "[placement]")
{
    PlacementBench bench(4);
    bench.declare(modelOf(2));
    for (int index : {0, 1, 2}) {
        bench.planner.setJointFailureSet(InstanceId("e" + std::to_string(index)), "observed");
    }
    bench.run(2);
    CHECK(bench.copies() == 2);
    CHECK_FALSE(bench.statuses.at(InstanceId("e3")).models.empty());
}

// Guards against a mass restart that overloads the weight store.
TEST_CASE("loads keep to the weight store's rate", "[placement]")
{
    PlacementPlannerSettings settings;
    settings.weightBytesPerSecond = 1e8;
    settings.weightBurstBytes = 2e9;
    PlacementBench bench(20, settings);
    bench.declare(modelOf(20));
    std::size_t loads = 0;
    for (int second = 0; second < 100; ++second) {
        loads += bench.step(1s).size();
        CHECK(static_cast<double>(loads) * 1e9 <= 2e9 + 1e8 * (second + 1));
    }
    CHECK(loads >= 11);
}

TEST_CASE("models without a copy are loaded first", "[placement]")
{
    PlacementPlannerSettings settings;
    settings.weightBurstBytes = 1e9;
    settings.weightBytesPerSecond = 1.0;
    PlacementBench bench(8, settings);
    auto first = modelOf(4);
    first.name = ModelName("a");
    bench.declare(first);
    bench.declare(modelOf(1));
    bench.statuses.at(InstanceId("e0")).models = {{ModelName("a"), "1", {}, UpstreamRole::Mixed, true}};
    const auto orders = bench.step();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].order.model == Model);
}

// Guards against a gap in service while a version is replaced.
TEST_CASE("a new version replaces the old one without dropping the last copy", "[placement]")
{
    // With spare upstreams the new copies come first; without, the old ones give way one by one.
    const int upstreams = GENERATE(2, 3, 6);
    PlacementBench bench(upstreams);
    bench.declare(modelOf(2));
    bench.run(3);
    REQUIRE(bench.copies("1") == 2);
    bench.leastCopies = 2;
    bench.declarations.models.at(Model).version = "2";
    bench.run(10);
    CHECK(bench.copies("2") == 2);
    CHECK(bench.copies("1") == 0);
    CHECK(bench.leastCopies >= 1);
}

TEST_CASE("the last copy stays if there is no room for the new version", "[placement]")
{
    PlacementBench bench(1);
    bench.declare(modelOf(1));
    bench.run(2);
    bench.declarations.models.at(Model).version = "2";
    bench.run(10);
    CHECK(bench.copies("1") == 1);
}

TEST_CASE("surplus copies and undeclared models are unloaded, but not while an undeclared one is in use", "[placement]")
{
    PlacementBench bench(6);
    bench.declare(modelOf(4));
    bench.run(3);
    bench.declarations.models.at(Model).copiesPerDomain = 2;
    bench.run(3);
    CHECK(bench.copies() == 2);
    bench.declarations.models.clear();
    bench.run(3);
    CHECK(bench.copies() == 2);
    for (auto &[id, status] : bench.statuses) {
        for (PlacedModel &placed : status.models) {
            placed.inUse = false;
        }
    }
    bench.run(3);
    CHECK(bench.copies() == 0);
}

// Guards against copies that are counted although their upstream is gone, leaving or drained.
TEST_CASE("copies on lost, leaving and draining upstreams are replaced", "[placement]")
{
    PlacementBench bench(6);
    bench.declare(modelOf(2));
    bench.run(3);
    const auto holder = std::ranges::find_if(bench.statuses, [](const auto &entry) {
        return !entry.second.models.empty();
    });
    switch (GENERATE(0, 1, 2)) {
    case 0:
        holder->second.alive = false;
        break;
    case 1:
        holder->second.leaving = true;
        break;
    default:
        bench.declarations.draining.insert(holder->first);
        break;
    }
    const auto orders = bench.step();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].order.verb == "load");
    CHECK(orders[0].upstream != holder->first);
}

// Guards against roles that change back and forth with small changes of demand.
TEST_CASE("roles follow demand with hysteresis", "[placement]")
{
    PlacementBench bench(8);
    bench.declare(modelOf(8, {UpstreamRole::Prefill, UpstreamRole::Decode}));
    bench.planner.setDemand(Model, {4.0, 4.0});
    bench.run(150);
    CHECK(bench.copiesWith(UpstreamRole::Mixed) == 0);
    CHECK(bench.copiesWith(UpstreamRole::Prefill) >= 3);
    CHECK(bench.copiesWith(UpstreamRole::Prefill) <= 5);
    std::size_t changes = 0;
    SeededRandom random(1);
    for (int count = 0; count < 200; ++count) {
        const double share = 0.5 + 0.08 * (random.uniform() - 0.5);
        bench.planner.setDemand(Model, {share, 1.0 - share});
        changes += bench.step().size();
    }
    CHECK(changes <= 2);
    bench.planner.setDemand(Model, {7.9, 0.1});
    bench.run(150);
    CHECK(bench.copiesWith(UpstreamRole::Decode) == 1);
}

TEST_CASE("a single copy is mixed although the model splits roles", "[placement]")
{
    PlacementBench bench(2);
    bench.declare(modelOf(1, {UpstreamRole::Prefill, UpstreamRole::Decode}));
    bench.run(3);
    CHECK(bench.copiesWith(UpstreamRole::Mixed) == 1);
}

TEST_CASE("an upstream gets one order at a time and a pause after a refusal", "[placement]")
{
    PlacementBench bench(1);
    bench.declare(modelOf(1));
    bench.planner.setDeclarations(bench.declarations);
    bench.planner.observe(bench.statuses.begin()->second);
    const auto orders = bench.planner.plan(FencingToken(1), bench.now);
    REQUIRE(orders.size() == 1);
    CHECK(bench.planner.plan(FencingToken(1), bench.now + 1s).empty());
    bench.planner.handleResult({orders[0].order.call, Error {ResultCode::StaleFencingToken, "", {}}}, bench.now + 1s);
    CHECK(bench.planner.plan(FencingToken(1), bench.now + 2s).empty());
    CHECK(bench.planner.plan(FencingToken(1), bench.now + 32s).size() == 1);
    CHECK(bench.planner.ordersUnderWay() == 1);
}
