#include "ibismast/entry/agentfilter.h"

#include <algorithm>

namespace ibismast
{

AgentFilter::AgentFilter(const ServiceCall &call,
                         const EntryContext &context,
                         const OperationIdPool *pool,
                         TimePoint now)
    : m_call(call), m_context(context), m_pool(pool), m_now(now)
{
}

bool AgentFilter::accepts(const Upstream &agent) const
{
    return std::ranges::find(m_call.triedAgents, agent.id) == m_call.triedAgents.end()
        && m_context.health.allows(agent.id, m_now) && (m_pool == nullptr || m_pool->hasId(agent));
}

} // namespace ibismast
