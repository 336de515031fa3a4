#include "ibismast/scheduling/fairqueue.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

QueuedAttempt
queued(std::uint64_t sequence, const std::string &customer, std::int64_t work, PriorityClass priorityClass)
{
    QueuedAttempt attempt;
    attempt.attempt = AttemptId {RequestId {Incarnation(1), sequence}, 0};
    attempt.customer = CustomerId(customer);
    attempt.work = Tokens(work);
    attempt.priorityClass = priorityClass;
    return attempt;
}

bool acceptAll(const QueuedAttempt &)
{
    return true;
}

} // namespace

// Guards against a customer that gets more than its share by sending larger or more requests.
TEST_CASE("customers of a class get work in proportion to their weights", "[scheduling]")
{
    const auto weight = GENERATE(1.0, 3.0);
    FairQueue queue({});
    std::uint64_t sequence = 0;
    for (int index = 0; index < 400; ++index) {
        QueuedAttempt heavy = queued(++sequence, "heavy", 50'000, PriorityClass::Long);
        heavy.weight = weight;
        CHECK(queue.push(heavy));
        CHECK(queue.push(queued(++sequence, "light", 10'000, PriorityClass::Long)));
    }
    std::map<CustomerId, double> work;
    while (work[CustomerId("light")] < 1'000'000.0) {
        const auto next = queue.pop(TimePoint(), acceptAll);
        work[next->customer] += static_cast<double>(next->work.value());
    }
    CHECK(work[CustomerId("heavy")] / work[CustomerId("light")] == Approx(weight).epsilon(0.1));
}

// Guards against an endless loop in `pop` when the filter returns different results for the same attempt.
TEST_CASE("pop ends if the filter accepts only its first call", "[scheduling]")
{
    FairQueue queue({});
    CHECK(queue.push(queued(1, "a", 5'000, PriorityClass::Short)));
    CHECK(queue.push(queued(2, "b", 5'000, PriorityClass::Short)));
    int calls = 0;
    const auto next = queue.pop(TimePoint(), [&](const QueuedAttempt &) {
        return ++calls <= 1;
    });
    REQUIRE(next.has_value());
    CHECK(next->customer == CustomerId("a"));
}

// Guards against a class that takes the share of another class with queued work.
TEST_CASE("classes with work get the engine in proportion to their shares", "[scheduling]")
{
    const FairQueueSettings settings;
    FairQueue queue(settings);
    std::uint64_t sequence = 0;
    for (int index = 0; index < 2'000; ++index) {
        CHECK(queue.push(queued(++sequence, "a", 1'000, PriorityClass::Short)));
        CHECK(queue.push(queued(++sequence, "a", 1'000, PriorityClass::Huge)));
    }
    PerClass<double> work {};
    for (int index = 0; index < 1'000; ++index) {
        const auto next = queue.pop(TimePoint(), acceptAll);
        work[classIndex(next->priorityClass)] += 1.0;
        queue.charge(next->priorityClass, 1'000.0);
    }
    const double expected =
        settings.classShares[classIndex(PriorityClass::Short)] / settings.classShares[classIndex(PriorityClass::Huge)];
    CHECK(work[classIndex(PriorityClass::Short)] / work[classIndex(PriorityClass::Huge)]
          == Approx(expected).epsilon(0.05));
}

// Guards against a class that gets the whole engine after an idle period, to catch up on service it did not need.
TEST_CASE("an idle class accumulates no credit", "[scheduling]")
{
    FairQueue queue({});
    CHECK(queue.push(queued(1, "a", 1'000, PriorityClass::Long)));
    queue.charge(PriorityClass::Long, 1'000'000.0);
    CHECK(queue.push(queued(2, "a", 1'000, PriorityClass::Short)));
    CHECK(queue.lead(PriorityClass::Short) == Approx(0.0));
    CHECK(queue.lead(PriorityClass::Long) == Approx(0.0));
}

// Guards against a class below its share being treated as ahead because another class is even further below.
TEST_CASE("only a class above its share has a positive lead", "[scheduling]")
{
    const FairQueueSettings settings;
    FairQueue queue(settings);
    for (const PriorityClass priorityClass : AllPriorityClasses) {
        CHECK(queue.push(queued(1 + classIndex(priorityClass), "a", 1'000, priorityClass)));
    }
    queue.charge(PriorityClass::Short, 250.0);
    queue.charge(PriorityClass::Medium, 600.0);
    queue.charge(PriorityClass::Long, 150.0);
    CHECK(queue.lead(PriorityClass::Short) < 0.0);
    CHECK(queue.lead(PriorityClass::Medium) > 0.0);
    CHECK(queue.lead(PriorityClass::Huge) < 0.0);
}

// Guards against a blocked class that also blocks other classes, and against a queue that exceeds its token limit.
TEST_CASE("a blocked class does not block others and the limits are kept", "[scheduling]")
{
    FairQueueSettings settings;
    settings.maxTokens = Tokens(150'000);
    FairQueue queue(settings);
    CHECK(queue.push(queued(1, "a", 140'000, PriorityClass::Huge)));
    CHECK(queue.push(queued(2, "a", 2'000, PriorityClass::Short)));
    CHECK_FALSE(queue.push(queued(3, "a", 20'000, PriorityClass::Medium)));
    const auto next = queue.pop(TimePoint(), [](const QueuedAttempt &head) {
        return head.priorityClass != PriorityClass::Huge;
    });
    REQUIRE(next.has_value());
    CHECK(next->priorityClass == PriorityClass::Short);
    CHECK(queue.size() == 1);
}

// Guards against an attempt that misses its deadline because less urgent work is served before it.
TEST_CASE("urgent attempts leave first", "[scheduling]")
{
    FairQueue queue({});
    CHECK(queue.push(queued(1, "a", 1'000, PriorityClass::Short)));
    QueuedAttempt urgent = queued(2, "a", 50'000, PriorityClass::Long);
    urgent.urgentAt = TimePoint(Duration(5'000'000));
    CHECK(queue.push(urgent));
    const auto now = GENERATE(4'000'000, 5'000'000);
    const auto next = queue.pop(TimePoint(Duration(now)), acceptAll);
    REQUIRE(next.has_value());
    CHECK(next->attempt.request.sequence == (now == 5'000'000 ? 2U : 1U));
}
