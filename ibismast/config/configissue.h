#pragma once

#include <string>
#include <vector>

namespace ibismast
{

/// One fault of a declaration, with its place and what is allowed instead.
struct ConfigIssue
{
    std::string file;
    /// Line in `file`, counted from 1; 0 if the fault has no line.
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
    /// What is wrong, for example `unknown key`.
    std::string problem;
    /// Allowed values or range; empty if the problem says it all.
    std::string allowed;

    bool operator==(const ConfigIssue &) const = default;
};

using ConfigIssues = std::vector<ConfigIssue>;

/// Returns @p issue as `file:line: [section] key = value: problem; allowed: range`.
[[nodiscard]] std::string toString(const ConfigIssue &issue);
/// Returns the first issues, one per line, and the number of those left out.
[[nodiscard]] std::string toString(const ConfigIssues &issues);

} // namespace ibismast
