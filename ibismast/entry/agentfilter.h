#pragma once

#include "ibismast/entry/operationidpool.h"
#include "ibismast/entry/servicecall.h"

namespace ibismast
{

/// Route filter for calls of plain services: accepts agents that the call has not been sent to yet and whose circuit
/// breaker lets work through.
class AgentFilter : public RouteFilter
{
public:
    /// If @p pool is not null, agents for which it holds no unused operation id are rejected.
    AgentFilter(const ServiceCall &call, const EntryContext &context, const OperationIdPool *pool, TimePoint now);

    [[nodiscard]] bool accepts(const Upstream &agent) const override;

private:
    const ServiceCall &m_call;
    const EntryContext &m_context;
    const OperationIdPool *m_pool;
    TimePoint m_now;
};

} // namespace ibismast
