#include "ibismast/relay/engineplanner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t ShortPrompt = 5'000;
constexpr std::int64_t LongPrompt = 154'000;
constexpr std::int64_t HugePrompt = 350'000;

/// Fleet of engines of the registry's kind.
class PlannerFixture
{
protected:
    PlannerFixture()
    {
        profile.slots = 16;
        profile.memory = Tokens(315'000);
        profile.tokensPerPass = 51;
        profile.stepMs = 0.85;
        profile.stepPerSequenceMs = 0.00425;
        profile.stepPerContextMs = 0.00285;
        profile.prefillTokensPerSecond = 177'000.0;
        profile.prefillMsPerMillionPairs = 0.184;
        profile.typicalOutputTokens = 1'600.0;
    }

    void addEngines(int count)
    {
        for (int index = 0; index < count; ++index) {
            UpstreamDirectory::Member member;
            member.record.id = InstanceId("e" + std::to_string(m_members.size()));
            m_members.push_back(member);
        }
        engines.clear();
        for (const auto &member : m_members) {
            engines.push_back(&member);
        }
    }
    /// Plans a prompt and adds the placement to the loads.
    std::optional<EnginePlan>
    place(std::int64_t prompt, Duration objective, Duration pauseTarget, const EngineOvercommit &overcommit = {})
    {
        const GenerationQuery query {{Tokens(prompt), Tokens(1'600)}, objective, pauseTarget};
        std::optional<EnginePlan> plan = planner.plan(query, profile, engines, now, overcommit);
        if (!plan) {
            return plan;
        }
        Placement placement;
        placement.id = {InstanceId("entry"), CallNumber(++m_calls)};
        placement.decodingEngine = plan->decodingEngine->record.id;
        placement.pauseTarget = pauseTarget;
        placement.memory = Tokens(prompt + 1'600);
        placement.expected = 5s;
        placement.prefills.push_back({placement.decodingEngine, plan->partTime, Tokens()});
        for (const EngineHelper &helper : plan->helpers) {
            placement.prefills.push_back({helper.engine->record.id, plan->partTime, helper.reserved});
            placement.memory -= helper.reserved;
        }
        loads.place(placement, now);
        return plan;
    }
    std::optional<EnginePlan> placeShort()
    {
        return place(ShortPrompt, 300ms, 250ms);
    }
    std::optional<EnginePlan> placeLong(std::int64_t prompt = LongPrompt)
    {
        return place(prompt, 3s, 1s);
    }
    [[nodiscard]] std::size_t enginesWithSensitiveStreams() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(engines, [this](const auto *engine) {
            return loads.load(engine->record.id).streamsBelowPauseTarget(400ms) > 0;
        }));
    }

    EngineProfile profile;
    std::vector<const UpstreamDirectory::Member *> engines;
    EngineLoadTable loads {EngineLoadSettings()};
    EnginePlanner planner {EnginePlannerSettings(), loads};
    TimePoint now {1'000s};

private:
    std::deque<UpstreamDirectory::Member> m_members;
    std::uint64_t m_calls = 0;
};

} // namespace

// Load: short prompts at a constant rate. Guards against latency-sensitive streams on every engine, so that a long
// prefill delays streams wherever it is placed.
TEST_CASE_METHOD(PlannerFixture, "latency-sensitive streams are packed onto few engines", "[relay][load]")
{
    const auto [streams, mostEngines] = GENERATE(table<int, std::size_t>({{10, 2}, {40, 6}, {100, 12}}));
    addEngines(23);
    for (int stream = 0; stream < streams; ++stream) {
        REQUIRE(placeShort());
        now += 20ms;
    }
    CHECK(enginesWithSensitiveStreams() <= mostEngines);
}

// Load: a burst of short prompts behind a crest of long ones, which makes it dear to place streams on further engines.
// Guards against engines that are filled to their last slots while others have few streams: entries place at the same
// time, and what comes after the last slot waits in the engine's queue.
TEST_CASE_METHOD(PlannerFixture, "the last slots of the engines are used last", "[relay][load]")
{
    const auto [longPrompts, streams] = GENERATE(table<int, int>({{0, 150}, {4, 60}, {4, 150}, {8, 100}, {12, 150}}));
    addEngines(23);
    for (int prompt = 0; prompt < longPrompts; ++prompt) {
        REQUIRE(placeLong());
        now += 100ms;
    }
    now += 2s;
    for (int stream = 0; stream < streams; ++stream) {
        REQUIRE(placeShort());
        now += 5ms;
    }
    std::size_t most = 0;
    std::size_t least = 100;
    for (const auto *engine : engines) {
        most = std::max(most, loads.load(engine->record.id).streams());
        least = std::min(least, loads.load(engine->record.id).streams());
    }
    CHECK((most <= static_cast<std::size_t>(profile.slots) - 2 || least >= 1));
    CHECK(most <= static_cast<std::size_t>(profile.slots) - 1);
}

// Load: a burst of long prompts while engines decode latency-sensitive streams. Guards against pauses in these streams
// (seen in regsel-jawa quiet-1).
TEST_CASE_METHOD(PlannerFixture,
                 "long prefill on engines with latency-sensitive streams keeps their pause targets",
                 "[relay][load]")
{
    const int longPrompts = GENERATE(1, 3, 8);
    addEngines(23);
    for (int stream = 0; stream < 60; ++stream) {
        REQUIRE(placeShort());
        now += 20ms;
    }
    now += 200ms;
    for (int prompt = 0; prompt < longPrompts; ++prompt) {
        const std::optional<EnginePlan> plan = placeLong();
        REQUIRE(plan);
        CHECK(plan->helpers.size() >= 8);
        now += 50ms;
    }
    for (const auto *engine : engines) {
        const EngineWorkload &load = loads.load(engine->record.id);
        if (load.streamsBelowPauseTarget(400ms) > 0) {
            CHECK(load.backlog(now) <= 125ms);
        }
    }
}

// Load: a prompt larger than an engine's memory among prompts of usual length. Guards against prompts of this size that
// are never served, and against a fleet that executes no other prefill meanwhile.
TEST_CASE_METHOD(PlannerFixture, "a prompt that exceeds an engine's memory is split over few engines", "[relay][load]")
{
    addEngines(23);
    REQUIRE(placeLong());
    now += 400ms;
    const std::optional<EnginePlan> plan = placeLong(HugePrompt);
    REQUIRE(plan);
    std::int64_t reserved = 0;
    for (const EngineHelper &helper : plan->helpers) {
        reserved += helper.reserved.value();
    }
    CHECK(HugePrompt - reserved <= 315'000);
    CHECK(plan->helpers.size() <= 3);
    CHECK(plan->firstEvent <= 9s);
    // The next prompt of usual length is not delayed by it.
    const std::optional<EnginePlan> next = placeLong();
    REQUIRE(next);
    CHECK(next->firstEvent <= 1s);
}

// Load: prompts around and above the memory of one engine among prompts of usual length. Guards against a split over
// fewer engines than are needed to hold the prompt, which is then refused. Prompts of one to two times the memory of an
// engine never found a plan for this reason.
TEST_CASE_METHOD(PlannerFixture,
                 "a prompt that exceeds an engine's memory gets enough engines to hold it",
                 "[relay][load]")
{
    const std::int64_t prompt = GENERATE(240'000, 260'000, 300'000, 350'000, 450'000, 600'000, 800'000);
    const int usualPrompts = GENERATE(0, 1, 6);
    profile.memory = Tokens(267'750);
    addEngines(78);
    for (int usual = 0; usual < usualPrompts; ++usual) {
        REQUIRE(placeLong());
    }
    now += 400ms;
    const std::optional<EnginePlan> plan = place(prompt, 4s, 1s);
    REQUIRE(plan);
    std::int64_t reserved = 0;
    for (const EngineHelper &helper : plan->helpers) {
        CHECK(helper.reserved.value() <= profile.memory.value());
        reserved += helper.reserved.value();
    }
    CHECK(prompt - reserved <= profile.memory.value());
}

// Load: a prompt that exceeds an engine's memory while all engines are busy with other calls. Guards against a very
// long prompt that delays all of them: its prefill takes as long as that of several prompts of usual length.
TEST_CASE_METHOD(PlannerFixture, "a new very long prompt is not placed on busy engines", "[relay][load]")
{
    addEngines(4);
    for (int usual = 0; usual < 4; ++usual) {
        REQUIRE(placeLong(60'000));
    }
    const GenerationQuery query {{Tokens(HugePrompt), Tokens(1'600)}, 3s, 1s};
    CHECK_FALSE(planner.plan(query, profile, engines, now));
    CHECK_FALSE(planner.plan(query, profile, engines, now, {1, 2.0, false}));
    CHECK(planner.plan(query, profile, engines, now, {12, 2.0, true}));
    // The placements expire after 12.5 s: 2.5 times the expected 5 s.
    now += 20s;
    loads.expire(now);
    CHECK(planner.plan(query, profile, engines, now));
}

// Load: 26 entries that place prompts at the same time, before they learn of each other's placements. Guards against
// entries that all choose the same engines.
TEST_CASE_METHOD(PlannerFixture,
                 "simultaneous placements of several entries are spread over equal engines",
                 "[relay][load]")
{
    const std::int64_t prompt = GENERATE(12'000, 45'000, LongPrompt);
    addEngines(78);
    std::map<InstanceId, int> parts;
    for (std::size_t entry = 0; entry < 26; ++entry) {
        const GenerationQuery query {{Tokens(prompt), Tokens(1'600)}, 3s, 1s, entry * 3};
        const std::optional<EnginePlan> plan = planner.plan(query, profile, engines, now);
        REQUIRE(plan);
        ++parts[plan->decodingEngine->record.id];
        for (const EngineHelper &helper : plan->helpers) {
            ++parts[helper.engine->record.id];
        }
    }
    for (const auto &[engine, count] : parts) {
        CHECK(count <= 6);
    }
}

// Load: long prompts that arrive faster than their prefill completes. Guards against prompts that an engine batches
// into one pass, so that each of them takes as long as all together.
TEST_CASE_METHOD(PlannerFixture, "a long prompt waits at the entry for the prefill queued before it", "[relay][load]")
{
    addEngines(4);
    const std::optional<EnginePlan> first = placeLong();
    REQUIRE(first);
    CHECK(first->delay == Duration::zero());
    const std::optional<EnginePlan> second = placeLong();
    REQUIRE(second);
    CHECK(second->delay >= first->partTime / 2);
    CHECK(second->delay <= second->firstEvent - second->partTime);
    now += 10s;
    const std::optional<EnginePlan> third = placeLong();
    REQUIRE(third);
    CHECK(third->delay == Duration::zero());
}

// Load: prompts whose prefill takes longer than their objective on one engine, beside other long prompts. Guards
// against very long prompts that are placed on so few engines that they miss an objective which more engines would
// meet.
TEST_CASE_METHOD(PlannerFixture, "a very long prompt gets the engines that its objective needs", "[relay][load]")
{
    const auto [prompt, objective] = GENERATE(
        table<std::int64_t, Duration>({{250'000, 3s}, {280'000, 3s}, {280'000, 8s}, {380'000, 8s}, {330'000, 4s}}));
    CAPTURE(prompt);
    profile.memory = Tokens(1'000'000);
    addEngines(45);
    REQUIRE(placeLong());
    const std::optional<EnginePlan> plan = place(prompt, objective, 1s);
    REQUIRE(plan);
    CHECK(plan->firstEvent <= objective);
    // Engines beyond these would shorten a response that is in time already.
    CHECK(plan->helpers.size() + 1 <= 12);
}

// Load: prompts that take a large part of the fleet's time, one after the other. Guards against engines that are all
// busy with them for seconds when a burst of short prompts comes.
TEST_CASE_METHOD(PlannerFixture, "outsized prompts keep only a share of the engines busy", "[relay][load]")
{
    const auto [returning, mostEngines] = GENERATE(table<bool, std::size_t>({{false, 9}, {true, 13}}));
    profile.memory = Tokens(2'000'000);
    addEngines(45);
    REQUIRE(placeLong());
    int placed = 0;
    for (int prompt = 0; prompt < 10; ++prompt) {
        placed += place(700'000, 4s, 1s, {0, 1.0, returning}) ? 1 : 0;
    }
    CHECK(placed > 0);
    const auto busy = std::ranges::count_if(engines, [this](const auto *engine) {
        return loads.load(engine->record.id).backlog(now) > 2s;
    });
    CHECK(static_cast<std::size_t>(busy) <= mostEngines);
}

// Load: calls that come while all engines read long prompts. Guards against calls that are sent to an engine which will
// answer them late, although they could wait for a better one.
TEST_CASE_METHOD(PlannerFixture, "a plan beyond the limit of the first event counts as none", "[relay][load]")
{
    struct Row
    {
        std::int64_t prompt;
        int backlogPrompts;
        Duration limit;
        bool planned;
    };
    const Row row = GENERATE(values<Row>({
        {ShortPrompt, 0, 300ms, true},
        {ShortPrompt, 2, 300ms, false},
        {ShortPrompt, 2, 10s, true},
        {ShortPrompt, 2, Duration::max(), true},
        // Idle engines would miss the limit too.
        {ShortPrompt, 2, 50ms, true},
        {45'000, 2, 1s, false},
        {45'000, 2, 10s, true},
    }));
    CAPTURE(row.prompt, row.backlogPrompts);
    addEngines(2);
    for (int prompt = 0; prompt < row.backlogPrompts; ++prompt) {
        REQUIRE(placeLong());
    }
    const GenerationQuery query {{Tokens(row.prompt), Tokens(1'600)}, 300ms, 250ms, 0, row.limit};
    CHECK(planner.plan(query, profile, engines, now).has_value() == row.planned);
}

// Load: more short prompts than slots. Guards against calls that queue at the engines beyond their objective.
TEST_CASE_METHOD(PlannerFixture, "no plan is returned when all slots of the fleet are taken", "[relay][load]")
{
    addEngines(2);
    for (int stream = 0; stream < 32; ++stream) {
        REQUIRE(placeShort());
        now += 100ms;
    }
    CHECK_FALSE(placeShort());
}

// Guards against engines that run out of KV memory and have to preempt prompts.
TEST_CASE_METHOD(PlannerFixture, "the planned prompts fit into the memory of the engines", "[relay]")
{
    addEngines(4);
    for (int prompt = 0; prompt < 4; ++prompt) {
        REQUIRE(placeLong(200'000));
        now += 5s;
        loads.expire(now);
    }
    for (const auto *engine : engines) {
        CHECK(loads.load(engine->record.id).memory().value() <= 315'000);
    }
}
