#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibismast
{

/// Text that the engine model generates: a pure function of the prompt body and the position, so that a test can check
/// every token of an answer without knowing which engine generated it.
class AnswerText
{
public:
    /// @p body is the request body that reaches the engine; @p maxOutputTokens bounds the whole answer.
    AnswerText(std::string_view body, std::int64_t maxOutputTokens);

    /// Returns the token at @p position, counted from 0.
    [[nodiscard]] std::string token(std::uint64_t position) const;
    /// Returns the number of tokens of the whole answer; between three quarters of the bound and the bound.
    [[nodiscard]] std::uint64_t length() const;
    /// Returns `length` if the answer reaches the bound, else `stop`.
    [[nodiscard]] std::string finishReason() const;

private:
    std::uint64_t m_hash;
    std::uint64_t m_bound;
};

} // namespace ibismast
