#include "adapters/plumbing/jsontext.h"

#include <array>

namespace ibismast
{

namespace
{

constexpr std::string_view Blanks = " \t\r\n";

std::size_t skipBlanks(std::string_view text, std::size_t position)
{
    const std::size_t found = text.find_first_not_of(Blanks, position);
    return found == std::string_view::npos ? text.size() : found;
}

/// Returns the position behind the string that starts at @p position, or `npos`.
std::size_t skipString(std::string_view text, std::size_t position)
{
    for (std::size_t i = position + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i + 1;
        }
    }
    return std::string_view::npos;
}

/// Returns the position behind the value that starts at @p position: that of the comma or bracket after it, or `npos`.
std::size_t skipValue(std::string_view text, std::size_t position)
{
    std::size_t depth = 0;
    while (position < text.size()) {
        const char c = text[position];
        if (c == '"') {
            position = skipString(text, position);
            continue;
        }
        if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            if (depth == 0) {
                return position;
            }
            --depth;
        } else if (c == ',' && depth == 0) {
            return position;
        }
        ++position;
    }
    return std::string_view::npos;
}

} // namespace

void appendJsonString(std::string &out, std::string_view text)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    out.push_back('"');
    for (const char c : text) {
        switch (c) {
        case '"':
            out += "\\\"";
            break;
        case '\\':
            out += "\\\\";
            break;
        case '\n':
            out += "\\n";
            break;
        case '\r':
            out += "\\r";
            break;
        case '\t':
            out += "\\t";
            break;
        default:
            if (static_cast<unsigned char>(c) < 0x20) {
                out += "\\u00";
                out.push_back(Digits[static_cast<unsigned char>(c) >> 4U]);
                out.push_back(Digits[static_cast<unsigned char>(c) & 0xfU]);
            } else {
                out.push_back(c);
            }
        }
    }
    out.push_back('"');
}

std::string jsonString(std::string_view text)
{
    std::string result;
    result.reserve(text.size() + 2);
    appendJsonString(result, text);
    return result;
}

std::vector<JsonMember> jsonMembers(std::string_view text)
{
    std::vector<JsonMember> members;
    std::size_t position = skipBlanks(text, 0);
    if (position == text.size() || text[position] != '{') {
        return {};
    }
    position = skipBlanks(text, position + 1);
    while (position < text.size() && text[position] == '"') {
        const std::size_t start = position;
        const std::size_t keyEnd = skipString(text, start);
        if (keyEnd == std::string_view::npos) {
            return {};
        }
        const std::size_t colon = skipBlanks(text, keyEnd);
        if (colon == text.size() || text[colon] != ':') {
            return {};
        }
        const std::size_t end = skipValue(text, colon + 1);
        if (end == std::string_view::npos) {
            return {};
        }
        members.push_back({text.substr(start + 1, keyEnd - start - 2), text.substr(start, end - start)});
        position = text[end] == ',' ? skipBlanks(text, end + 1) : text.size();
    }
    return members;
}

} // namespace ibismast
