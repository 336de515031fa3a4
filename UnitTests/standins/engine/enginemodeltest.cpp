#include "standins/engine/enginemodel.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

EngineSubmit submitOf(std::uint64_t sequence, std::int64_t prompt, std::int64_t output, int priority = 0)
{
    EngineSubmit submit;
    submit.attempt = AttemptId {RequestId {Incarnation(1), sequence}, 0};
    submit.model = ModelName("model");
    submit.promptTokens = Tokens(prompt);
    submit.maxOutputTokens = Tokens(output);
    submit.priority = priority;
    submit.body = std::make_shared<const std::string>("prompt " + std::to_string(sequence));
    return submit;
}

/// Runs the engine until @p end and returns its events with their times.
std::vector<std::pair<TimePoint, EngineEvent>> run(EngineModel &engine, TimePoint end)
{
    std::vector<std::pair<TimePoint, EngineEvent>> timed;
    while (engine.nextEvent() <= end) {
        const TimePoint now = engine.nextEvent();
        EngineEvents events;
        engine.advance(now, events);
        for (EngineEvent &event : events) {
            timed.emplace_back(now, std::move(event));
        }
    }
    return timed;
}

template<typename Event> std::vector<Event> select(const std::vector<std::pair<TimePoint, EngineEvent>> &timed)
{
    std::vector<Event> events;
    for (const auto &entry : timed) {
        if (const auto *event = std::get_if<Event>(&entry.second)) {
            events.push_back(*event);
        }
    }
    return events;
}

TimePoint seconds(std::int64_t value)
{
    return TimePoint(std::chrono::seconds(value));
}

} // namespace

