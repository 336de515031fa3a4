#include "ibismast/core/ids.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against ids that callers send back being read as another id.
TEST_CASE("operation ids survive a round trip", "[core]")
{
    const auto agent = GENERATE("agent-1", "jawa.barat.7", "a");
    const OperationId id {InstanceId(agent), Incarnation(0xfeed), 42};
    CHECK(parseOperationId(toString(id)) == id);
}

TEST_CASE("attempt ids survive a round trip", "[core]")
{
    const auto number = GENERATE(0U, 1U, UINT32_MAX);
    const AttemptId id {RequestId {Incarnation(7), 9}, number};
    CHECK(parseAttemptId(toString(id)) == id);
}

// Guards against malformed ids from callers being accepted.
TEST_CASE("malformed ids are refused", "[core]")
{
    const auto text = GENERATE("", ".", "a.b", "a..1", ".1.2", "a.1.", "a.1.x", "a.-1.2", "a.1.2 ");
    CHECK_FALSE(parseOperationId(text).has_value());
    CHECK_FALSE(parseRequestId(text).has_value());
    CHECK_FALSE(parseAttemptId(text).has_value());
}
