#include "ibismast/config/configschema.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>

namespace ibismast
{

namespace
{

using enum ValueType;

constexpr std::size_t LongestName = 128;
constexpr std::size_t LongestText = 200;
constexpr std::size_t HashDigits = 64;
constexpr double LargestPort = 65'535.0;

const std::array SectionRules {
    SectionRule {"customer",
                 {{"weight", Real, false, 0.001, 1'000.0, {}},
                  {"requests_per_second", Real, false, 0.001, 1e6, {}},
                  {"tokens_per_second", Real, false, 1.0, 1e9, {}},
                  {"concurrent_requests", Integer, false, 1.0, 1e6, {}},
                  {"longest_prompt_tokens", Integer, false, 1.0, 1e7, {}},
                  {"api_key_sha256", HashList, true, 1.0, 32.0, {}}}},
    SectionRule {"model",
                 {{"version", Name, true, 0.0, 0.0, {}},
                  {"adapters", NameList, false, 0.0, 64.0, {}},
                  {"copies_per_domain", Integer, true, 1.0, 10'000.0, {}},
                  {"memory_tokens", Integer, true, 1.0, 1e9, {}},
                  {"weight_bytes", Integer, false, 1.0, 1e13, {}},
                  {"roles", WordList, false, 1.0, 3.0, "mixed|prefill|decode"}}},
    SectionRule {"upstream",
                 {{"address", Address, true, 0.0, 0.0, {}},
                  {"domain", Name, true, 0.0, 0.0, {}},
                  {"joint_failure_set", Name, false, 0.0, 0.0, {}},
                  {"memory_tokens", Integer, true, 1.0, 1e9, {}},
                  {"checks_fencing", Boolean, false, 0.0, 0.0, {}},
                  {"checks_authority", Boolean, false, 0.0, 0.0, {}}}},
    SectionRule {"service",
                 {{"address", Address, true, 0.0, 0.0, {}},
                  {"domain", Name, false, 0.0, 0.0, {}},
                  {"checks_fencing", Boolean, false, 0.0, 0.0, {}},
                  {"checks_authority", Boolean, false, 0.0, 0.0, {}}}},
    SectionRule {"route",
                 {{"model", Name, true, 0.0, 0.0, {}},
                  {"subset_size", Integer, false, 2.0, 256.0, {}},
                  {"domains", NameList, false, 0.0, 64.0, {}},
                  {"policy", Word, false, 0.0, 0.0, "two_choices|least_loaded|prefix"},
                  {"retry_share", Real, false, 0.0, 1.0, {}},
                  {"hedging", Boolean, false, 0.0, 0.0, {}}}},
    SectionRule {"call",
                 {{"service", Name, true, 0.0, 0.0, {}},
                  {"method", Word, true, 0.0, 0.0, "GET|HEAD|POST|PUT|PATCH|DELETE"},
                  {"path", PathPattern, true, 0.0, 0.0, {}}}},
    SectionRule {"drain", {{"reason", Text, false, 0.0, 0.0, {}}}},
};

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0
        || std::string_view("._-/:").find(character) != std::string_view::npos;
}

bool isHash(std::string_view text)
{
    return text.size() == HashDigits && std::ranges::all_of(text, [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}

bool isIpv4(std::string_view text)
{
    int parts = 0;
    while (true) {
        const auto dot = text.find('.');
        const auto part = text.substr(0, dot);
        const auto number = parseNumber(part);
        const bool digits = std::ranges::all_of(part, [](char character) {
            return std::isdigit(static_cast<unsigned char>(character)) != 0;
        });
        if (!number || !digits || part.size() > 3 || *number > 255.0) {
            return false;
        }
        parts += 1;
        if (dot == std::string_view::npos) {
            return parts == 4;
        }
        text = text.substr(dot + 1);
    }
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto portText = text.substr(colon + 1);
    const auto port = parseNumber(portText);
    const bool digits = std::ranges::all_of(portText, [](char character) {
        return std::isdigit(static_cast<unsigned char>(character)) != 0;
    });
    if (!port || !digits || *port < 1.0 || *port > LargestPort) {
        return false;
    }
    const auto host = text.substr(0, colon);
    if (host.front() != '[') {
        return isIpv4(host);
    }
    return host.size() > 3 && host.back() == ']'
        && std::ranges::all_of(host.substr(1, host.size() - 2), [](char character) {
               return std::isxdigit(static_cast<unsigned char>(character)) != 0 || character == ':' || character == '.';
           });
}

bool isPathPattern(std::string_view text)
{
    const bool characters = std::ranges::all_of(text, [](char character) {
        return std::isgraph(static_cast<unsigned char>(character)) != 0 && character != '?' && character != '#';
    });
    if (!text.starts_with('/') || text.size() > LongestText || !characters) {
        return false;
    }
    std::string_view rest = text.substr(1);
    while (true) {
        const auto slash = rest.find('/');
        const auto segment = rest.substr(0, slash);
        const bool last = slash == std::string_view::npos;
        // A star inside a segment would look as if it matched a part of it.
        if (segment.find('*') != std::string_view::npos && segment != "*" && !(segment == "**" && last)) {
            return false;
        }
        if (last) {
            return true;
        }
        rest = rest.substr(slash + 1);
    }
}

bool isOneOf(std::string_view words, std::string_view value)
{
    while (true) {
        const auto bar = words.find('|');
        if (words.substr(0, bar) == value) {
            return true;
        }
        if (bar == std::string_view::npos) {
            return false;
        }
        words = words.substr(bar + 1);
    }
}

// Checks a list whose number of items lies in the range of @p rule and has no item twice.
template<typename Check> bool isList(const KeyRule &rule, std::string_view value, Check check)
{
    auto items = splitList(value);
    if (!std::ranges::all_of(items, check)) {
        return false;
    }
    std::ranges::sort(items);
    const auto count = static_cast<double>(items.size());
    return count >= rule.least && count <= rule.most && std::ranges::adjacent_find(items) == items.end();
}

std::string formatNumber(double value)
{
    std::array<char, 32> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::general).ptr;
    return {buffer.data(), end};
}

} // namespace

std::span<const SectionRule> sectionRules()
{
    return SectionRules;
}

const SectionRule *findSectionRule(std::string_view kind)
{
    const auto *rule = std::ranges::find(SectionRules, kind, &SectionRule::kind);
    return rule == SectionRules.end() ? nullptr : rule;
}

const KeyRule *findKeyRule(const SectionRule &section, std::string_view key)
{
    const auto rule = std::ranges::find(section.keys, key, &KeyRule::key);
    return rule == section.keys.end() ? nullptr : &*rule;
}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= LongestName && std::ranges::all_of(name, isNameCharacter);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        std::string_view item = text.substr(0, comma);
        while (item.starts_with(' ')) {
            item.remove_prefix(1);
        }
        while (item.ends_with(' ')) {
            item.remove_suffix(1);
        }
        items.emplace_back(item);
        if (comma == std::string_view::npos) {
            return items;
        }
        text = text.substr(comma + 1);
        if (text.empty()) {
            items.emplace_back();
        }
    }
    return items;
}

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

bool isAllowed(const KeyRule &rule, std::string_view value)
{
    switch (rule.type) {
    case Integer:
    case Real: {
        const auto number = parseNumber(value);
        const bool whole = value.find_first_not_of("0123456789") == std::string_view::npos;
        return number && *number >= rule.least && *number <= rule.most && (rule.type == Real || whole);
    }
    case Boolean:
        return value == "true" || value == "false";
    case Name:
        return isValidName(value);
    case NameList:
        return isList(rule, value, isValidName);
    case Word:
        return isOneOf(rule.words, value);
    case WordList:
        return isList(rule, value, [&rule](const std::string &item) {
            return isOneOf(rule.words, item);
        });
    case HashList:
        return isList(rule, value, isHash);
    case Address:
        return isAddress(value);
    case PathPattern:
        return isPathPattern(value);
    case Text:
        return value.size() <= LongestText;
    }
    return false;
}

std::string allowedValues(const KeyRule &rule)
{
    const std::string range = formatNumber(rule.least) + " to " + formatNumber(rule.most);
    std::string words(rule.words);
    std::ranges::replace(words, '|', ' ');
    switch (rule.type) {
    case Integer:
        return "whole number, " + range;
    case Real:
        return "number, " + range;
    case Boolean:
        return "true or false";
    case Name:
        return "1 to 128 letters, digits or . _ - / :";
    case NameList:
        return range + " different names, separated by commas";
    case Word:
        return "one of " + words;
    case WordList:
        return range + " different ones of " + words + ", separated by commas";
    case HashList:
        return range + " different SHA-256 hashes of 64 lower-case hexadecimal digits, separated by commas";
    case Address:
        return "IP address and port, such as 10.0.0.1:8000 or [::1]:8000";
    case PathPattern:
        return "path that starts with /; * for one segment, ** at the end for any number";
    case Text:
        return "up to 200 characters";
    }
    return {};
}

} // namespace ibismast
