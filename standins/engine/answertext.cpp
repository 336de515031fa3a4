#include "standins/engine/answertext.h"

#include "ibismast/core/seededrandom.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace ibismast
{

namespace
{

// FNV-1a, 64 bits.
std::uint64_t hashText(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return hash;
}

} // namespace

AnswerText::AnswerText(std::string_view body, std::int64_t maxOutputTokens)
    : m_hash(hashText(body)), m_bound(static_cast<std::uint64_t>(std::max<std::int64_t>(maxOutputTokens, 0)))
{
}

std::string AnswerText::token(std::uint64_t position) const
{
    char digits[16];
    const auto end =
        std::to_chars(std::begin(digits), std::end(digits), mixBits(m_hash + position) & 0xffffffU, 16).ptr;
    std::string text = " ";
    text.append(std::begin(digits), end);
    return text;
}

std::uint64_t AnswerText::length() const
{
    return m_bound - mixBits(m_hash) % (m_bound / 4 + 1);
}

std::string AnswerText::finishReason() const
{
    return length() == m_bound ? "length" : "stop";
}

} // namespace ibismast
