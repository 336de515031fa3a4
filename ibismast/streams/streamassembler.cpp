#include "ibismast/streams/streamassembler.h"

#include <iterator>
#include <utility>

namespace ibismast
{

void StreamAssembler::beginAttempt(const AttemptId &attempt)
{
    m_attempt = attempt;
}

void StreamAssembler::endAttempt()
{
    m_attempt.reset();
}

StreamAssembler::PartOutcome StreamAssembler::addPart(StreamPart part, std::vector<std::string> &tokens)
{
    if (m_attempt != part.attempt) {
        return PartOutcome::OtherAttempt;
    }
    if (part.firstSequence > m_tokenCount) {
        return PartOutcome::Gap;
    }
    const std::uint64_t duplicates = m_tokenCount - part.firstSequence;
    if (duplicates >= part.tokens.size()) {
        return PartOutcome::Duplicate;
    }
    for (auto token = part.tokens.begin() + static_cast<std::ptrdiff_t>(duplicates); token != part.tokens.end();
         ++token) {
        m_text += *token;
        ++m_tokenCount;
        tokens.push_back(std::move(*token));
    }
    return PartOutcome::Added;
}

bool StreamAssembler::completes(const StreamEnd &end) const
{
    return m_attempt == end.attempt && end.tokenCount == m_tokenCount;
}

std::uint64_t StreamAssembler::tokenCount() const
{
    return m_tokenCount;
}

const std::string &StreamAssembler::text() const
{
    return m_text;
}

} // namespace ibismast
