#include "ibismast/relay/engineload.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const InstanceId A("a");
const InstanceId B("b");

Placement placement(std::uint64_t call, Duration reading)
{
    Placement result;
    result.id = {InstanceId("entry"), CallNumber(call)};
    result.decodingEngine = A;
    result.pauseTarget = 250ms;
    result.memory = Tokens(1'000);
    result.expected = 2s;
    result.prefills = {{A, reading, Tokens()}, {B, reading, Tokens(500)}};
    return result;
}

EngineProfile profile()
{
    EngineProfile result;
    result.readRate = 177'000.0;
    result.pairsMs = 0.184;
    return result;
}

} // namespace

// Guards against estimates that take long prompts for linear ones.
TEST_CASE("reading grows with the square of the prompt", "[relay]")
{
    const auto [tokens, expectedMs] =
        GENERATE(table<std::int64_t, std::int64_t>({{0, 0}, {5'000, 30}, {45'000, 440}, {154'000, 3'051}}));
    const Duration reading = estimatePrefillTime(profile(), Tokens(tokens));
    CHECK(std::chrono::duration_cast<std::chrono::milliseconds>(reading).count() == expectedMs);
}

// Guards against a backlog of prompts that engines declined or have read already: long prompts then crowd onto the
// engines with short streams (regsel-jawa quiet-1).
TEST_CASE("reading that is done or given up leaves the backlog", "[relay]")
{
    EngineLoadTable loads {EngineLoadSettings()};
    TimePoint now(1'000s);
    loads.place(placement(1, 300ms), now);
    loads.place(placement(2, 200ms), now);
    REQUIRE(loads.load(A).backlog(now) == 500ms);
    const bool read = GENERATE(true, false);
    now += 100ms;
    if (read) {
        loads.notePrefillDone({InstanceId("entry"), CallNumber(1)}, now);
    } else {
        loads.end({InstanceId("entry"), CallNumber(1)}, now);
    }
    CHECK(loads.load(A).backlog(now) == 200ms);
    CHECK(loads.load(B).backlog(now) == 200ms);
    CHECK(loads.load(A).streams() == (read ? 2 : 1));
}

// Guards against memory and streams that are counted for ever after a lost datagram or a dead entry.
TEST_CASE("work of an entry ends by word, by the entry's loss or by its time", "[relay]")
{
    EngineLoadTable loads {EngineLoadSettings()};
    TimePoint now(1'000s);
    loads.place(placement(1, 300ms), now);
    loads.place(placement(1, 300ms), now);
    REQUIRE(loads.load(A).streams() == 1);
    REQUIRE(loads.load(A).memory() == Tokens(1'000));
    REQUIRE(loads.load(B).memory() == Tokens(500));
    SECTION("by word")
    {
        loads.end({InstanceId("entry"), CallNumber(1)}, now);
    }
    SECTION("by the entry's loss")
    {
        loads.endAllOf(InstanceId("other"), now);
        REQUIRE(loads.calls() == 1);
        loads.endAllOf(InstanceId("entry"), now);
    }
    SECTION("by its time")
    {
        loads.expire(now + 4s);
        REQUIRE(loads.calls() == 1);
        loads.expire(now + 5s);
    }
    CHECK(loads.calls() == 0);
    CHECK(loads.load(A).streams() == 0);
    CHECK(loads.load(A).memory() == Tokens(0));
    CHECK(loads.load(B).memory() == Tokens(0));
}

// Guards against a restarted entry that sees no load and puts seconds of reading beside short streams (wtk-ibis
// scale-1, seed 11).
TEST_CASE("placements can be handed to an entry that has not heard of them", "[relay]")
{
    EngineLoadTable known {EngineLoadSettings()};
    TimePoint now(1'000s);
    known.place(placement(1, 300ms), now);
    known.place(placement(2, 200ms), now);
    now += 100ms;
    EngineLoadTable fresh {EngineLoadSettings()};
    for (const Placement &each : known.placementsOf(InstanceId("entry"), now)) {
        fresh.place(each, now);
    }
    CHECK(fresh.load(A).streams() == 2);
    CHECK(fresh.load(B).memory() == Tokens(1'000));
    CHECK(fresh.load(A).backlog(now) == known.load(A).backlog(now));
}
