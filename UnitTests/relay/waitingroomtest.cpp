#include "ibismast/relay/waitingroom.h"
#include "ibismast/relay/roomforecast.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {1'000s};

/// Call of 1,000 bytes that may wait until one second after `Start`.
WaitingCall waitingCall(std::uint64_t number, Duration due, std::int64_t memory = 1'000)
{
    return {CallNumber(number), ServiceName("pool"), Start + due, Start + 1s, Tokens(memory), 1'000};
}

} // namespace

// Guards against a room that grows with a crest, and against urgent calls that are refused because others fill it.
TEST_CASE("a full room takes a call only in the place of less urgent ones", "[relay][waiting]")
{
    using Numbers = std::vector<std::uint64_t>;
    struct Row
    {
        std::size_t maxCalls;
        std::int64_t maxBytes;
        Duration due;
        std::optional<Numbers> displaced;
    };
    const Row row = GENERATE(values<Row>({
        {4, 100'000, 900ms, Numbers {}},
        {3, 100'000, 900ms, std::nullopt},
        {3, 100'000, 250ms, Numbers {3}},
        {3, 100'000, 50ms, Numbers {3}},
        {4, 3'500, 150ms, Numbers {3}},
        {4, 2'000, 150ms, Numbers {3, 2}},
        {4, 1'000, 150ms, std::nullopt},
        {4, 999, 50ms, std::nullopt},
    }));
    WaitingRoomSettings settings;
    settings.maxCalls = row.maxCalls;
    settings.maxBytes = row.maxBytes;
    WaitingRoom room(settings);
    for (const std::uint64_t number : {1, 2, 3}) {
        room.enter(waitingCall(number, number * 100ms), Start);
    }
    const auto displaced = room.displacedBy(waitingCall(9, row.due));
    REQUIRE(displaced.has_value() == row.displaced.has_value());
    if (displaced) {
        Numbers numbers;
        for (const CallNumber &number : *displaced) {
            numbers.push_back(number.value());
            room.leave(number);
        }
        CHECK(numbers == *row.displaced);
        room.enter(waitingCall(9, row.due), Start);
        CHECK(room.size() <= row.maxCalls);
        CHECK(room.bytes() <= row.maxBytes);
    }
}

// Guards against calls that overtake more urgent ones, against engines that idle behind a long prompt, and against a
// long prompt that smaller calls overtake without end.
TEST_CASE("a call starts before a waiting one only if it is due earlier or much smaller", "[relay][waiting]")
{
    struct Row
    {
        std::int64_t memory;
        Duration due;
        Duration elapsed;
        const char *service;
        bool mayStart;
    };
    const Row row = GENERATE(values<Row>({
        {100'000, 400ms, 0ms, "pool", true},
        {100'000, 600ms, 0ms, "pool", false},
        {100'000, 600ms, 0ms, "other", true},
        {25'000, 600ms, 0ms, "pool", true},
        {25'001, 600ms, 0ms, "pool", false},
        {25'000, 600ms, 499ms, "pool", true},
        {25'000, 600ms, 500ms, "pool", false},
        {25'000, 400ms, 900ms, "pool", true},
    }));
    WaitingRoom room {WaitingRoomSettings()};
    room.enter(waitingCall(1, 500ms, 100'000), Start);
    WaitingCall call = waitingCall(2, row.due, row.memory);
    call.service = ServiceName(row.service);
    CHECK(room.mayStart(call, Start + row.elapsed) == row.mayStart);
    CHECK(room.mayStart(waitingCall(1, 500ms, 100'000), Start + row.elapsed));
    room.leave(CallNumber(1));
    CHECK(room.mayStart(call, Start + row.elapsed));
    CHECK(room.size() == 0);
    CHECK(room.bytes() == 0);
}

// Guards against a call that loses its place or its time in the room when it is checked.
TEST_CASE("a call that is checked keeps its place", "[relay][waiting]")
{
    WaitingRoom room {WaitingRoomSettings()};
    room.enter(waitingCall(2, 200ms), Start);
    room.enter(waitingCall(1, 100ms), Start + 10ms);
    room.enter(waitingCall(2, 200ms), Start + 20ms);
    CHECK(room.first(9) == std::vector {CallNumber(1), CallNumber(2)});
    CHECK(room.first(1) == std::vector {CallNumber(1)});
    CHECK(room.enteredAt(CallNumber(2)) == Start);
    CHECK(room.callsBefore(waitingCall(2, 200ms)) == 1);
    CHECK(room.callsBefore(waitingCall(1, 100ms)) == 0);
    CHECK(room.size() == 2);
    CHECK(room.bytes() == 2'000);
}

// Guards against settings that never let a call wait or that let the room grow without limit.
TEST_CASE("the settings of the waiting room are validated", "[relay][waiting]")
{
    CHECK(errorOf(WaitingRoomSettings().validate()) == nullptr);
    WaitingRoomSettings settings;
    const std::string field = GENERATE("calls", "bytes", "wait", "retry", "share");
    settings.maxCalls = field == "calls" ? 0 : settings.maxCalls;
    settings.maxBytes = field == "bytes" ? 0 : settings.maxBytes;
    settings.minWait = field == "wait" ? -1ms : settings.minWait;
    settings.maxRetryAfter = field == "retry" ? settings.minRetryAfter - 1ms : settings.maxRetryAfter;
    settings.overtakenShare = field == "share" ? 1.1 : settings.overtakenShare;
    CHECK(errorOf(settings.validate()) != nullptr);
}

// Guards against calls that wait for room that comes too late, and against refusals of calls for which it comes in
// time.
TEST_CASE("room is predicted from the expected ends of the streams", "[relay][waiting]")
{
    struct Row
    {
        /// Expected times of the streams on an engine of two slots, and their memory.
        std::vector<std::pair<Duration, std::int64_t>> streams;
        Duration prefillTime;
        std::int64_t memory;
        std::size_t callsBefore;
        std::optional<Duration> start;
    };
    const Row row = GENERATE(values<Row>({
        {{}, 0ms, 1'000, 0, 0ms},
        {{}, 0ms, 1'000, 1, 0ms},
        {{}, 0ms, 1'000, 2, std::nullopt},
        {{{500ms, 1'000}}, 0ms, 1'000, 0, 0ms},
        {{{500ms, 1'000}, {300ms, 1'000}}, 0ms, 1'000, 0, 300ms},
        {{{500ms, 1'000}, {300ms, 1'000}}, 0ms, 1'000, 1, 500ms},
        // The prefill that is placed on the engine comes first.
        {{{500ms, 1'000}, {300ms, 1'000}}, 400ms, 1'000, 0, 400ms},
        // The memory is short, not the slots.
        {{{500ms, 9'500}}, 0ms, 1'000, 0, 500ms},
        // A prompt beyond the memory of an engine needs all of it.
        {{{500ms, 1'000}}, 0ms, 99'000, 0, 500ms},
        // A stream that is 100 ms overdue.
        {{{-100ms, 1'000}, {300ms, 1'000}}, 0ms, 1'000, 0, 100ms},
    }));
    EngineLoadTable loads {EngineLoadSettings()};
    std::uint64_t number = 0;
    for (const auto &[expected, memory] : row.streams) {
        Placement placement;
        placement.id = {InstanceId("entry"), CallNumber(++number)};
        placement.decodingEngine = InstanceId("e1");
        placement.expected = std::max(expected, Duration::zero());
        placement.memory = Tokens(memory);
        if (number == 1) {
            placement.prefills = {{InstanceId("e1"), row.prefillTime, Tokens()}};
        }
        loads.place(placement, Start + std::min(expected, Duration::zero()));
    }
    RoomForecast forecast(Tokens(row.memory), Start);
    forecast.addEngine(loads.load(InstanceId("e1")), 2, Tokens(10'000));
    const std::optional<TimePoint> start = forecast.start(row.callsBefore);
    CHECK((start ? std::optional(*start - Start) : std::nullopt) == row.start);
}
