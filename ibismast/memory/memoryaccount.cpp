#include "ibismast/memory/memoryaccount.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

MemoryAccount::MemoryAccount(Tokens capacity) : m_capacity(capacity) { }

bool MemoryAccount::reserve(const AttemptId &owner, Tokens amount, TimePoint expiry)
{
    assert(amount >= Tokens(0));
    if (amount > free() || m_reservations.contains(owner)) {
        return false;
    }
    m_reservations.emplace(owner, Reservation {amount, expiry});
    m_reserved += amount;
    return true;
}

bool MemoryAccount::extend(const AttemptId &owner, TimePoint expiry)
{
    const auto found = m_reservations.find(owner);
    if (found == m_reservations.end()) {
        return false;
    }
    found->second.expiry = expiry;
    return true;
}

bool MemoryAccount::release(const AttemptId &owner)
{
    const auto found = m_reservations.find(owner);
    if (found == m_reservations.end()) {
        return false;
    }
    m_reserved -= found->second.amount;
    assert(m_reserved >= Tokens(0));
    m_reservations.erase(found);
    return true;
}

std::vector<AttemptId> MemoryAccount::expired(TimePoint now) const
{
    std::vector<AttemptId> owners;
    for (const auto &[owner, reservation] : m_reservations) {
        if (reservation.expiry <= now) {
            owners.push_back(owner);
        }
    }
    return owners;
}

Tokens MemoryAccount::reservedFor(const AttemptId &owner) const
{
    const auto found = m_reservations.find(owner);
    return found == m_reservations.end() ? Tokens() : found->second.amount;
}

Tokens MemoryAccount::reserved() const
{
    return m_reserved;
}

Tokens MemoryAccount::free() const
{
    return std::max(Tokens(0), m_capacity - m_reserved);
}

Tokens MemoryAccount::capacity() const
{
    return m_capacity;
}

std::size_t MemoryAccount::reservationCount() const
{
    return m_reservations.size();
}

void MemoryAccount::setCapacity(Tokens capacity)
{
    m_capacity = capacity;
}

} // namespace ibismast
