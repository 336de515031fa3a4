#include "load/answercheck.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::load;

namespace
{

std::string wholeText(const AnswerText &answer)
{
    std::string text;
    for (std::uint64_t i = 0; i < answer.length(); ++i) {
        text += answer.token(i);
    }
    return text;
}

} // namespace

TEST_CASE("an answer is complete however its text is divided", "[load]")
{
    const AnswerText answer("prompt", 30);
    const std::string text = wholeText(answer);
    const auto size = GENERATE(1U, 3U, 1'000U);
    AnswerCheck check("prompt", 30);
    for (std::size_t i = 0; i < text.size(); i += size) {
        check.addText(std::string_view(text).substr(i, size));
    }
    check.addFinishReason(answer.finishReason());
    CHECK(check.state() == AnswerState::Open);
    check.addEnd();
    CHECK(check.state() == AnswerState::Complete);
    CHECK(check.tokens() == answer.length());
}

// Guards against a load tool that reports faulty answers as good ones.
TEST_CASE("each fault of an answer is recognised", "[load]")
{
    const AnswerText answer("prompt", 30);
    const std::string text = wholeText(answer);
    AnswerCheck check("prompt", 30);
    SECTION("a token of another request")
    {
        check.addText(AnswerText("other", 30).token(0));
        CHECK(check.state() == AnswerState::Wrong);
    }
    SECTION("a missing token")
    {
        check.addText(answer.token(0) + answer.token(2));
        CHECK(check.state() == AnswerState::Wrong);
    }
    SECTION("a repeated token")
    {
        check.addText(answer.token(0) + answer.token(1) + answer.token(1));
        CHECK(check.state() == AnswerState::Duplicate);
    }
    SECTION("an end before the last token")
    {
        check.addText(answer.token(0));
        check.addEnd();
        CHECK(check.state() == AnswerState::Wrong);
    }
    SECTION("an end without a finish reason")
    {
        check.addText(text);
        check.addEnd();
        CHECK(check.state() == AnswerState::Wrong);
    }
    SECTION("a second end")
    {
        check.addText(text);
        check.addFinishReason(answer.finishReason());
        check.addEnd();
        check.addEnd();
        CHECK(check.state() == AnswerState::Duplicate);
    }
    SECTION("text behind the end")
    {
        check.addText(text);
        check.addFinishReason(answer.finishReason());
        check.addEnd();
        check.addText(answer.token(0));
        CHECK(check.state() == AnswerState::Duplicate);
    }
    SECTION("the whole text twice")
    {
        check.addText(text + text);
        CHECK(check.state() == AnswerState::Duplicate);
    }
}
