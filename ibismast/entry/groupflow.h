#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Serves prompts that do not fit into one upstream: plans the group, reserves, and passes the prompt from member to
/// member. The last member generates the answer.
class GroupFlow
{
public:
    explicit GroupFlow(EntryContext &context);

    /// True if the live upstreams of the model report their memory and none can hold the request alone.
    [[nodiscard]] bool needsGroup(const Completion &completion) const;
    /// Begins to reserve a group for the next attempt and returns nothing, or returns the reason why there is none.
    [[nodiscard]] std::optional<Error> start(Completion &completion, TimePoint now, EntryActions &out);
    /// Dispatches the segment with index @p index, which imports the KV segment named by @p importHandle.
    void dispatchSegment(
        Completion &completion, std::uint32_t index, std::string importHandle, TimePoint now, EntryActions &out);
    /// Gives back the member before the one that is running, whose KV segment has been imported.
    void releaseImported(Completion &completion, EntryActions &out);
    /// Ends the group: cancels its running members and releases all others.
    void close(Completion &completion, EntryActions &out);

private:
    [[nodiscard]] std::vector<Upstream *> candidates(const Completion &completion, TimePoint now) const;
    /// Chooses members and their segments; empty if the candidates cannot hold the request.
    [[nodiscard]] std::vector<GroupMember>
    plan(const Completion &completion, const std::vector<Upstream *> &candidates, bool freeOnly) const;

    EntryContext &m_context;
};

} // namespace ibismast
