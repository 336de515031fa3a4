#pragma once

#include "ibismast/entry/entryactions.h"

namespace ibismast
{

/// Upstream of a group with the segment of the prompt that it prefills.
struct GroupMember
{
    InstanceId upstream;
    Incarnation incarnation;
    /// Prompt tokens before the segment.
    Tokens offset;
    /// Prompt tokens of the segment.
    Tokens length;
    /// KV memory to reserve, in tokens: the segment, plus the output tokens at the last member.
    Tokens amount;
};

/// Reserves KV memory at all members of a group, or at none.
///
/// The members are asked one at a time, in ascending order of their instance ids. This prevents deadlocks between
/// groups that compete for the same upstreams. If a member refuses, does not answer in time or is lost, the
/// reservations of all members asked so far are released.
class GroupReservation
{
public:
    enum class State : std::uint8_t {
        Reserving,
        Reserved,
        /// A member did not reserve, or `release` was called.
        Failed,
    };

    /// @p members must be sorted by instance id. @p owner is also the id of the attempt that the members run later.
    /// @p deadline is that of the request.
    GroupReservation(const AttemptId &owner, ModelName model, std::vector<GroupMember> members, TimePoint deadline);

    /// Asks the first member.
    void start(TimePoint now, EntryActions &out);
    /// Handles the answer of a member; ignores answers other than that of the member asked last.
    void handle(const PeerFrame &frame, const ReserveResult &result, TimePoint now, EntryActions &out);
    /// The member asked last did not answer in time.
    void timeOut(EntryActions &out);
    /// Releases the reservations of all members asked so far, except those in @p except, to which the attempt was
    /// dispatched.
    void release(const std::vector<InstanceId> &except, EntryActions &out);

    [[nodiscard]] const AttemptId &owner() const;
    [[nodiscard]] State state() const;
    /// Error of the reservation; set if a refusal or a timeout made it fail.
    [[nodiscard]] const Error &error() const;
    [[nodiscard]] const std::vector<GroupMember> &members() const;
    [[nodiscard]] bool contains(const InstanceId &upstream) const;

private:
    /// Sends the reservation request to the next member.
    void reserveNext(TimePoint now, EntryActions &out);
    void fail(Error error, EntryActions &out);

    AttemptId m_owner;
    ModelName m_model;
    std::vector<GroupMember> m_members;
    TimePoint m_deadline;
    State m_state = State::Reserving;
    Error m_error;
    /// Number of members that were asked. While the state is `Reserving`, all but the last of them hold a reservation.
    std::size_t m_asked = 0;
};

} // namespace ibismast
