#include "ibismast/store/storetransaction.h"
#include "UnitTests/harness/fakestore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::harness;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start {100s};

StoreTransactionPlan planOf(const std::string &id, StoreRevision base, Duration timeout = 5s)
{
    StoreTransactionPlan plan;
    plan.call.compares = {{"head", base}};
    plan.call.puts = {{"head", id, {}}};
    plan.evidenceKey = "head";
    plan.evidence = [id](const std::string &value) {
        return value.find(id) == std::string::npos ? ChangeEvidence::NotApplied : ChangeEvidence::Applied;
    };
    plan.giveUpAt = Start + timeout;
    return plan;
}

// Runs @p transaction until it has an outcome or 20 s of simulated time have passed. Calls @p onTick with the elapsed
// time every millisecond.
TransactionOutcome
run(StoreTransaction &transaction, FakeStore &store, const std::function<void(Duration)> &onTick = {})
{
    StoreCalls calls;
    transaction.start(calls);
    for (auto now = Start; now < Start + 20s && !transaction.outcome(); now += 1ms) {
        if (onTick) {
            onTick(now - Start);
        }
        for (const StoreCall &call : std::exchange(calls, {})) {
            store.submit(call, now);
        }
        for (const StoreAnswer &answer : store.takeAnswers(now)) {
            transaction.handle(answer, now, calls);
        }
        transaction.tick(now);
    }
    return transaction.outcome().value();
}

void put(FakeStore &store, const std::string &value, TimePoint now)
{
    store.submit({StoreCallId(1U << 30U), StoreTransactionCall {{}, {{"head", value, {}}}, {}, {}}}, now);
}

} // namespace

TEST_CASE("a transaction without faults is applied", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    StoreTransaction transaction(planOf("change-a", {}), ids);
    CHECK(std::holds_alternative<TransactionApplied>(run(transaction, store)));
    CHECK(store.writes() == 1);
}

// Guards against reporting an applied change as a conflict, and against writing it a second time.
TEST_CASE("a lost answer is resolved by reading back", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    store.loseAnswersAfterEffect(1);
    StoreTransaction transaction(planOf("change-a", {}), ids);
    CHECK(std::holds_alternative<TransactionApplied>(run(transaction, store)));
    CHECK(store.writes() == 1);
    CHECK(store.entries().at("head").value == "change-a");
}

// Guards against a delayed write that takes effect after the read-back, in addition to the retry.
TEST_CASE("a write delayed past the read-back takes effect only once", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    const auto delay = GENERATE(1ms, 2ms, 3ms, 4ms, 5ms, 10ms, 50ms);
    store.delayNextEffect(delay);
    StoreTransaction transaction(planOf("change-a", {}), ids);
    CHECK(std::holds_alternative<TransactionApplied>(run(transaction, store)));
    const StoreRevision written = store.entries().at("head").modRevision;
    static_cast<void>(store.takeAnswers(Start + 30s));
    CHECK(store.entries().at("head").modRevision == written);
}

// Guards against a writer that overwrites a concurrent change instead of reporting the conflict.
TEST_CASE("the later of two writers gets a conflict with the value of the first", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    put(store, "other", Start - 10ms);
    StoreTransaction transaction(planOf("change-a", {}), ids);
    const auto outcome = run(transaction, store);
    REQUIRE(std::holds_alternative<TransactionConflict>(outcome));
    CHECK(std::get<TransactionConflict>(outcome).entries.at(0).value == "other");
}

TEST_CASE("a lost answer to a write based on an outdated revision is a conflict", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    put(store, "other", Start - 10ms);
    store.loseAnswersAfterEffect(0);
    store.delayNextEffect(20ms);
    StoreTransaction transaction(planOf("change-a", {}), ids);
    CHECK(std::holds_alternative<TransactionConflict>(run(transaction, store)));
}

// Guards against reporting a definite failure although the write may have taken effect, and the reverse.
TEST_CASE("an outage gives an uncertain outcome only if the write may have taken effect", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    const bool sent = GENERATE(false, true);
    store.setDown(!sent);
    if (sent) {
        store.loseAnswersAfterEffect(1);
    }
    StoreTransaction transaction(planOf("change-a", {}, 1s), ids);
    const auto outcome = run(transaction, store, [&](Duration elapsed) {
        if (elapsed == 2ms) {
            store.setDown(true);
        }
    });
    if (sent) {
        CHECK(std::holds_alternative<TransactionUncertain>(outcome));
    } else {
        CHECK(std::holds_alternative<TransactionNotSent>(outcome));
    }
}

TEST_CASE("a transaction succeeds after a short outage", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    store.setDown(true);
    StoreTransaction transaction(planOf("change-a", {}), ids);
    const auto outcome = run(transaction, store, [&](Duration elapsed) {
        if (elapsed == 500ms) {
            store.setDown(false);
        }
    });
    CHECK(std::holds_alternative<TransactionApplied>(outcome));
}

// Guards against reporting a conflict when the value no longer shows whether the lost write took effect.
TEST_CASE("a lost answer that can no longer be resolved gives an uncertain outcome", "[store]")
{
    FakeStore store;
    StoreCallIds ids(1);
    store.loseAnswersAfterEffect(1);
    auto plan = planOf("change-a", {});
    plan.evidence = [](const std::string &) {
        return ChangeEvidence::CannotTell;
    };
    StoreTransaction transaction(std::move(plan), ids);
    CHECK(std::holds_alternative<TransactionUncertain>(run(transaction, store)));
}

// Guards against tests that pass only because the fake store accepts calls that the platform rejects.
TEST_CASE("the fake store enforces limits and deletes the keys of expired leases", "[store]")
{
    FakeStore store;
    store.submit({StoreCallId(1), StoreLeaseGrant {3s}}, Start);
    const auto granted = store.takeAnswers(Start + 2ms);
    const auto lease = std::get<StoreLeaseResult>(granted.at(0).outcome).lease;
    store.submit({StoreCallId(2), StoreTransactionCall {{}, {{"held", "me", lease}}, {}, {}}}, Start + 2ms);
    store.submit({StoreCallId(3), StoreTransactionCall {{}, {{"big", std::string(1'048'577, 'x'), {}}}, {}, {}}},
                 Start + 2ms);
    const auto answers = store.takeAnswers(Start + 10ms);
    REQUIRE(answers.size() == 2);
    CHECK(std::holds_alternative<StoreTransactionResult>(answers[0].outcome));
    CHECK(std::holds_alternative<StoreFailure>(answers[1].outcome));
    CHECK(store.entries().contains("held"));
    static_cast<void>(store.takeAnswers(Start + 4s));
    CHECK_FALSE(store.entries().contains("held"));
    for (std::uint64_t id = 10; id < 3'010; ++id) {
        store.submit({StoreCallId(id), StoreRead {"held", {}, 1}}, Start + 5s);
    }
    CHECK(store.refusals() == 1'000);
}
