#pragma once

#include <Operator.h>
#include <string>

/// Tables and JSON for the replies of the operator service.
namespace ibismast::ctl
{

/// Form of the output.
enum class OutputForm : std::uint8_t {
    Table,
    Json,
};

/// Returns @p text as a JSON string with quotes. Bytes that are not UTF-8 are kept as they are.
[[nodiscard]] std::string jsonString(const std::string &text);

[[nodiscard]] std::string show(const std::vector<wire::operators::Issue> &issues, OutputForm form);
[[nodiscard]] std::string show(const wire::operators::PlanReply &reply, OutputForm form);
[[nodiscard]] std::string show(const wire::operators::ChangeReply &reply, OutputForm form, const std::string &changeId);
[[nodiscard]] std::string show(const wire::operators::StatusReply &reply, OutputForm form);
[[nodiscard]] std::string show(const wire::operators::HistoryReply &reply, OutputForm form);
[[nodiscard]] std::string show(const wire::operators::ShowReply &reply, OutputForm form);
[[nodiscard]] std::string show(const wire::operators::OperatorError &error, OutputForm form);

} // namespace ibismast::ctl
