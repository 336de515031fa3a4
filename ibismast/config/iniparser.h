#pragma once

#include "ibismast/config/configissue.h"

#include <map>
#include <string>
#include <string_view>

namespace ibismast
{

/// Value of a key with its line.
struct IniValue
{
    std::string value;
    int line = 0;
};

/// Section of an INI file.
struct IniSection
{
    int line = 0;
    std::map<std::string, IniValue> values;
};

/// Contents of an INI file, or the faults that were found.
struct IniDocument
{
    std::string file;
    std::map<std::string, IniSection> sections;
    ConfigIssues issues;
};

/// Parses INI text strictly: a line is empty, a comment that starts with `#` or `;`, `[section]`, or `key = value` in a
/// section. A repeated section or key, an empty key, a control character and any other line are faults. White space
/// around names and values and repeated spaces in section names are ignored.
///
/// Boost.PropertyTree was not used, because it keeps no line numbers behind the parser and no faults after the first.
[[nodiscard]] IniDocument parseIni(const std::string &file, std::string_view text);

} // namespace ibismast
