#include "adapters/relay/relaylog.h"

#include "adapters/plumbing/logging.h"

#include <algorithm>
#include <cstdlib>

namespace ibismast
{

namespace
{

constexpr double MsPerSecond = 1000.0;

std::string_view field(const std::vector<LogField> &fields, std::string_view key)
{
    const auto found = std::ranges::find(fields, key, &LogField::key);
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

} // namespace

RelayLog::RelayLog(Metrics &metrics) : m_metrics(&metrics) { }

void RelayLog::onEvent(std::string_view name, const std::vector<LogField> &fields)
{
    m_metrics->add("ibismast_events_total", {{"event", std::string(name)}});
    if (name == "call_ended") {
        const Metrics::Labels labels {{"outcome", std::string(field(fields, "outcome"))}};
        m_metrics->observe(
            "ibismast_call_seconds", labels, std::atof(std::string(field(fields, "total_ms")).c_str()) / MsPerSecond);
        const std::string firstEvent(field(fields, "first_event_ms"));
        if (firstEvent != "none") {
            m_metrics->observe("ibismast_first_event_seconds", {}, std::atof(firstEvent.c_str()) / MsPerSecond);
        }
    }
    logEvent(spdlog::level::info, name, fields);
}

} // namespace ibismast
