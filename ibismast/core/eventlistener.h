#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibismast
{

/// Key and value of a log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// Receives what happens inside a state machine, for logs and metrics. The default ignores everything.
class EventListener
{
public:
    virtual ~EventListener() = default;

    /// Called for each noteworthy event; @p name is a fixed identifier such as `request_admitted`.
    virtual void onEvent(std::string_view name, const std::vector<LogField> &fields);
};

} // namespace ibismast
