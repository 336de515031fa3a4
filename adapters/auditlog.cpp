#include "adapters/auditlog.h"

#include "adapters/plumbing/logging.h"

namespace ibismast
{

void AuditLog::onEvent(std::string_view name, const std::vector<LogField> &fields)
{
    logEvent(spdlog::level::info, name, fields);
}

} // namespace ibismast
