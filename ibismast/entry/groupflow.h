#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"

namespace ibismast
{

/// Serves prompts that do not fit into the KV memory of one upstream. Selects a group of upstreams, reserves memory at
/// its members, and dispatches one segment of the prompt after the other. Each member exports the KV cache of its
/// segment to the next one; the last member generates the answer.
class GroupFlow
{
public:
    explicit GroupFlow(EntryContext &context);

    /// True if all upstreams of the model's subset report their KV memory and none of them can hold the request alone.
    [[nodiscard]] bool needsGroup(const Completion &completion) const;
    /// Starts to reserve a group for the next attempt. Returns an error if no group can hold the request.
    [[nodiscard]] std::optional<Error> start(Completion &completion, TimePoint now, EntryActions &out);
    /// Dispatches the segment with index @p index. Its member imports the KV cache of the preceding segments, named by
    /// @p importHandle; the handle is empty for the first segment.
    void dispatchSegment(
        Completion &completion, std::uint32_t index, std::string importHandle, TimePoint now, EntryActions &out);
    /// Ends the group: cancels the attempt at members where it is open and releases the reservations of members that it
    /// was not dispatched to.
    void close(Completion &completion, EntryActions &out);

private:
    [[nodiscard]] std::vector<Upstream *> candidates(const Completion &completion, TimePoint now) const;
    /// Selects members and their segments; empty if the candidates cannot hold the request. If @p freeOnly is true,
    /// only memory that is free now is used.
    [[nodiscard]] std::vector<GroupMember>
    plan(const Completion &completion, const std::vector<Upstream *> &candidates, bool freeOnly) const;

    EntryContext &m_context;
};

} // namespace ibismast
