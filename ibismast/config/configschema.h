#pragma once

#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ibismast
{

/// Kind of value that a key takes.
enum class ValueType : std::uint8_t {
    Integer,
    Real,
    Boolean,
    /// Letters, digits, `.`, `_`, `-`, `/` and `:`, up to 128 characters.
    Name,
    /// Names separated by commas.
    NameList,
    /// One of `KeyRule::words`.
    Word,
    /// Some of `KeyRule::words`, separated by commas.
    WordList,
    /// SHA-256 hashes in 64 lower-case hexadecimal digits, separated by commas.
    HashList,
    /// IPv4 or IPv6 address with port, as `10.0.0.1:8000` or `[::1]:8000`.
    Address,
    /// Path that starts with `/`; `*` stands for one segment and a final `**` for any number of segments.
    PathPattern,
    /// Up to 200 printable characters.
    Text,
};

/// What a key of a section allows.
struct KeyRule
{
    std::string_view key;
    ValueType type = ValueType::Text;
    bool required = false;
    /// Smallest and largest value of `Integer` and `Real`.
    double least = 0.0;
    double most = std::numeric_limits<double>::max();
    /// Values of `Word` and `WordList`, separated by `|`.
    std::string_view words;
};

/// What a kind of section allows.
struct SectionRule
{
    std::string_view kind;
    std::vector<KeyRule> keys;
};

/// Returns the kinds of sections.
[[nodiscard]] std::span<const SectionRule> sectionRules();
/// Returns the rule of @p kind, or null if there is none.
[[nodiscard]] const SectionRule *findSectionRule(std::string_view kind);
/// Returns the rule of @p key, or null if there is none.
[[nodiscard]] const KeyRule *findKeyRule(const SectionRule &section, std::string_view key);

/// Returns true if @p value is allowed by @p rule.
[[nodiscard]] bool isAllowed(const KeyRule &rule, std::string_view value);
/// Returns the allowed values in words, for messages.
[[nodiscard]] std::string allowedValues(const KeyRule &rule);
/// Returns true if @p name may name an object.
[[nodiscard]] bool isValidName(std::string_view name);
/// Returns the items of a list that is separated by commas; an empty text has none.
[[nodiscard]] std::vector<std::string> splitList(std::string_view text);
/// Returns the number in @p text, or nothing if it has another form.
[[nodiscard]] std::optional<double> parseNumber(std::string_view text);

} // namespace ibismast
