#pragma once

#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Pool of operation ids that agents of plain services issued in advance, so that calls need not wait for them.
class OperationIdPool
{
public:
    explicit OperationIdPool(EntryContext &context);

    /// Requests a block of ids from @p agent if at most half a block is left. Does nothing for agents that serve no
    /// plain service, are not routable or are outside the subset.
    void requestBlockIfLow(const Upstream &agent, TimePoint now, EntryActions &out);
    /// Stores an issued block; returns false if it does not answer the pending request.
    bool addBlock(const PeerFrame &frame, const OperationsIssued &block);
    /// Discards the ids of an agent that was lost or restarted.
    void removeAgent(const InstanceId &agent);
    /// True if an unused id of the agent's current incarnation is available.
    [[nodiscard]] bool hasId(const Upstream &agent) const;
    /// Takes an id of the agent's current incarnation from the pool, or returns nothing if none is available.
    [[nodiscard]] std::optional<OperationId> take(const Upstream &agent);

private:
    struct Ids
    {
        Incarnation incarnation;
        /// Unused ids: from `next` up to, but not including, `end`.
        std::uint64_t next = 0;
        std::uint64_t end = 0;
        /// Number of the pending request for a block; 0 if there is none.
        std::uint64_t call = 0;
        TimePoint requestedAt;
    };

    EntryContext &m_context;
    std::map<InstanceId, Ids> m_ids;
    std::uint64_t m_lastCall = 0;
};

} // namespace ibismast
