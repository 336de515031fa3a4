#include "adapters/plumbing/logging.h"

#include "adapters/plumbing/boundedlogsink.h"
#include "adapters/plumbing/jsontext.h"
#include "adapters/plumbing/metrics.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

namespace ibismast
{

namespace
{

/// Bytes of log lines that wait for a slow reader.
constexpr std::size_t MaxWaitingLogBytes = std::size_t {256} * 1024;

} // namespace

void setUpLogging(spdlog::level::level_enum level)
{
    auto sink = std::make_shared<BoundedLogSink>(STDOUT_FILENO, MaxWaitingLogBytes);
    auto logger = std::make_shared<spdlog::logger>("ibismast", std::move(sink));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->set_level(level);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

std::string eventLine(std::string_view name, const std::vector<LogField> &fields)
{
    std::string line = "event=";
    line += name;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        // A value from outside must not be able to begin a new line or field.
        const bool plain = !field.value.empty() && field.value.find_first_of(" =\"\\\t\r\n") == std::string::npos;
        line += plain ? field.value : jsonString(field.value);
    }
    return line;
}

void logEvent(spdlog::level::level_enum level, std::string_view name, const std::vector<LogField> &fields)
{
    if (spdlog::should_log(level)) {
        spdlog::log(level, "{}", eventLine(name, fields));
    }
}

LoggingListener::LoggingListener(Metrics *metrics) : m_metrics(metrics) { }

void LoggingListener::onEvent(std::string_view name, const std::vector<LogField> &fields)
{
    if (m_metrics != nullptr) {
        m_metrics->add("ibismast_events_total", {{"event", std::string(name)}});
    }
    // Events of single requests are too many for the usual level at 70,000 requests/s.
    logEvent(spdlog::level::debug, name, fields);
}

} // namespace ibismast
