#include "ibismast/entry/operationidpool.h"

namespace ibismast
{

OperationIdPool::OperationIdPool(EntryContext &context) : m_context(context) { }

void OperationIdPool::requestBlockIfLow(const Upstream &agent, TimePoint now, EntryActions &out)
{
    if (agent.load.services.empty() || !agent.routable || !m_context.upstreams.isInSubset(agent)) {
        return;
    }
    Ids &ids = m_ids[agent.id];
    if (ids.incarnation != agent.incarnation) {
        ids = Ids();
        ids.incarnation = agent.incarnation;
    }
    const bool requestPending = ids.call != 0 && now - ids.requestedAt < m_context.settings.answerTimeout;
    // The next block is requested while half of the current one is left, so that calls do not have to wait for it.
    if (requestPending || ids.end - ids.next > m_context.settings.operationBlock / 2) {
        return;
    }
    ids.call = ++m_lastCall;
    ids.requestedAt = now;
    out.emplace_back(SendToPeer {agent.id, IssueOperations {ids.call, m_context.settings.operationBlock}});
}

bool OperationIdPool::addBlock(const PeerFrame &frame, const OperationsIssued &block)
{
    const auto ids = m_ids.find(frame.sender);
    if (ids == m_ids.end() || ids->second.incarnation != frame.incarnation || ids->second.call != block.call) {
        return false;
    }
    // The rest of the previous block is discarded: ids have 64 bits, so an agent does not run out of them.
    ids->second.next = block.first;
    ids->second.end = block.first + block.count;
    ids->second.call = 0;
    return true;
}

void OperationIdPool::removeAgent(const InstanceId &agent)
{
    m_ids.erase(agent);
}

bool OperationIdPool::hasId(const Upstream &agent) const
{
    const auto ids = m_ids.find(agent.id);
    return ids != m_ids.end() && ids->second.incarnation == agent.incarnation && ids->second.next < ids->second.end;
}

std::optional<OperationId> OperationIdPool::take(const Upstream &agent)
{
    if (!hasId(agent)) {
        return std::nullopt;
    }
    Ids &ids = m_ids[agent.id];
    return OperationId {agent.id, ids.incarnation, ids.next++};
}

} // namespace ibismast