// Guards against a model whose answers depend on batching, which would make token checks meaningless.
TEST_CASE("the answer depends only on body and position", "[standins]")
{
    const auto companions = GENERATE(0U, 5U);
    EngineModel engine({}, 1);
    EngineEvents events;
    for (std::uint64_t other = 0; other < companions; ++other) {
        engine.handle(submitOf(100 + other, 3'000, 50, 1), TimePoint(), events);
    }
    const EngineSubmit submit = submitOf(1, 2'000, 30);
    engine.handle(submit, TimePoint(), events);
    const AnswerText answer(*submit.body, 30);
    std::uint64_t position = 0;
    for (const EngineTokens &part : select<EngineTokens>(run(engine, seconds(10)))) {
        if (part.attempt == submit.attempt) {
            CHECK(part.firstSequence == position);
            CHECK(part.tokens == std::vector<std::string> {answer.token(position)});
            ++position;
        }
    }
    CHECK(position == answer.length());
    CHECK(engine.usedMemory() == Tokens(0));
}

// Guards against a model in which long prompts block short ones although the engine is told to prefer the short ones.
TEST_CASE("a short prompt of higher priority overtakes a long one if priorities are honoured", "[standins]")
{
    const auto honoured = GENERATE(true, false);
    EngineModelSettings settings;
    settings.honourPriorities = honoured;
    EngineModel engine(settings, 1);
    EngineEvents events;
    engine.handle(submitOf(1, 200'000, 10, 0), TimePoint(), events);
    engine.handle(submitOf(2, 1'000, 10, 5), TimePoint(), events);
    const auto timed = run(engine, seconds(20));
    const auto first = std::ranges::find_if(timed, [](const auto &entry) {
        return std::holds_alternative<EngineTokens>(entry.second);
    });
    REQUIRE(first != timed.end());
    CHECK(std::get<EngineTokens>(first->second).attempt.request.sequence == (honoured ? 2U : 1U));
}

// Guards against a model that repeats its prefill for a cached prefix or reports a cache that it does not have.
TEST_CASE("a cached prefix is not prefilled again", "[standins]")
{
    EngineModel engine({}, 1);
    EngineEvents events;
    EngineSubmit first = submitOf(1, 4'096, 5);
    first.prefixHashes = {1, 2, 3, 4, 5, 6, 7, 8};
    engine.handle(first, TimePoint(), events);
    const auto timed = run(engine, seconds(5));
    const auto published = select<EngineCacheEvent>(timed);
    REQUIRE(published.size() == 1);
    CHECK(published[0].added == first.prefixHashes);
    CHECK(engine.prefilledTokens() == 4'096);
    EngineSubmit second = submitOf(2, 4'096, 5);
    second.prefixHashes = {1, 2, 3, 4, 15, 16, 17, 18};
    engine.handle(second, seconds(5), events);
    run(engine, seconds(10));
    CHECK(engine.prefilledTokens() == 4'096 + 2'048);
}

// Guards against a model that hands out more memory than it has.
TEST_CASE("attempts wait for memory", "[standins]")
{
    EngineModelSettings settings;
    settings.memoryCapacity = Tokens(10'000);
    EngineModel engine(settings, 1);
    EngineEvents events;
    for (std::uint64_t sequence = 0; sequence < 6; ++sequence) {
        engine.handle(submitOf(sequence, 3'000, 20), TimePoint(), events);
        CHECK(engine.usedMemory() <= settings.memoryCapacity);
    }
    engine.handle(submitOf(9, 10'000, 20), TimePoint(), events);
    REQUIRE(events.size() == 1);
    CHECK_FALSE(std::get<EngineFailed>(events[0]).mayHaveStarted);
    CHECK(select<EngineFinished>(run(engine, seconds(10))).size() == 6);
}

// Guards against a group whose member decodes without the segment of its predecessor.
TEST_CASE("a group member needs the segment of its predecessor", "[standins]")
{
    const auto imported = GENERATE(true, false);
    EngineModel first({}, 1);
    EngineModelSettings settings;
    settings.name = "second";
    EngineModel second(settings, 2);
    EngineEvents events;
    EngineSubmit submit = submitOf(1, 500'000, 10);
    submit.group = GroupSegment {{InstanceId("a"), InstanceId("b")}, 0, Tokens(0), Tokens(250'000), ""};
    first.handle(submit, TimePoint(), events);
    const auto exported = select<EngineSegmentExported>(run(first, seconds(30)));
    REQUIRE(exported.size() == 1);
    CHECK(first.usedMemory() == Tokens(250'000));
    if (imported) {
        second.importSegment(exported[0].handle, *first.exportedSegment(exported[0].handle));
    }
    submit.group =
        GroupSegment {{InstanceId("a"), InstanceId("b")}, 1, Tokens(250'000), Tokens(250'000), exported[0].handle};
    second.handle(submit, TimePoint(), events);
    CHECK(select<EngineFinished>(run(second, seconds(30))).size() == (imported ? 1 : 0));
    first.handle(EngineCancel {submit.attempt}, seconds(30), events);
    CHECK(first.usedMemory() == Tokens(0));
    CHECK_FALSE(first.exportedSegment(exported[0].handle).has_value());
}

// Guards against fencing tests that pass because the model checks tokens when it should not, or the reverse.
TEST_CASE("an order with an old token is refused unless tokens are ignored", "[standins]")
{
    const auto checked = GENERATE(true, false);
    EngineModelSettings settings;
    settings.checkFencingTokens = checked;
    EngineModel engine(settings, 1);
    EngineEvents events;
    UpstreamOrder order;
    order.shard = "shard";
    order.verb = "load";
    order.model = ModelName("other");
    order.token = FencingToken(7);
    engine.handle(EngineOrder {order}, TimePoint(), events);
    order.token = FencingToken(6);
    engine.handle(EngineOrder {order}, TimePoint(), events);
    CHECK(engine.executedOrders().size() == (checked ? 1 : 2));
}

// Guards against a dead or stalled model that goes on answering.
TEST_CASE("a dead engine fails commands and a stalled one answers late", "[standins]")
{
    EngineModel engine({}, 1);
    EngineEvents events;
    SECTION("dead")
    {
        engine.handle(submitOf(1, 1'000, 10), TimePoint(), events);
        engine.die(events);
        CHECK(engine.nextEvent() == TimePoint::max());
        events.clear();
        engine.handle(submitOf(2, 1'000, 10), seconds(1), events);
        REQUIRE(events.size() == 1);
        CHECK(std::holds_alternative<EngineFailed>(events[0]));
        engine.restart(seconds(2), events);
        CHECK(engine.openAttempts() == 0);
    }
    SECTION("stalled")
    {
        engine.stall(seconds(3));
        engine.handle(submitOf(1, 1'000, 10), seconds(1), events);
        CHECK(run(engine, seconds(2)).empty());
        CHECK(select<EngineFinished>(run(engine, seconds(6))).size() == 1);
    }
}
