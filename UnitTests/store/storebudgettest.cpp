#include "ibismast/store/storebudget.h"
#include "ibismast/store/storegate.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start {100s};

} // namespace

// Guards against a process that exceeds its share of the store's rate limits.
TEST_CASE("the budget admits a burst, then calls at the configured rate", "[store]")
{
    const auto kind = GENERATE(StoreCallKind::Read, StoreCallKind::Write);
    StoreBudgetSettings settings;
    StoreBudget budget(settings, 1);
    int admitted = 0;
    for (auto now = Start; now < Start + 10s; now += 10ms) {
        admitted += budget.take(kind, now) ? 1 : 0;
    }
    const bool isRead = kind == StoreCallKind::Read;
    const double maxAdmitted = (isRead ? settings.readBurst : settings.writeBurst)
        + 10.0 * (isRead ? settings.readsPerSecond : settings.writesPerSecond);
    CHECK(admitted <= maxAdmitted);
    CHECK(admitted >= maxAdmitted - 2);
}

// Guards against rounding in `readyAt`, by which a caller that waits until then would be refused again.
TEST_CASE("a call is admitted at the time returned by readyAt", "[store]")
{
    StoreBudget budget({}, 1);
    while (budget.take(StoreCallKind::Write, Start)) { }
    CHECK(budget.take(StoreCallKind::Write, budget.readyAt(StoreCallKind::Write, Start)));
}

// Guards against all processes resuming at the same time after an outage and overloading the store again.
TEST_CASE("processes resume at different times after an outage", "[store]")
{
    std::vector<TimePoint> resumeTimes;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        StoreBudget budget({}, seed);
        TimePoint now = Start;
        REQUIRE(budget.take(StoreCallKind::Read, now));
        budget.callFailed(now);
        // The outage lasts 30 s; each probe fails at once.
        while (now < Start + 30s) {
            now = budget.readyAt(StoreCallKind::Read, now);
            REQUIRE(budget.take(StoreCallKind::Read, now));
            budget.callFailed(now);
        }
        resumeTimes.push_back(now);
    }
    std::ranges::sort(resumeTimes);
    CHECK(resumeTimes.back() <= Start + 37500ms);
    CHECK(resumeTimes[150] - resumeTimes[50] > 1500ms);
}

// Guards against concurrent calls that fail together increasing the backoff once for each call.
TEST_CASE("concurrent calls that fail together count as one failure", "[store]")
{
    StoreBudget budget({}, 1);
    for (int call = 0; call < 8; ++call) {
        REQUIRE(budget.take(StoreCallKind::Read, Start));
    }
    for (int call = 0; call < 8; ++call) {
        budget.callFailed(Start);
    }
    CHECK(budget.readyAt(StoreCallKind::Read, Start) <= Start + 300ms);
}

TEST_CASE("one probe at a time is sent during an outage", "[store]")
{
    StoreBudget budget({}, 3);
    budget.callFailed(Start);
    const TimePoint ready = budget.readyAt(StoreCallKind::Read, Start);
    CHECK(budget.take(StoreCallKind::Read, ready));
    CHECK_FALSE(budget.take(StoreCallKind::Read, ready));
    budget.callAnswered(ready + 1ms);
    CHECK_FALSE(budget.suspectsOutage());
    CHECK_FALSE(budget.take(StoreCallKind::Read, ready + 1ms));
    CHECK(budget.take(StoreCallKind::Read, ready + 1s));
}

TEST_CASE("validation of budget settings names the invalid field", "[store]")
{
    StoreBudgetSettings settings;
    settings.longestPause = 1ms;
    const auto result = settings.validate();
    REQUIRE(errorOf(result) != nullptr);
    CHECK(errorOf(result)->message.find("longestPause") != std::string::npos);
}

// Guards against a state machine that waits forever for a lost answer, or receives both a failure and a late answer.
TEST_CASE("the gate reports an unanswered call once and discards a late answer", "[store]")
{
    StoreGate gate({}, 1);
    StoreCalls calls;
    StoreAnswers failures;
    gate.submit({StoreCallId(7), StoreRead {"key", {}, 1}}, Start);
    gate.tick(Start, calls, failures);
    REQUIRE(calls.size() == 1);
    CHECK(gate.nextTick(Start) == Start + 2s);
    gate.tick(Start + 2s, calls, failures);
    REQUIRE(failures.size() == 1);
    CHECK(std::get<StoreFailure>(failures.front().outcome).mayHaveTakenEffect);
    CHECK_FALSE(gate.accept({StoreCallId(7), StoreReadResult {}}, Start + 3s));
}

// Guards against reporting an uncertain outcome for calls that were never sent.
TEST_CASE("a call that times out in the queue of the gate is reported as having had no effect", "[store]")
{
    StoreGate gate({}, 1);
    StoreCalls calls;
    StoreAnswers failures;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        gate.submit({StoreCallId(id), StoreLeaseGrant {1s}}, Start);
    }
    gate.tick(Start, calls, failures);
    CHECK(calls.size() == 5);
    for (const StoreCall &call : calls) {
        CHECK(gate.accept({call.id, StoreLeaseResult {}}, Start));
    }
    gate.tick(Start + 3s, calls, failures);
    REQUIRE(failures.size() == 35);
    CHECK_FALSE(std::get<StoreFailure>(failures.front().outcome).mayHaveTakenEffect);
}
