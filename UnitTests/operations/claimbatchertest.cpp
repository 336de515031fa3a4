#include "ibismast/operations/claimbatcher.h"
#include "UnitTests/harness/fakestore.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

/// Claim batcher with a fake store and a virtual clock.
class ClaimFixture
{
public:
    explicit ClaimFixture(harness::FakeStore &store, const ClaimBatcherSettings &settings = {}, std::uint16_t range = 1)
        : m_store(store), m_batcher(settings, range)
    {
    }

    void claim(std::uint64_t request, const std::string &key, std::uint64_t operation)
    {
        StoreCalls calls;
        m_batcher.submit(id(request), keyOf(key), operationOf(operation), now, calls);
        submitToStore(calls);
    }

    void advance(Duration time, Duration step = 10ms)
    {
        advanceAll({this}, time, step);
    }

    /// Advances the clocks of batchers that share a store. Every batcher gets every answer and ignores those of the
    /// others.
    static void advanceAll(const std::vector<ClaimFixture *> &fixtures, Duration time, Duration step)
    {
        const TimePoint until = fixtures.front()->now + time;
        while (fixtures.front()->now < until) {
            for (ClaimFixture *fixture : fixtures) {
                fixture->now += step;
            }
            const StoreAnswers answers = fixtures.front()->m_store.takeAnswers(fixtures.front()->now);
            for (ClaimFixture *fixture : fixtures) {
                fixture->step(answers);
            }
        }
    }

    /// Returns the number of the operation that the key was bound to, or 0 if the claim failed or is pending.
    [[nodiscard]] std::uint64_t bound(std::uint64_t request) const
    {
        const auto result = results.find(request);
        const auto *operation = result == results.end() ? nullptr : std::get_if<OperationId>(&result->second);
        return operation == nullptr ? 0 : operation->number;
    }

    static RequestId id(std::uint64_t request)
    {
        return RequestId {Incarnation(1), request};
    }
    static ClaimKey keyOf(const std::string &key)
    {
        return ClaimKey {CustomerId("c"), ServiceName("s"), key};
    }
    static OperationId operationOf(std::uint64_t number)
    {
        return OperationId {InstanceId("agent.1"), Incarnation(3), number};
    }

    TimePoint now {1'000s};
    std::map<std::uint64_t, Result<OperationId>> results;

private:
    void step(const StoreAnswers &answers)
    {
        StoreCalls calls;
        for (const StoreAnswer &answer : answers) {
            m_batcher.handle(answer, now, calls);
        }
        m_batcher.tick(now, calls);
        submitToStore(calls);
        for (ClaimResult &result : m_batcher.takeResults()) {
            CHECK(results.emplace(result.request.sequence, std::move(result.operation)).second);
        }
    }

    void submitToStore(const StoreCalls &calls)
    {
        for (const StoreCall &call : calls) {
            m_store.submit(call, now);
        }
    }

    harness::FakeStore &m_store;
    ClaimBatcher m_batcher;
};

} // namespace

// Guards against a number of store writes that grows with the number of claims.
TEST_CASE("claims of one shard are batched into one write", "[operations]")
{
    harness::FakeStore store;
    ClaimFixture claims(store);
    for (std::uint64_t request = 1; request <= 200; ++request) {
        claims.claim(request, "same", request);
    }
    claims.advance(1s);
    CHECK(store.writes() <= 2);
    for (std::uint64_t request = 1; request <= 200; ++request) {
        CHECK(claims.bound(request) == claims.bound(1));
    }
}

// Guards against one key being bound to two operations when two entries claim it concurrently and store answers are
// lost or a write takes effect late.
TEST_CASE("concurrent claims of a key are bound to one operation", "[operations]")
{
    harness::FakeStore store;
    const int fault = GENERATE(0, 1, 2);
    ClaimFixture first(store, {}, 1);
    ClaimFixture second(store, {}, 2);
    if (fault == 1) {
        store.loseAnswersAfterEffect(2);
    } else if (fault == 2) {
        store.delayNextEffect(40ms);
    }
    first.claim(1, "key", 11);
    second.claim(2, "key", 22);
    ClaimFixture::advanceAll({&first, &second}, 2s, 1ms);
    first.claim(3, "key", 33);
    first.advance(1s);
    REQUIRE(first.bound(3) != 0);
    for (const auto bound : {first.bound(1), second.bound(2)}) {
        CHECK(bound == first.bound(3));
    }
}

