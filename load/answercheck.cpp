#include "load/answercheck.h"

#include <algorithm>

namespace ibismast::load
{

AnswerCheck::AnswerCheck(std::string_view prompt, std::int64_t maxOutputTokens) : m_answer(prompt, maxOutputTokens) { }

void AnswerCheck::addText(std::string_view text)
{
    while (!text.empty() && m_state == AnswerState::Open) {
        if (m_expected.empty() && m_tokens < m_answer.length()) {
            m_expected = m_answer.token(m_tokens);
        }
        const std::size_t size = std::min(text.size(), m_expected.size());
        if (size == 0 || text.substr(0, size) != std::string_view(m_expected).substr(0, size)) {
            // Text that continues like an earlier token is a repetition; anything else belongs to another request.
            bool repeated = false;
            for (std::uint64_t i = 0; i < m_tokens && !repeated; ++i) {
                repeated = text.starts_with(m_answer.token(i));
            }
            m_state = repeated ? AnswerState::Duplicate : AnswerState::Wrong;
            return;
        }
        text.remove_prefix(size);
        m_expected.erase(0, size);
        if (m_expected.empty()) {
            ++m_tokens;
        }
    }
    if (!text.empty() && m_state == AnswerState::Complete) {
        m_state = AnswerState::Duplicate;
    }
}

void AnswerCheck::addFinishReason(std::string_view reason)
{
    if (m_state != AnswerState::Open) {
        return;
    }
    if (m_finished) {
        m_state = AnswerState::Duplicate;
    } else if (reason != m_answer.finishReason() || m_tokens != m_answer.length()) {
        m_state = AnswerState::Wrong;
    }
    m_finished = true;
}

void AnswerCheck::addEnd()
{
    if (m_state == AnswerState::Complete) {
        m_state = AnswerState::Duplicate;
    } else if (m_state == AnswerState::Open) {
        const bool complete = m_finished && m_tokens == m_answer.length();
        m_state = complete ? AnswerState::Complete : AnswerState::Wrong;
    }
}

AnswerState AnswerCheck::state() const
{
    return m_state;
}

std::uint64_t AnswerCheck::tokens() const
{
    return m_tokens;
}

} // namespace ibismast::load
