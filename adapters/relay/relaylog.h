#pragma once

#include "adapters/plumbing/metrics.h"

#include "ibismast/core/eventlistener.h"

namespace ibismast
{

/// Writes each decision of a relay process as one line of its log and counts it. The log itself is bounded.
class RelayLog final : public EventListener
{
public:
    explicit RelayLog(Metrics &metrics);

    void onEvent(std::string_view name, const std::vector<LogField> &fields) override;

private:
    Metrics *m_metrics;
};

} // namespace ibismast
