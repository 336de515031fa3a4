#include "ibismast/relay/reservationorders.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Longest time for which memory of an engine is reserved that takes no further orders for a time.
constexpr Duration LongestPausedHold = std::chrono::seconds(10);
/// Time before the end of a reservation at which a paused engine gets its extension: one interval of extensions and the
/// time of an order.
constexpr Duration PausedExtensionLead = std::chrono::milliseconds(1400);

} // namespace

ReservationOrders::ReservationOrders(const ReservationOrdersSettings &settings) : m_settings(settings) { }

ReservationOrders::Reservation &ReservationOrders::reservation(const std::string &reservationId, TimePoint now)
{
    const auto [found, isNew] = m_reservations.try_emplace(reservationId);
    if (isNew) {
        found->second.begun = now;
        found->second.lastReserve = now;
        found->second.end = now;
        if (m_reservations.size() > m_settings.maxReservations) {
            m_reservations.erase(std::ranges::min_element(m_reservations, {}, [&reservationId](const auto &entry) {
                return entry.first == reservationId ? TimePoint::max() : entry.second.begun;
            }));
        }
    }
    return found->second;
}

void ReservationOrders::reserveSent(const std::string &reservationId, TimePoint end, TimePoint now)
{
    Reservation &held = reservation(reservationId, now);
    ++held.openReserves;
    held.lastReserve = now;
    held.end = std::max(held.end, end);
}

void ReservationOrders::reserveEnded(const std::string &reservationId, bool answered, TimePoint now)
{
    const auto found = m_reservations.find(reservationId);
    if (found == m_reservations.end()) {
        return;
    }
    Reservation &held = found->second;
    if (!answered) {
        ++held.unansweredReserves;
        held.lateUntil = now + m_settings.lateOrderTime;
    }
    if (--held.openReserves == 0) {
        held.firstConclusive = m_releasesSent + 1;
        if (held.release && !held.release->answered) {
            held.release->due = now;
        }
    }
}

void ReservationOrders::granted(const std::string &reservationId, TimePoint end)
{
    if (const auto found = m_reservations.find(reservationId); found != m_reservations.end()) {
        found->second.grantedEnd = std::max(found->second.grantedEnd.value_or(end), end);
    }
}

std::optional<TimePoint> ReservationOrders::heldUntil(const std::string &reservationId) const
{
    const auto found = m_reservations.find(reservationId);
    return found == m_reservations.end() ? std::nullopt : found->second.grantedEnd;
}

void ReservationOrders::release(const AttemptHelper &holder, TimePoint now)
{
    reservation(holder.reservationId, now).release = Release {holder, now};
}

std::optional<ReservationSummary>
ReservationOrders::releaseAnswered(const std::string &reservationId, std::uint64_t number, TimePoint now)
{
    const auto found = m_reservations.find(reservationId);
    if (found == m_reservations.end() || !found->second.release) {
        return std::nullopt;
    }
    Reservation &held = found->second;
    if (held.release->answered || held.openReserves > 0 || number < held.firstConclusive) {
        return std::nullopt;
    }
    const ReservationSummary summary {
        now - held.begun, now - held.lastReserve, held.release->sent, held.unansweredReserves};
    held.release->answered = true;
    held.release->due = now + m_settings.lateReleaseInterval;
    if (isOver(held, now)) {
        m_reservations.erase(found);
    }
    return summary;
}

bool ReservationOrders::isOver(const Reservation &reservation, TimePoint now) const
{
    if (reservation.release && reservation.release->answered) {
        // The last release follows the last time at which an order may arrive.
        return reservation.unansweredReserves == 0 || now >= reservation.lateUntil + m_settings.lateReleaseInterval;
    }
    return reservation.openReserves == 0
        && now >= std::max(reservation.end + m_settings.orderTime, reservation.lateUntil);
}

std::vector<DueRelease> ReservationOrders::takeDueReleases(TimePoint now)
{
    std::erase_if(m_reservations, [this, now](const auto &entry) {
        return isOver(entry.second, now);
    });
    std::vector<DueRelease> due;
    for (auto &[id, held] : m_reservations) {
        if (held.release && now >= held.release->due) {
            ++held.release->sent;
            const bool rare = held.release->answered || now >= held.end + m_settings.orderTime;
            held.release->due = now + (rare ? m_settings.lateReleaseInterval : m_settings.resendInterval);
            due.push_back({held.release->holder, ++m_releasesSent});
        }
    }
    return due;
}

std::optional<TimePoint> ReservationOrders::nextDue() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, held] : m_reservations) {
        if (held.release && (!next || held.release->due < *next)) {
            next = held.release->due;
        }
    }
    return next;
}

bool ReservationOrders::hasOpenReleases() const
{
    return std::ranges::any_of(m_reservations, [](const auto &entry) {
        return entry.second.release && !entry.second.release->answered;
    });
}

Duration holdThroughPause(Duration ttl, std::optional<TimePoint> latestEnd, TimePoint pauseEnd, TimePoint now)
{
    const Duration hold = std::max(ttl, std::min(ttl + (pauseEnd - now), LongestPausedHold));
    return latestEnd ? std::min(hold, *latestEnd - now) : hold;
}

bool extensionIsUrgent(std::optional<TimePoint> heldUntil, TimePoint now)
{
    return !heldUntil || *heldUntil - now < PausedExtensionLead;
}

} // namespace ibismast
