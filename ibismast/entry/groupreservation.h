#pragma once

#include "ibismast/entry/entryactions.h"

namespace ibismast
{

/// Part of a prompt that one upstream of a group prefills.
struct GroupMember
{
    InstanceId upstream;
    Incarnation incarnation;
    /// Prompt tokens before the segment.
    Tokens offset;
    /// Prompt tokens of the segment.
    Tokens length;
    /// KV memory to reserve: the segment, and the generated tokens at the last member.
    Tokens amount;
};

/// Reserves memory at all members of a group, or at none.
///
/// The members are asked in ascending order of their instance ids, one at a time, so that groups that compete for the
/// same upstreams cannot wait for each other in a circle. A refusal, a missing answer or the loss of a member releases
/// what is held at all others.
class GroupReservation
{
public:
    enum class State : std::uint8_t {
        Reserving,
        Reserved,
        Failed,
    };

    /// @p members are ordered by instance id. @p owner also identifies the attempt that the members run later.
    GroupReservation(const AttemptId &owner, ModelName model, std::vector<GroupMember> members, TimePoint deadline);

    /// Asks the first member.
    void start(TimePoint now, EntryActions &out);
    /// Handles the answer of a member; ignores answers that are not awaited.
    void handle(const PeerFrame &frame, const ReserveResult &result, TimePoint now, EntryActions &out);
    /// The awaited answer did not come in time.
    void timeOut(EntryActions &out);
    /// Releases the members; those in @p except have ended otherwise.
    void release(const std::vector<InstanceId> &except, EntryActions &out);

    [[nodiscard]] const AttemptId &owner() const;
    [[nodiscard]] State state() const;
    /// Reason of the failure if the state is `Failed`.
    [[nodiscard]] const Error &error() const;
    [[nodiscard]] const std::vector<GroupMember> &members() const;
    [[nodiscard]] bool contains(const InstanceId &upstream) const;

private:
    void ask(TimePoint now, EntryActions &out);
    void fail(Error error, EntryActions &out);

    AttemptId m_owner;
    ModelName m_model;
    std::vector<GroupMember> m_members;
    TimePoint m_deadline;
    State m_state = State::Reserving;
    Error m_error;
    /// Number of members that were asked; all but the last of them hold a reservation while the state is `Reserving`.
    std::size_t m_asked = 0;
};

} // namespace ibismast
