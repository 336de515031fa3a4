#include "ibismast/scheduling/prioritypolicy.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against long prompts that miss their deadline, and against urgent long prompts that take all engine steps.
TEST_CASE("urgent long prompts have the top priority only in every second time slice", "[scheduling]")
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
