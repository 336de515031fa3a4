#include "daemons/ctl/ctloutput.h"

#include "ibismast/config/configdiff.h"
#include "ibismast/config/configissue.h"
#include "ibismast/core/resultcode.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace ibismast::ctl
{

namespace
{

namespace wo = wire::operators;

// Joins the texts of @p items, made by @p text, between the brackets.
template<typename Items, typename Text>
std::string join(const Items &items, const char *open, const char *close, const Text &text)
{
    std::string result = open;
    bool first = true;
    for (const auto &item : items) {
        result += first ? "" : ",";
        result += text(item);
        first = false;
    }
    return result + close;
}

std::string jsonValues(const std::map<std::string, std::string> &values)
{
    return join(values, "{", "}", [](const auto &entry) {
        return jsonString(entry.first) + ':' + jsonString(entry.second);
    });
}

std::string jsonNumbers(const std::map<std::string, std::int64_t> &values)
{
    return join(values, "{", "}", [](const auto &entry) {
        return jsonString(entry.first) + ':' + std::to_string(entry.second);
    });
}

std::string jsonIssues(const std::vector<wo::Issue> &issues)
{
    return join(issues, "[", "]", [](const wo::Issue &issue) {
        return R"({"file":)" + jsonString(issue.file) + R"(,"line":)" + std::to_string(issue.line) + R"(,"section":)"
            + jsonString(issue.section) + R"(,"key":)" + jsonString(issue.key) + R"(,"value":)"
            + jsonString(issue.value) + R"(,"problem":)" + jsonString(issue.problem) + R"(,"allowed":)"
            + jsonString(issue.allowed) + '}';
    });
}

std::string jsonEdits(const std::vector<wo::Edit> &edits)
{
    return join(edits, "[", "]", [](const wo::Edit &edit) {
        return R"({"object":)" + jsonString(edit.object) + R"(,"before":)"
            + (edit.__isset.before ? jsonValues(edit.before) : "null") + R"(,"after":)"
            + (edit.__isset.after ? jsonValues(edit.after) : "null") + '}';
    });
}

std::string jsonChanges(const std::vector<wo::Change> &changes)
{
    return join(changes, "[", "]", [](const wo::Change &change) {
        return R"({"revision":)" + std::to_string(change.revision) + R"(,"change_id":)" + jsonString(change.changeId)
            + R"(,"author":)" + jsonString(change.author) + R"(,"reason":)" + jsonString(change.reason)
            + R"(,"time_ms":)" + std::to_string(change.time) + R"(,"edits":)" + jsonEdits(change.edits) + '}';
    });
}

std::string tableIssues(const std::vector<wo::Issue> &issues)
{
    std::string text;
    for (const wo::Issue &issue : issues) {
        text += toString(ConfigIssue {
                    issue.file, issue.line, issue.section, issue.key, issue.value, issue.problem, issue.allowed})
            + '\n';
    }
    return text;
}

std::string tableEdits(const std::vector<wo::Edit> &edits)
{
    std::vector<ConfigEdit> converted;
    converted.reserve(edits.size());
    for (const wo::Edit &edit : edits) {
        converted.push_back({edit.object,
                             edit.__isset.before ? std::optional(edit.before) : std::nullopt,
                             edit.__isset.after ? std::optional(edit.after) : std::nullopt});
    }
    return toString(converted);
}

std::string timeText(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1'000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer {};
    const auto length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buffer.data(), length};
}

std::string codeName(std::int32_t code)
{
    for (const ResultCodeInfo &info : resultCodes()) {
        if (static_cast<std::int32_t>(info.code) == code) {
            return std::string(info.name);
        }
    }
    return "code " + std::to_string(code);
}

// Returns rows as columns that are padded to their widest cell.
std::string table(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size()) {
                line += std::string(widths[column] + 2 - row[column].size(), ' ');
            }
        }
        text += line + '\n';
    }
    return text;
}

} // namespace

std::string jsonString(const std::string &text)
{
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        } else if (static_cast<unsigned char>(character) < 0x20) {
            std::array<char, 8> buffer {};
            std::snprintf(buffer.data(), buffer.size(), "\\u%04x", static_cast<unsigned>(character));
            result += buffer.data();
        } else {
            result += character;
        }
    }
    return result + '"';
}

std::string show(const std::vector<wo::Issue> &issues, OutputForm form)
{
    if (form == OutputForm::Json) {
        return R"({"issues":)" + jsonIssues(issues) + "}\n";
    }
    return issues.empty() ? "valid\n" : tableIssues(issues);
}

std::string show(const wo::PlanReply &reply, OutputForm form)
{
    if (form == OutputForm::Json) {
        return R"({"revision":)" + std::to_string(reply.revision) + R"(,"edits":)" + jsonEdits(reply.edits)
            + R"(,"expected":)" + jsonNumbers(reply.expected) + R"(,"issues":)" + jsonIssues(reply.issues) + "}\n";
    }
    const std::string head = "plan against revision " + std::to_string(reply.revision) + '\n';
    return head + (reply.edits.empty() ? "no changes\n" : tableEdits(reply.edits)) + tableIssues(reply.issues);
}

