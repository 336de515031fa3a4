#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ibismast
{

/// Appends @p text to @p out as a JSON string with quotes.
void appendJsonString(std::string &out, std::string_view text);

/// Returns @p text as a JSON string with quotes.
[[nodiscard]] std::string jsonString(std::string_view text);

/// Member of a JSON object as it stands in the text.
struct JsonMember
{
    /// Key without quotes; escapes are not resolved.
    std::string_view key;
    /// Whole member, from the key's quote to the end of the value.
    std::string_view text;
};

/// Returns the top-level members of the JSON object @p text without parsing their values, so that a large body is not
/// copied. The result is empty if @p text is no object; the values are not validated.
[[nodiscard]] std::vector<JsonMember> jsonMembers(std::string_view text);

} // namespace ibismast
