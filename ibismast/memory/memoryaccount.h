#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <map>
#include <vector>

namespace ibismast
{

/// Tracks reservations of the KV cache memory of one engine. Every reservation has one owner and an expiry time.
///
/// All reservations must go through this class. It never grants more than the capacity. If the capacity drops below the
/// reserved amount, existing reservations stay and nothing is free until enough of them are released.
class MemoryAccount
{
public:
    explicit MemoryAccount(Tokens capacity);

    /// Reserves @p amount for @p owner until @p expiry. Returns false and changes nothing if the memory is not free or
    /// @p owner already has a reservation.
    [[nodiscard]] bool reserve(const AttemptId &owner, Tokens amount, TimePoint expiry);
    /// Sets a new expiry time for a reservation; returns false if @p owner has none.
    bool extend(const AttemptId &owner, TimePoint expiry);
    /// Releases a reservation; returns false if @p owner has none.
    bool release(const AttemptId &owner);
    /// Returns the owners whose reservations have expired at @p now. It does not release them: the engine may still use
    /// the memory, so the caller must stop that use before it calls `release`.
    [[nodiscard]] std::vector<AttemptId> expired(TimePoint now) const;

    /// Returns the amount reserved for @p owner, zero if it has no reservation.
    [[nodiscard]] Tokens reservedFor(const AttemptId &owner) const;
    [[nodiscard]] Tokens reserved() const;
    [[nodiscard]] Tokens free() const;
    [[nodiscard]] Tokens capacity() const;
    [[nodiscard]] std::size_t reservationCount() const;
    /// Replaces the capacity, when the engine reports another one.
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
