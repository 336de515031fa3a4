#include "ibismast/entry/groupreservation.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

namespace
{

// Time by which a reservation outlives the request's deadline, so that it does not expire while the work on a segment
// ends.
constexpr Duration ExpiryMargin = std::chrono::seconds(1);

} // namespace

GroupReservation::GroupReservation(const AttemptId &owner,
                                   ModelName model,
                                   std::vector<GroupMember> members,
                                   TimePoint deadline)
    : m_owner(owner), m_model(std::move(model)), m_members(std::move(members)), m_deadline(deadline)
{
    assert(!m_members.empty());
    assert(std::ranges::is_sorted(m_members, {}, &GroupMember::upstream));
}

void GroupReservation::start(TimePoint now, EntryActions &out)
{
    reserveNext(now, out);
}

void GroupReservation::handle(const PeerFrame &frame, const ReserveResult &result, TimePoint now, EntryActions &out)
{
    const bool awaited = m_state == State::Reserving && result.owner == m_owner
        && frame.sender == m_members[m_asked - 1].upstream && frame.incarnation == m_members[m_asked - 1].incarnation;
    if (!awaited) {
        return;
    }
    if (result.error) {
        fail(*result.error, out);
    } else if (m_asked == m_members.size()) {
        m_state = State::Reserved;
    } else {
        reserveNext(now, out);
    }
}

void GroupReservation::timeOut(EntryActions &out)
{
    if (m_state == State::Reserving) {
        fail(Error {ResultCode::GroupUnavailable,
                    "a member of the group did not answer the memory reservation in time",
                    {}},
             out);
    }
}

void GroupReservation::release(const std::vector<InstanceId> &except, EntryActions &out)
{
    // The member asked last may still grant the reservation, so it is released too. Messages on one connection arrive
    // in order, so the release cannot overtake the reservation request.
    for (std::size_t index = 0; index < m_asked; ++index) {
        const InstanceId &member = m_members[index].upstream;
        if (std::ranges::find(except, member) == except.end()) {
            out.emplace_back(SendToPeer {member, ReleaseReservation {m_owner}});
        }
    }
    m_asked = 0;
    m_state = State::Failed;
}

const AttemptId &GroupReservation::owner() const
{
    return m_owner;
}

GroupReservation::State GroupReservation::state() const
{
    return m_state;
}

const Error &GroupReservation::error() const
{
    return m_error;
}

const std::vector<GroupMember> &GroupReservation::members() const
{
    return m_members;
}

bool GroupReservation::contains(const InstanceId &upstream) const
{
    return std::ranges::find(m_members, upstream, &GroupMember::upstream) != m_members.end();
}

void GroupReservation::reserveNext(TimePoint now, EntryActions &out)
{
    const GroupMember &member = m_members[m_asked];
    ++m_asked;
    const Duration timeLeft = m_deadline - now;
    out.emplace_back(SendToPeer {member.upstream,
                                 ReserveMemory {m_owner, member.amount, timeLeft + ExpiryMargin, timeLeft, m_model}});
}

void GroupReservation::fail(Error error, EntryActions &out)
{
    m_error = std::move(error);
    release({}, out);
}

} // namespace ibismast
