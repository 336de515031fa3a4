#include "ibismast/streams/streamassembler.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

using Outcome = StreamAssembler::PartOutcome;

AttemptId attempt(std::uint32_t number)
{
    return AttemptId {RequestId {Incarnation(1), 1}, number};
}

} // namespace

// Guards against repeated or missing tokens in a response, and against tokens of another attempt.
TEST_CASE("tokens are added once, in order and from the current attempt only", "[streams]")
{
    struct Case
    {
        std::uint32_t attempt;
        std::uint64_t first;
        std::vector<std::string> part;
        Outcome outcome;
        std::vector<std::string> added;
    };
    const auto test = GENERATE(values<Case>({
        {2, 2, {"c"}, Outcome::Added, {"c"}},
        {2, 0, {"a", "b", "c"}, Outcome::Added, {"c"}},
        {2, 1, {"b", "c", "d"}, Outcome::Added, {"c", "d"}},
        {2, 0, {"a", "b"}, Outcome::Duplicate, {}},
        {2, 2, {}, Outcome::Duplicate, {}},
        {2, 3, {"d"}, Outcome::Gap, {}},
        {1, 2, {"c"}, Outcome::OtherAttempt, {}},
        {3, 2, {"c"}, Outcome::OtherAttempt, {}},
    }));
    StreamAssembler assembler;
    std::vector<std::string> tokens;
    assembler.beginAttempt(attempt(1));
    REQUIRE(assembler.addPart(StreamPart {attempt(1), 0, {"a", "b"}}, tokens) == Outcome::Added);
    assembler.beginAttempt(attempt(2));
    tokens.clear();
    CHECK(assembler.addPart(StreamPart {attempt(test.attempt), test.first, test.part}, tokens) == test.outcome);
    CHECK(tokens == test.added);
    CHECK(assembler.tokenCount() == 2 + test.added.size());
}

// Guards against a response that is taken as complete before its last token or by the end message of another attempt.
TEST_CASE("a response is complete only if the token count of the current attempt matches", "[streams]")
{
    const auto [number, count, complete] = GENERATE(
        table<std::uint32_t, std::uint64_t, bool>({{2, 2, true}, {2, 1, false}, {2, 3, false}, {1, 2, false}}));
    StreamAssembler assembler;
    std::vector<std::string> tokens;
    assembler.beginAttempt(attempt(2));
    assembler.addPart(StreamPart {attempt(2), 0, {"a", "b"}}, tokens);
    CHECK(assembler.completes(StreamEnd {attempt(number), count, "stop"}) == complete);
    assembler.endAttempt();
    CHECK_FALSE(assembler.completes(StreamEnd {attempt(2), 2, "stop"}));
}
