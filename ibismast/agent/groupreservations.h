#pragma once

#include "ibismast/agent/attemptrunner.h"

#include <deque>

namespace ibismast
{

/// KV memory of group members between the reservation and the dispatch of the segment.
///
/// A reservation that does not fit yet may wait for running attempts to end. Its amount is set aside meanwhile,
/// otherwise new work would take all memory that becomes free and a large member would never fit.
class GroupReservations
{
public:
    GroupReservations(const AgentContext &context, AttemptRunner &runner);

    /// Reserves memory at once, later, or not at all; answers accordingly. @p objection is a reason to refuse that does
    /// not concern memory.
    void reserve(const PeerFrame &frame,
                 const ReserveMemory &message,
                 const std::optional<Error> &objection,
                 TimePoint now,
                 AgentActions &out);
    /// Ends the reservation of @p owner, and its attempt if it has been dispatched.
    void release(const AttemptId &owner, const InstanceId &sender, TimePoint now, AgentActions &out);
    /// Hands the reservation of @p owner over to its attempt; returns false if there is none that is large enough.
    [[nodiscard]] bool take(const AttemptId &owner, Tokens needed);
    /// Ends the reservations of older attempts of the same request.
    void supersede(const AttemptId &id);
    /// Ends all reservations of @p owner.
    void releaseOwnedBy(const InstanceId &owner);
    /// Refuses what waits; what is reserved stays until it is released or expires.
    void refuseWaiting(const Error &error, AgentActions &out);
    /// Ends everything after the engine was lost.
    void engineLost(AgentActions &out);
    /// Ends expired reservations, then grants waiting ones in order.
    void tick(TimePoint now, AgentActions &out);
    /// Number of reservations without a dispatched attempt.
    [[nodiscard]] std::size_t size() const;

private:
    struct Waiting
    {
        InstanceId entry;
        ReserveMemory message;
        TimePoint received;
        TimePoint until;
    };

    [[nodiscard]] bool tryReserve(const Waiting &request, TimePoint now);
    void updateSetAside();
    void end(const AttemptId &owner);

    const AgentContext &m_context;
    AttemptRunner &m_runner;
    /// Entries that own reservations without a dispatched attempt.
    std::map<AttemptId, InstanceId> m_held;
    std::deque<Waiting> m_waiting;
};

} // namespace ibismast
