#include "ibismast/relay/attemptreservations.h"

#include <algorithm>

namespace ibismast
{

namespace
{

Duration share(Duration duration, double ratio)
{
    return fromSeconds(toSeconds(duration) * ratio);
}

} // namespace

AttemptReservations::AttemptReservations(std::vector<AttemptHelper> holders,
                                         const AttemptReservationsSettings &settings,
                                         TimePoint now)
    : m_settings(settings)
    , m_latestEnd(now + settings.maxIdle
                  - std::min(settings.idleMargin, share(settings.maxIdle, settings.idleMarginShare)))
    , m_nextExtension(now + settings.renewInterval)
    , m_nextInspection(now + share(settings.maxIdle, settings.idleCheckShare))
{
    for (AttemptHelper &holder : holders) {
        m_reservations.push_back({std::move(holder)});
    }
}

bool AttemptReservations::isKept(const Reservation &reservation) const
{
    return reservation.state == ReservationState::Used
        || (m_answerBegun && reservation.state == ReservationState::Unknown);
}

bool AttemptReservations::isOpen(const Reservation &reservation)
{
    return reservation.state != ReservationState::Used;
}

bool AttemptReservations::withoutUse() const
{
    return !m_answerBegun && std::ranges::all_of(m_reservations, isOpen);
}

ReservationExtension AttemptReservations::firstOrder(TimePoint now) const
{
    ReservationExtension order {{}, std::min(m_settings.ttl, m_latestEnd - now), m_latestEnd};
    std::ranges::transform(m_reservations, std::back_inserter(order.holders), &Reservation::holder);
    return order;
}

std::vector<ReservationExtension> AttemptReservations::takeExtensions(TimePoint now)
{
    if (now < m_nextExtension) {
        return {};
    }
    m_nextExtension = now + m_settings.renewInterval;
    ReservationExtension kept {{}, m_settings.ttl, std::nullopt};
    ReservationExtension limited {{}, std::min(m_settings.ttl, m_latestEnd - now), m_latestEnd};
    for (const Reservation &reservation : m_reservations) {
        (isKept(reservation) ? kept : limited).holders.push_back(reservation.holder);
    }
    std::vector<ReservationExtension> due;
    if (!kept.holders.empty()) {
        due.push_back(std::move(kept));
    }
    if (!limited.holders.empty() && now < m_latestEnd) {
        due.push_back(std::move(limited));
    }
    return due;
}

std::vector<AttemptHelper> AttemptReservations::takeInspections(TimePoint now)
{
    std::vector<AttemptHelper> due;
    if (now < m_nextInspection) {
        return due;
    }
    if (now >= m_latestEnd) {
        m_nextInspection = TimePoint::max();
        return due;
    }
    m_nextInspection =
        now + std::min(m_settings.idleCheckInterval, share(m_settings.maxIdle, m_settings.idleMarginShare / 2));
    for (Reservation &reservation : m_reservations) {
        if (isOpen(reservation)) {
            reservation.asked = true;
            due.push_back(reservation.holder);
        }
    }
    return due;
}

void AttemptReservations::inspected(const std::string &reservationId, ReservationState state, TimePoint now)
{
    for (Reservation &reservation : m_reservations) {
        if (reservation.holder.reservationId != reservationId || !isOpen(reservation)) {
            continue;
        }
        reservation.asked = false;
        if (state != ReservationState::Unknown) {
            reservation.state = state;
        }
        if (state == ReservationState::Used) {
            // The last order may have ended the reservation at the idle limit.
            m_nextExtension = std::min(m_nextExtension, now);
        }
    }
}

void AttemptReservations::answerBegun(TimePoint now)
{
    const bool limited = now + m_settings.ttl > m_latestEnd;
    if (!std::exchange(m_answerBegun, true) && limited) {
        m_nextExtension = std::min(m_nextExtension, now);
    }
}

bool AttemptReservations::isIdle(TimePoint now) const
{
    if (!withoutUse()) {
        return false;
    }
    const bool refuted = std::ranges::any_of(m_reservations, [](const Reservation &reservation) {
        return reservation.state == ReservationState::Unused;
    });
    const bool answered = std::ranges::none_of(m_reservations, &Reservation::asked);
    return now >= m_latestEnd || (refuted && (answered || now >= m_nextInspection));
}

TimePoint AttemptReservations::nextDue() const
{
    TimePoint due = m_nextExtension;
    if (std::ranges::any_of(m_reservations, isOpen)) {
        // Behind the limit nobody is asked, and reservations without use are given up.
        if (m_nextInspection < m_latestEnd) {
            due = std::min(due, m_nextInspection);
        } else if (withoutUse()) {
            due = std::min(due, m_latestEnd);
        }
    }
    return due;
}

} // namespace ibismast
