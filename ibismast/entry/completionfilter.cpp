#include "ibismast/entry/completionfilter.h"

namespace ibismast
{

CompletionFilter::CompletionFilter(const Completion &completion, const EntryContext &context, TimePoint now)
    : m_completion(completion), m_context(context), m_now(now), m_demand(completion.demand(now))
{
}

bool CompletionFilter::accepts(const Upstream &upstream) const
{
    if (m_completion.tried(upstream.id) || !m_context.health.allows(upstream.id, m_now)) {
        return false;
    }
    // Upstreams of one joint-failure set tend to fail together, so a retry on them would probably fail as well.
    if (m_completion.firstFailedUpstream
        && m_context.health.areCorrelated(*m_completion.firstFailedUpstream, upstream.id, m_now)) {
        return false;
    }
    if (upstream.load.memoryCapacity > Tokens()
        && m_context.usableMemory(upstream, m_completion.priorityClass) < m_completion.work()) {
        return false;
    }
    const Error *refusal = m_context.refusals.find(upstream.id, m_demand, m_now);
    if (refusal != nullptr) {
        m_expectedRefusal = refusal;
        return false;
    }
    return true;
}

const Error *CompletionFilter::expectedRefusal() const
{
    return m_expectedRefusal;
}

} // namespace ibismast
