#include "adapters/enginejson.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against a caller that gets the answer, the end or the "not run" of another request when an engine mixes up two
// streams; ibismast-load counted 2 wrong answers for 2 crossed streams.
TEST_CASE("an event that names another attempt is not read", "[adapters]")
{
    const AttemptId attempt {RequestId {Incarnation(1), 2}, 3};
    const auto rest = GENERATE(as<std::string>(),
                               R"("seq": 0, "tokens": ["a"]})",
                               R"("finish_reason": "stop", "token_count": 0})",
                               R"("segment_handle": "h"})",
                               R"("error": {"code": 2006, "not_run": true}})");
    CHECK(parseStreamEvent(attempt, R"({"request_id": "1-2-3", )" + rest).has_value());
    CHECK_FALSE(parseStreamEvent(attempt, R"({"request_id": "1-2-4", )" + rest).has_value());
    CHECK(parseStreamEvent(attempt, "{" + rest).has_value());
}
