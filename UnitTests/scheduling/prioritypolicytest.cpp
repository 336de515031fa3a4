#include "ibismast/scheduling/prioritypolicy.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against long prompts that miss their deadline, or that take every step of the engine once they are urgent.
TEST_CASE("urgent long prompts go first in every second slice only", "[scheduling]")
{
    const PriorityPolicy policy({});
    const TimePoint deadline(Duration(10'000'000));
    CHECK(policy.urgentAt(deadline, Duration(2'000'000)) == TimePoint(Duration(6'000'000)));
    const int shortPriority = policy.priority(PriorityClass::Short, false, TimePoint());
    CHECK(policy.priority(PriorityClass::Huge, true, TimePoint()) > shortPriority);
    CHECK(policy.priority(PriorityClass::Huge, true, TimePoint(Duration(100'000))) < shortPriority);
    CHECK(policy.priority(PriorityClass::Short, true, TimePoint(Duration(100'000))) > shortPriority);
    CHECK(policy.priority(PriorityClass::Medium, false, TimePoint()) < shortPriority);
}
