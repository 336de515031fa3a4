#include "ibismast/config/configissue.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// An error message with more lines than this is not read to its end.
constexpr std::size_t LongestList = 20;

} // namespace

std::string toString(const ConfigIssue &issue)
{
    std::string text = issue.file.empty() ? std::string("configuration") : issue.file;
    if (issue.line > 0) {
        text += ':' + std::to_string(issue.line);
    }
    text += ": ";
    if (!issue.section.empty()) {
        text += '[' + issue.section + "] ";
    }
    if (!issue.key.empty()) {
        text += issue.key + " = " + issue.value + ": ";
    }
    text += issue.problem;
    if (!issue.allowed.empty()) {
        text += "; allowed: " + issue.allowed;
    }
    return text;
}

std::string toString(const ConfigIssues &issues)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(issues.size(), LongestList); ++index) {
        text += (index == 0 ? "" : "\n") + toString(issues[index]);
    }
    if (issues.size() > LongestList) {
        text += "\nand " + std::to_string(issues.size() - LongestList) + " more";
    }
    return text;
}

} // namespace ibismast
