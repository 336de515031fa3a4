#pragma once

#include "ibismast/relay/callflow.h"

#include <map>

namespace ibismast
{

/// Settings of `ReservationReleases`.
struct ReservationReleasesSettings
{
    /// Interval at which a release that its engine has not answered is sent again.
    Duration resendInterval = std::chrono::milliseconds(200);
    /// Time after which a release is given up, because the reservation has ended by itself. It must not be shorter than
    /// the reservation's lifetime and the timeout of an order together.
    Duration longestTime = std::chrono::milliseconds(3900);
    /// Maximum number of unanswered releases; when it is exceeded, the oldest one is given up.
    std::size_t maxOpen = 1024;
};

/// Releases of engine memory that their engines have not answered yet. A lost release would leave the memory reserved
/// until the reservation ends by itself, so each one is sent again until its engine answers.
class ReservationReleases
{
public:
    explicit ReservationReleases(const ReservationReleasesSettings &settings);

    /// Adds a release of the reservation of @p holder, which is due at once.
    void add(const AttemptHelper &holder, TimePoint now);
    /// Records that the engine has answered a release of the reservation @p reservationId.
    void answered(const std::string &reservationId);
    /// Returns the releases to send at @p now.
    [[nodiscard]] std::vector<AttemptHelper> takeDue(TimePoint now);
    /// Time of the next call of `takeDue`; empty if no release is unanswered.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

private:
    struct Release
    {
        AttemptHelper holder;
        TimePoint begun;
        TimePoint due;
    };

    ReservationReleasesSettings m_settings;
    /// By reservation id.
    std::map<std::string, Release> m_open;
};

} // namespace ibismast
