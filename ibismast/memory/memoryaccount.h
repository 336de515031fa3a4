#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <map>
#include <vector>

namespace ibismast
{

/// Account of the KV memory of one engine. Every reservation has one owner and an expiry.
///
/// The account is the only place that decides whether memory is free; it never hands out more than the capacity, except
/// that a capacity that shrinks below the reserved amount leaves nothing free until enough is released.
class MemoryAccount
{
public:
    explicit MemoryAccount(Tokens capacity);

    /// Reserves @p amount for @p owner until @p expiry. Returns false and changes nothing if the memory is not free or
    /// @p owner already has a reservation.
    [[nodiscard]] bool reserve(const AttemptId &owner, Tokens amount, TimePoint expiry);
    /// Moves the expiry of a reservation; returns false if @p owner has none.
    bool extend(const AttemptId &owner, TimePoint expiry);
    /// Ends a reservation; returns false if @p owner has none.
    bool release(const AttemptId &owner);
    /// Returns the owners whose reservations have expired at @p now, without releasing them: the engine may still hold
    /// the memory, so the caller stops its use first.
    [[nodiscard]] std::vector<AttemptId> expired(TimePoint now) const;

    /// Returns the amount reserved for @p owner, zero if there is no reservation.
    [[nodiscard]] Tokens reservedFor(const AttemptId &owner) const;
    [[nodiscard]] Tokens reserved() const;
    [[nodiscard]] Tokens free() const;
    [[nodiscard]] Tokens capacity() const;
    [[nodiscard]] std::size_t reservationCount() const;
    /// Sets the capacity that the engine reports.
    void setCapacity(Tokens capacity);

private:
    struct Reservation
    {
        Tokens amount;
        TimePoint expiry;
    };

    Tokens m_capacity;
    Tokens m_reserved;
    std::map<AttemptId, Reservation> m_reservations;
};

} // namespace ibismast
