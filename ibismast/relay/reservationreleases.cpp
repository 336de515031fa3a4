#include "ibismast/relay/reservationreleases.h"

#include <algorithm>

namespace ibismast
{

ReservationReleases::ReservationReleases(const ReservationReleasesSettings &settings) : m_settings(settings) { }

void ReservationReleases::add(const AttemptHelper &holder, TimePoint now)
{
    m_open.insert_or_assign(holder.reservationId, Release {holder, now, now});
    if (m_open.size() > m_settings.maxOpen) {
        m_open.erase(std::ranges::min_element(m_open, {}, [](const auto &entry) {
            return entry.second.begun;
        }));
    }
}

void ReservationReleases::answered(const std::string &reservationId)
{
    m_open.erase(reservationId);
}

std::vector<AttemptHelper> ReservationReleases::takeDue(TimePoint now)
{
    std::erase_if(m_open, [this, now](const auto &entry) {
        return now - entry.second.begun >= m_settings.longestTime;
    });
    std::vector<AttemptHelper> due;
    for (auto &[id, release] : m_open) {
        if (now >= release.due) {
            release.due = now + m_settings.resendInterval;
            due.push_back(release.holder);
        }
    }
    return due;
}

std::optional<TimePoint> ReservationReleases::nextDue() const
{
    const auto next = std::ranges::min_element(m_open, {}, [](const auto &entry) {
        return entry.second.due;
    });
    return next == m_open.end() ? std::nullopt : std::optional(next->second.due);
}

} // namespace ibismast