std::string show(const wo::ChangeReply &reply, OutputForm form, const std::string &changeId)
{
    if (form == OutputForm::Json) {
        return R"({"code":)" + std::to_string(reply.code) + R"(,"name":)" + jsonString(codeName(reply.code))
            + R"(,"change_id":)" + jsonString(changeId) + R"(,"revision":)" + std::to_string(reply.revision)
            + R"(,"message":)" + jsonString(reply.message) + R"(,"edits":)" + jsonEdits(reply.edits) + R"(,"between":)"
            + jsonChanges(reply.between) + R"(,"issues":)" + jsonIssues(reply.issues) + "}\n";
    }
    std::string text =
        codeName(reply.code) + " revision " + std::to_string(reply.revision) + " change " + changeId + '\n';
    if (!reply.message.empty() && reply.issues.empty()) {
        text += reply.message + '\n';
    }
    text += tableIssues(reply.issues);
    for (const wo::Change &change : reply.between) {
        text += "revision " + std::to_string(change.revision) + " by " + change.author + " at " + timeText(change.time)
            + " came between:\n" + tableEdits(change.edits);
    }
    return text;
}

std::string show(const wo::StatusReply &reply, OutputForm form)
{
    if (form == OutputForm::Json) {
        const auto boolean = [](bool value) {
            return std::string(value ? "true" : "false");
        };
        return R"({"revision":)" + std::to_string(reply.revision) + R"(,"in_force_here":)"
            + std::to_string(reply.inForceHere) + R"(,"ready":)" + boolean(reply.ready) + R"(,"relay":)"
            + boolean(reply.relay) + R"(,"store_available":)" + boolean(reply.storeAvailable) + R"(,"peers":)"
            + std::to_string(reply.peers) + R"(,"peers_in_force":)" + std::to_string(reply.peersInForce)
            + R"(,"lagging":)" + jsonNumbers(reply.lagging) + "}\n";
    }
    std::vector<std::vector<std::string>> rows {
        {"revision", std::to_string(reply.revision)},
        {"in force here", std::to_string(reply.inForceHere)},
        {"ready", reply.ready ? "yes" : "no"},
        {"relay", reply.relay ? "yes" : "no"},
        {"store", reply.storeAvailable ? "available" : "unavailable"},
        {"peers in force", std::to_string(reply.peersInForce) + " of " + std::to_string(reply.peers)}};
    for (const auto &[peer, revision] : reply.lagging) {
        rows.push_back({"lagging " + peer, std::to_string(revision)});
    }
    return table(rows);
}

std::string show(const wo::HistoryReply &reply, OutputForm form)
{
    if (form == OutputForm::Json) {
        const std::string audit = join(reply.audit, "[", "]", [](const wo::AuditEntry &entry) {
            return R"({"time_ms":)" + std::to_string(entry.time) + R"(,"who":)" + jsonString(entry.who) + R"(,"role":)"
                + jsonString(entry.role) + R"(,"action":)" + jsonString(entry.action) + R"(,"change_id":)"
                + jsonString(entry.changeId) + R"(,"from":)" + std::to_string(entry.fromRevision) + R"(,"to":)"
                + std::to_string(entry.toRevision) + R"(,"code":)" + std::to_string(entry.code) + R"(,"message":)"
                + jsonString(entry.message) + R"(,"diff":)" + jsonString(entry.diff) + '}';
        });
        return R"({"changes":)" + jsonChanges(reply.changes) + R"(,"audit":)" + audit + "}\n";
    }
    std::vector<std::vector<std::string>> rows;
    if (!reply.audit.empty()) {
        rows.push_back({"TIME", "WHO", "ROLE", "ACTION", "FROM", "TO", "OUTCOME", "CHANGE"});
        for (const wo::AuditEntry &entry : reply.audit) {
            rows.push_back({timeText(entry.time),
                            entry.who,
                            entry.role,
                            entry.action,
                            std::to_string(entry.fromRevision),
                            std::to_string(entry.toRevision),
                            codeName(entry.code),
                            entry.changeId});
        }
        return table(rows);
    }
    rows.push_back({"REVISION", "TIME", "AUTHOR", "OBJECTS", "CHANGE", "REASON"});
    for (const wo::Change &change : reply.changes) {
        rows.push_back({std::to_string(change.revision),
                        timeText(change.time),
                        change.author,
                        std::to_string(change.edits.size()),
                        change.changeId,
                        change.reason});
    }
    return table(rows);
}

std::string show(const wo::ShowReply &reply, OutputForm form)
{
    if (form == OutputForm::Json) {
        const std::string objects = join(reply.objects, "{", "}", [](const auto &entry) {
            return jsonString(entry.first) + R"(:{"version":)" + std::to_string(entry.second.version) + R"(,"values":)"
                + jsonValues(entry.second.values) + '}';
        });
        return R"({"revision":)" + std::to_string(reply.revision) + R"(,"objects":)" + objects + "}\n";
    }
    std::string text = "# revision " + std::to_string(reply.revision) + '\n';
    for (const auto &[name, object] : reply.objects) {
        text += "\n# version ";
        text += std::to_string(object.version);
        text.append("\n[").append(name).append("]\n");
        for (const auto &[key, value] : object.values) {
            text.append(key).append(" = ").append(value).append(1, '\n');
        }
    }
    return text;
}

std::string show(const wo::OperatorError &error, OutputForm form)
{
    if (form == OutputForm::Json) {
        return R"({"error":{"code":)" + std::to_string(error.code) + R"(,"name":)" + jsonString(error.name)
            + R"(,"message":)" + jsonString(error.message) + "}}\n";
    }
    return error.name + ": " + error.message + '\n';
}

} // namespace ibismast::ctl
