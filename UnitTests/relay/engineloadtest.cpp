#include "ibismast/relay/engineload.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const InstanceId A("a");
const InstanceId B("b");

Placement placement(std::uint64_t call, Duration prefillTime)
{
    Placement result;
    result.id = {InstanceId("entry"), CallNumber(call)};
    result.decodingEngine = A;
    result.pauseTarget = 250ms;
    result.memory = Tokens(1'000);
    result.expected = 2s;
    result.prefills = {{A, prefillTime, Tokens()}, {B, prefillTime, Tokens(500)}};
    return result;
}

EngineProfile profile()
{
    EngineProfile result;
    result.prefillTokensPerSecond = 177'000.0;
    result.prefillMsPerMillionPairs = 0.184;
    return result;
}

} // namespace

// Guards against prefill estimates that are linear in the prompt length and far too low for long prompts.
TEST_CASE("prefill time grows quadratically for long prompts", "[relay]")
{
    const auto [tokens, expectedMs] =
        GENERATE(table<std::int64_t, std::int64_t>({{0, 0}, {5'000, 30}, {45'000, 440}, {154'000, 3'051}}));
    const Duration prefillTime = estimatePrefillTime(profile(), Tokens(tokens));
    CHECK(std::chrono::duration_cast<std::chrono::milliseconds>(prefillTime).count() == expectedMs);
}

// Guards against a backlog that still counts prompts whose prefill is complete or which the engines have refused: long
// prompts are then placed on the engines with latency-sensitive streams (seen in regsel-jawa quiet-1).
TEST_CASE("completed or abandoned prefill is removed from the backlog", "[relay]")
{
    EngineLoadTable loads {EngineLoadSettings()};
    TimePoint now(1'000s);
    loads.place(placement(1, 300ms), now);
    loads.place(placement(2, 200ms), now);
    REQUIRE(loads.load(A).backlog(now) == 500ms);
    const bool prefillDone = GENERATE(true, false);
    now += 100ms;
    if (prefillDone) {
        loads.notePrefillDone({InstanceId("entry"), CallNumber(1)}, now);
    } else {
        loads.end({InstanceId("entry"), CallNumber(1)}, now);
    }
    CHECK(loads.load(A).backlog(now) == 200ms);
    CHECK(loads.load(B).backlog(now) == 200ms);
    CHECK(loads.load(A).streams() == (prefillDone ? 2 : 1));
}

// Guards against memory and streams that stay counted after the datagram with the end of a call was lost or its entry
// has crashed.
TEST_CASE("the work of a call is removed when it ends, when its entry is lost or when it expires", "[relay]")
{
    EngineLoadTable loads {EngineLoadSettings()};
    TimePoint now(1'000s);
    loads.place(placement(1, 300ms), now);
    loads.place(placement(1, 300ms), now);
    REQUIRE(loads.load(A).streams() == 1);
    REQUIRE(loads.load(A).memory() == Tokens(1'000));
    REQUIRE(loads.load(B).memory() == Tokens(500));
    SECTION("the call ends")
    {
        loads.end({InstanceId("entry"), CallNumber(1)}, now);
    }
    SECTION("the entry is lost")
    {
        loads.endAllOf(InstanceId("other"), now);
        REQUIRE(loads.calls() == 1);
        loads.endAllOf(InstanceId("entry"), now);
    }
    SECTION("the call expires")
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

// Guards against a restarted entry that knows of no load and places seconds of prefill on engines with
// latency-sensitive streams (seen in wtk-ibis scale-1, seed 11).
TEST_CASE("the placements of an entry can be transferred to an entry without state", "[relay]")
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
