#pragma once

#include "ibismast/core/messages.h"

namespace ibismast
{

/// Puts the answer to one request together from the parts of its attempts, without repeated or missing tokens.
class StreamAssembler
{
public:
    /// What became of a part.
    enum class PartOutcome : std::uint8_t {
        /// The part has new tokens.
        Added,
        /// The part holds only tokens that are there already.
        Duplicate,
        /// The part belongs to another attempt.
        OtherAttempt,
        /// Tokens before the part are missing; the attempt cannot be completed.
        Gap,
    };

    /// From now on only parts of @p attempt are taken.
    void beginAttempt(const AttemptId &attempt);
    /// No attempt is taken until the next `beginAttempt`.
    void endAttempt();
    /// Takes a part and moves its new tokens to the end of @p tokens.
    PartOutcome addPart(StreamPart part, std::vector<std::string> &tokens);
    /// True if @p end belongs to the present attempt and its count matches the tokens that were taken.
    [[nodiscard]] bool completes(const StreamEnd &end) const;

    /// Number of tokens taken over all attempts.
    [[nodiscard]] std::uint64_t tokenCount() const;
    /// Text of those tokens.
    [[nodiscard]] const std::string &text() const;

private:
    std::optional<AttemptId> m_attempt;
    std::uint64_t m_count = 0;
    std::string m_text;
};

} // namespace ibismast
