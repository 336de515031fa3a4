#pragma once

#include "ibismast/core/result.h"

#include <map>
#include <set>
#include <vector>

namespace ibismast
{

/// INI file whose every key is checked.
///
/// Reads are typed and name the allowed range. Violations are collected, and `finish` also reports sections and keys
/// that nobody has read, so that a misspelt key is not silently replaced by its default. QSettings is not used: it
/// takes the last of two equal keys, splits values at commas and reads on behind a malformed line.
class SettingsFile
{
public:
    /// Reads the file @p path. Fails with `SettingsInvalid` if it cannot be read or has the wrong form.
    [[nodiscard]] static Result<SettingsFile> read(const std::string &path);
    /// Reads @p text; @p name stands for the file in messages.
    [[nodiscard]] static Result<SettingsFile> parse(std::string name, const std::string &text);

    /// Returns the sections whose names begin with @p prefix, without it, in ascending order.
    [[nodiscard]] std::vector<std::string> sections(const std::string &prefix);
    /// True if the key is set.
    [[nodiscard]] bool has(const std::string &section, const std::string &key) const;

    /// Returns a text; without a value in the file the default, or a violation if there is none.
    [[nodiscard]] std::string
    text(const std::string &section, const std::string &key, const std::optional<std::string> &defaultValue);
    /// Returns an integer from @p min to @p max.
    [[nodiscard]] std::int64_t integer(const std::string &section,
                                       const std::string &key,
                                       std::int64_t defaultValue,
                                       std::int64_t min,
                                       std::int64_t max);
    /// Returns a number from @p min to @p max.
    [[nodiscard]] double
    number(const std::string &section, const std::string &key, double defaultValue, double min, double max);
    /// Returns a time that is written in milliseconds, from @p min to @p max.
    [[nodiscard]] Duration milliseconds(const std::string &section,
                                        const std::string &key,
                                        Duration defaultValue,
                                        std::chrono::milliseconds min,
                                        std::chrono::milliseconds max);
    /// Returns the comma-separated elements of a value without blanks around them.
    [[nodiscard]] std::vector<std::string> list(const std::string &section, const std::string &key);

    /// Reports @p value of a key as wrong; @p expected describes the allowed range.
    void
    refuse(const std::string &section, const std::string &key, const std::string &value, const std::string &expected);
    /// Returns all violations, one a line, as `SettingsInvalid`; nothing if the file is valid. Called after all reads.
    [[nodiscard]] std::optional<Error> finish();

private:
    explicit SettingsFile(std::string name) : m_name(std::move(name)) { }

    [[nodiscard]] std::optional<std::string> value(const std::string &section, const std::string &key);

    std::string m_name;
    std::map<std::string, std::map<std::string, std::string>> m_sections;
    std::map<std::string, std::set<std::string>> m_known;
    std::vector<std::string> m_violations;
};

} // namespace ibismast
