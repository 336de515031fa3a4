#pragma once

#include "ibismast/core/messages.h"

namespace ibismast
{

/// Assembles the response to one request from the stream parts of its attempts, without repeated or missing tokens.
class StreamAssembler
{
public:
    /// Result of `addPart`.
    enum class PartOutcome : std::uint8_t {
        /// The part had new tokens, which were added.
        Added,
        /// The part is empty or holds only tokens that were received before.
        Duplicate,
        /// The part does not belong to the current attempt and was ignored.
        OtherAttempt,
        /// Tokens before the part are missing. The part was ignored; the attempt cannot complete the response.
        Gap,
    };

    /// Makes @p attempt the current attempt. Only its parts are accepted from now on; the tokens received so far are
    /// kept.
    void beginAttempt(const AttemptId &attempt);
    /// Ends the current attempt. No parts are accepted until the next call of `beginAttempt`.
    void endAttempt();
    /// Adds the new tokens of a part to the response and appends them to @p tokens.
    PartOutcome addPart(StreamPart part, std::vector<std::string> &tokens);
    /// True if @p end belongs to the current attempt and its token count matches the number of tokens received.
    [[nodiscard]] bool completes(const StreamEnd &end) const;

    /// Number of tokens received over all attempts.
    [[nodiscard]] std::uint64_t tokenCount() const;
    /// Concatenated text of these tokens.
    [[nodiscard]] const std::string &text() const;

private:
    std::optional<AttemptId> m_attempt;
    std::uint64_t m_tokenCount = 0;
    std::string m_text;
};

} // namespace ibismast
