#include "ibismast/entry/operationpool.h"

namespace ibismast
{

OperationPool::OperationPool(EntryContext &context) : m_context(context) { }

void OperationPool::maintain(const Upstream &agent, TimePoint now, EntryActions &out)
{
    if (agent.load.services.empty() || !agent.routable || !m_context.upstreams.isInSubset(agent)) {
        return;
    }
    Ids &ids = m_ids[agent.id];
    if (ids.incarnation != agent.incarnation) {
        ids = Ids();
        ids.incarnation = agent.incarnation;
    }
    const bool asked = ids.call != 0 && now - ids.askedAt < m_context.settings.answerTimeout;
    // Half a block is left when the next one is asked for, so that calls do not wait for it.
    if (asked || ids.end - ids.next > m_context.settings.operationBlock / 2) {
        return;
    }
    ids.call = ++m_lastCall;
    ids.askedAt = now;
    out.emplace_back(SendToPeer {agent.id, IssueOperations {ids.call, m_context.settings.operationBlock}});
}

bool OperationPool::issued(const PeerFrame &frame, const OperationsIssued &block)
{
    const auto ids = m_ids.find(frame.sender);
    if (ids == m_ids.end() || ids->second.incarnation != frame.incarnation || ids->second.call != block.call) {
        return false;
    }
    // The rest of the earlier block is given up; agents have ids enough.
    ids->second.next = block.first;
    ids->second.end = block.first + block.count;
    ids->second.call = 0;
    return true;
}

void OperationPool::drop(const InstanceId &agent)
{
    m_ids.erase(agent);
}

bool OperationPool::has(const Upstream &agent) const
{
    const auto ids = m_ids.find(agent.id);
    return ids != m_ids.end() && ids->second.incarnation == agent.incarnation && ids->second.next < ids->second.end;
}

std::optional<OperationId> OperationPool::take(const Upstream &agent)
{
    if (!has(agent)) {
        return std::nullopt;
    }
    Ids &ids = m_ids[agent.id];
    return OperationId {agent.id, ids.incarnation, ids.next++};
}

} // namespace ibismast
