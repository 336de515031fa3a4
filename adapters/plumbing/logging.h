#pragma once

#include "ibismast/core/eventlistener.h"

#include <spdlog/common.h>

namespace ibismast
{

class Metrics;

/// Prepares the process's log: one line per event on standard output, with time, level and key=value fields.
/// A slow reader of the log never blocks the process; lines that do not fit are dropped and counted.
void setUpLogging(spdlog::level::level_enum level);

/// Writes one line `event=<name> key=value ...`; values with blanks or quotes are quoted.
void logEvent(spdlog::level::level_enum level, std::string_view name, const std::vector<LogField> &fields);

/// Returns the line that `logEvent` writes.
[[nodiscard]] std::string eventLine(std::string_view name, const std::vector<LogField> &fields);

/// Writes the events of a state machine to the log and counts them.
class LoggingListener final : public EventListener
{
public:
    /// @p metrics may be null.
    explicit LoggingListener(Metrics *metrics);

    void onEvent(std::string_view name, const std::vector<LogField> &fields) override;

private:
    Metrics *m_metrics;
};

} // namespace ibismast
