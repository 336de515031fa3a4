#pragma once

#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Operation ids that agents of plain services issued ahead of the calls that need them.
class OperationPool
{
public:
    explicit OperationPool(EntryContext &context);

    /// Asks @p agent for a block if its ids run low.
    void maintain(const Upstream &agent, TimePoint now, EntryActions &out);
    /// Stores an issued block; returns false if it was not asked for.
    bool issued(const PeerFrame &frame, const OperationsIssued &block);
    /// Forgets the ids of an agent that was lost or restarted.
    void drop(const InstanceId &agent);
    [[nodiscard]] bool has(const Upstream &agent) const;
    /// Takes an id of @p agent's present incarnation.
    [[nodiscard]] std::optional<OperationId> take(const Upstream &agent);

private:
    struct Ids
    {
        Incarnation incarnation;
        std::uint64_t next = 0;
        std::uint64_t end = 0;
        /// Number of the request under way; 0 if there is none.
        std::uint64_t call = 0;
        TimePoint askedAt;
    };

    EntryContext &m_context;
    std::map<InstanceId, Ids> m_ids;
    std::uint64_t m_lastCall = 0;
};

} // namespace ibismast
