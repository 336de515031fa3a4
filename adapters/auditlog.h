#pragma once

#include "ibismast/core/eventlistener.h"

namespace ibismast
{

/// Writes the audit records of the operators' calls to the log, also at its usual level.
class AuditLog final : public EventListener
{
public:
    void onEvent(std::string_view name, const std::vector<LogField> &fields) override;
};

} // namespace ibismast
