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
    // A request that failed with one upstream would probably fail again with others that share its fate.
    if (m_completion.firstFailed && m_context.health.shareSet(*m_completion.firstFailed, upstream.id, m_now)) {
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
