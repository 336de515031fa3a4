#pragma once

#include "ibismast/agent/attemptrunner.h"

#include <deque>

namespace ibismast
{

/// Reservations of KV memory for group members, from the request until the segment is dispatched.
///
/// A reservation that does not fit yet may wait for running attempts to end. Its amount is kept free in the meantime,
/// because new attempts would otherwise use all memory that becomes free and a large member would never fit.
class GroupReservations
{
public:
    GroupReservations(const AgentContext &context, AttemptRunner &runner);

    /// Grants the reservation, lets it wait, or refuses it. The sender gets a reply once the reservation is granted or
    /// refused. If @p rejectionReason is set, a new reservation is refused with it.
    void reserve(const PeerFrame &frame,
                 const ReserveMemory &message,
                 const std::optional<Error> &rejectionReason,
                 TimePoint now,
                 AgentActions &out);
    /// Ends the reservation of @p owner, or cancels its attempt if it has been dispatched. Does nothing if it belongs
    /// to an entry other than @p sender.
    void release(const AttemptId &owner, const InstanceId &sender, TimePoint now, AgentActions &out);
    /// Passes the reserved memory of @p owner on to its attempt, which must release it; returns false if less than
    /// @p needed is reserved.
    [[nodiscard]] bool transferToAttempt(const AttemptId &owner, Tokens needed);
    /// Ends the granted reservations of older attempts of the same request.
    void supersede(const AttemptId &id);
    /// Ends all granted and waiting reservations of the entry @p owner.
    void releaseOwnedBy(const InstanceId &owner);
    /// Refuses all waiting reservations. Granted ones stay until they are released or expire.
    void refuseWaiting(const Error &error, AgentActions &out);
    /// Refuses all waiting reservations and ends all granted ones after the engine became unreachable.
    void handleEngineDown(AgentActions &out);
    /// Ends expired reservations, then grants waiting ones in order of arrival, and refuses those that have waited too
    /// long.
    void tick(TimePoint now, AgentActions &out);
    /// Number of granted and waiting reservations whose segment has not been dispatched.
    [[nodiscard]] std::size_t size() const;

private:
    struct WaitingReservation
    {
        InstanceId entry;
        ReserveMemory message;
        TimePoint received;
        /// Time at which the reservation is refused if it has not been granted.
        TimePoint waitDeadline;
    };

    [[nodiscard]] bool tryReserve(const WaitingReservation &request, TimePoint now);
    void updateGroupReserve();
    void end(const AttemptId &owner);

    const AgentContext &m_context;
    AttemptRunner &m_runner;
    /// Owning entry of each granted reservation whose segment has not been dispatched.
    std::map<AttemptId, InstanceId> m_granted;
    /// Reservations that wait for memory, in order of arrival.
    std::deque<WaitingReservation> m_waiting;
};

} // namespace ibismast
