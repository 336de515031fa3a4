#include "ibismast/relay/callrank.h"

#include <catch2/catch.hpp>

#include <queue>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {1'000s};

RankedCall rankedCall(int level, Duration objective, Duration prefillTime)
{
    return {level, Start, objective, prefillTime, false};
}

} // namespace

// Guards against urgent calls that wait behind less urgent ones of the same age in a burst.
TEST_CASE("of two calls that arrive together the more urgent one is due first", "[relay][rank]")
{
    const auto [first, second] = GENERATE(table<RankedCall, RankedCall>({
        {rankedCall(0, 300ms, 30ms), rankedCall(1, 300ms, 30ms)},
        {rankedCall(0, 300ms, 30ms), rankedCall(0, 1'500ms, 300ms)},
        {rankedCall(0, 1'500ms, 300ms), rankedCall(0, 4'000ms, 7s)},
        {rankedCall(0, 4'000ms, 7s), rankedCall(0, 4'000ms, 100ms)},
        {rankedCall(0, 1'500ms, 300ms), rankedCall(1, 1'500ms, 300ms)},
    }));
    const CallRanker ranker {CallRankSettings()};
    CHECK(ranker.dueTime(first) < ranker.dueTime(second));
}

// Guards against kinds, customers and sizes that are never served in a long burst of more urgent calls that takes all
// the room: every call gets room in a bounded time.
TEST_CASE("no call starves behind a burst of urgent calls", "[relay][rank]")
{
    const RankedCall late = GENERATE(rankedCall(1, 300ms, 30ms),
                                     rankedCall(5, 300ms, 30ms),
                                     rankedCall(1'000, 300ms, 30ms),
                                     rankedCall(0, 1'500ms, 300ms),
                                     rankedCall(0, 4'000ms, 7s),
                                     rankedCall(0, 4'000ms, 60s),
                                     rankedCall(5, 4'000ms, 0ms));
    const CallRanker ranker {CallRankSettings()};
    // One call arrives in each step and one gets room.
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> waiting;
    const TimePoint due = ranker.dueTime(late);
    waiting.push(due);
    Duration elapsed {};
    for (bool served = false; !served; elapsed += 10ms) {
        RankedCall urgent = rankedCall(0, 300ms, 30ms);
        urgent.arrived = Start + elapsed;
        waiting.push(ranker.dueTime(urgent));
        served = waiting.top() == due;
        waiting.pop();
        REQUIRE(elapsed <= 10s);
    }
}

// Guards against ranks where the configuration asks for none, and against a stream that has begun and waits at an
// engine behind new calls.
TEST_CASE("engines get ranks if the priorities differ or the settings ask for it", "[relay][rank]")
{
    using Priorities = std::set<CallPriority>;
    struct Row
    {
        Priorities priorities;
        bool always;
        CallPriority priority;
        bool begun;
        Duration waited;
        std::optional<int> rank;
    };
    const Priorities one {CallPriority(1)};
    const Priorities three {CallPriority(0), CallPriority(3), CallPriority(90)};
    const Row row = GENERATE_COPY(values<Row>({
        {{}, false, CallPriority(5), false, 0ms, std::nullopt},
        {one, false, CallPriority(1), false, 0ms, std::nullopt},
        {one, false, CallPriority(1), true, 0ms, std::nullopt},
        {one, true, CallPriority(1), false, 0ms, 4},
        {three, false, CallPriority(0), false, 0ms, 4},
        {three, false, CallPriority(3), false, 0ms, 5},
        {three, false, CallPriority(90), false, 0ms, 6},
        {three, false, CallPriority(90), false, 2'500ms, 4},
        {three, false, CallPriority(0), false, 60s, 1},
        {three, false, CallPriority(90), true, 0ms, 0},
    }));
    CallRankSettings settings;
    settings.always = row.always;
    RankedCall call = rankedCall(priorityLevel(row.priorities, row.priority), 300ms, 30ms);
    call.begun = row.begun;
    const std::optional<EngineRank> rank = CallRanker(settings).engineRank(call, row.priorities, Start + row.waited);
    CHECK((rank ? std::optional(rank->value()) : std::nullopt) == row.rank);
}
