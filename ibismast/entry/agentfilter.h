#pragma once

#include "ibismast/entry/operationpool.h"
#include "ibismast/entry/servicecall.h"

namespace ibismast
{

/// Accepts the agents that a call was not sent to and whose circuit breaker is closed.
class AgentFilter : public RouteFilter
{
public:
    /// If @p pool is not null, only agents with operation ids in stock are accepted.
    AgentFilter(const ServiceCall &call, const EntryContext &context, const OperationPool *pool, TimePoint now);

    [[nodiscard]] bool accepts(const Upstream &agent) const override;

private:
    const ServiceCall &m_call;
    const EntryContext &m_context;
    const OperationPool *m_pool;
    TimePoint m_now;
};

} // namespace ibismast
