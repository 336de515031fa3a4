#pragma once

#include "standins/engine/answertext.h"

#include <string>
#include <string_view>

namespace ibismast::load
{

/// What is known of a received answer.
enum class AnswerState : std::uint8_t {
    /// Not ended; everything up to now belongs to the request.
    Open,
    /// Ended with every token in order.
    Complete,
    /// A token does not belong to the request, or the end came too early.
    Wrong,
    /// Tokens or the end came twice.
    Duplicate,
};

/// Compares an answer, part by part, with the text function of the engine model.
class AnswerCheck
{
public:
    /// @p prompt is the prompt as the engine takes it, see `enginejson::canonicalPrompt`.
    AnswerCheck(std::string_view prompt, std::int64_t maxOutputTokens);

    /// Takes the next part of the text.
    void addText(std::string_view text);
    /// Takes the finish reason that the answer states.
    void addFinishReason(std::string_view reason);
    /// Takes the end marker of the stream.
    void addEnd();

    [[nodiscard]] AnswerState state() const;
    /// Number of whole tokens that were received and are right.
    [[nodiscard]] std::uint64_t tokens() const;

private:
    AnswerText m_answer;
    AnswerState m_state = AnswerState::Open;
    std::uint64_t m_tokens = 0;
    /// Rest of the expected token that was received in part.
    std::string m_expected;
    bool m_finished = false;
};

} // namespace ibismast::load