// Guards against claims being dropped while callers may still retry, and against values that grow without bound.
TEST_CASE("claims are kept for the configured generations and dropped later", "[operations]")
{
    harness::FakeStore store;
    ClaimBatcherSettings settings;
    settings.generationLength = 10min;
    settings.keptGenerations = 3;
    ClaimFixture claims(store, settings);
    const ClaimKey old = ClaimFixture::keyOf("old");
    std::vector<std::string> sameShardKeys;
    for (int suffix = 0; sameShardKeys.size() < 200; ++suffix) {
        const std::string candidate = std::to_string(suffix);
        if (ClaimShard::indexOf(ClaimFixture::keyOf(candidate)) == ClaimShard::indexOf(old)) {
            sameShardKeys.push_back(candidate);
        }
    }
    claims.claim(1, "old", 1);
    claims.advance(1s);
    const auto stored = [&] {
        const auto entry = store.entries().find(ClaimShard::storeKey(ClaimShard::indexOf(old)));
        return ClaimShard::parse(entry->second.value)->find(old) != nullptr;
    };
    const TimePoint claimed = claims.now;
    std::uint64_t request = 10;
    while (stored() && claims.now - claimed < 3h) {
        ++request;
        claims.claim(request, sameShardKeys[request % sameShardKeys.size()], request);
        claims.advance(1min, 100ms);
    }
    CHECK_FALSE(stored());
    CHECK(claims.now - claimed >= 20min);
}

// Guards against values that are too large for the store, and against recent claims being dropped to make room.
TEST_CASE("a full shard refuses new keys and keeps existing claims", "[operations]")
{
    harness::FakeStore store;
    ClaimBatcherSettings settings;
    settings.largestValue = 600;
    ClaimFixture claims(store, settings);
    std::vector<std::string> keys;
    for (int suffix = 0; keys.size() < 30; ++suffix) {
        const std::string candidate = std::to_string(suffix);
        if (ClaimShard::indexOf(ClaimFixture::keyOf(candidate)) == 7) {
            keys.push_back(candidate);
        }
    }
    for (std::uint64_t request = 1; request <= keys.size(); ++request) {
        claims.claim(request, keys[request - 1], request);
        claims.advance(200ms);
    }
    CHECK(claims.bound(1) == 1);
    CHECK(claims.bound(30) == 0);
    CHECK(store.largestValueWritten() <= 600);
    claims.claim(100, keys[0], 100);
    claims.advance(200ms);
    CHECK(claims.bound(100) == 1);
}

// Guards against a damaged value being accepted and then overwritten, which would lose its claims.
TEST_CASE("claim shards survive an encoding round trip and truncated ones yield no claim", "[operations]")
{
    ClaimShard shard;
    const std::string key = GENERATE("k", "", "line\nbreak", "7:colon", " ");
    CHECK(shard.add(ClaimFixture::keyOf(key), ClaimFixture::operationOf(5), 1'000));
    const std::string text = shard.encode();
    CHECK(text.size() == shard.encodedSize());
    const auto parsed = ClaimShard::parse(text);
    REQUIRE(parsed);
    CHECK(*parsed->find(ClaimFixture::keyOf(key)) == ClaimFixture::operationOf(5));
    CHECK(parsed->encodedSize() == text.size());
    for (std::size_t length = 1; length < text.size(); ++length) {
        const auto truncated = ClaimShard::parse(text.substr(0, length));
        CHECK((!truncated || truncated->find(ClaimFixture::keyOf(key)) == nullptr));
    }
}
