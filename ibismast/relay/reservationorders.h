#pragma once

#include "ibismast/relay/callflow.h"

#include <map>

namespace ibismast
{

/// Settings of `ReservationOrders`.
struct ReservationOrdersSettings
{
    /// Interval at which a release that its engine has not answered is sent again.
    Duration resendInterval = std::chrono::milliseconds(200);
    /// Time behind the end of a reservation after which its unanswered release is given up. It must not be shorter than
    /// the timeout of an order.
    Duration orderTime = std::chrono::milliseconds(400);
    /// Time for which an order without an answer may still be carried out, and the interval at which the reservation is
    /// released until then.
    Duration lateOrderTime = std::chrono::seconds(12);
    Duration lateReleaseInterval = std::chrono::seconds(2);
    /// Maximum number of reservations that are kept; when it is exceeded, the one that began first is dropped.
    std::size_t maxReservations = 4096;
};

/// Release to send, and its number, with which its answer is reported.
struct DueRelease
{
    AttemptHelper holder;
    std::uint64_t number = 0;
};

/// What became of a reservation, for the log.
struct ReservationSummary
{
    /// Time since the first order and since the last one that reserved or extended.
    Duration age {};
    Duration sinceLastReserve {};
    int releases = 0;
    int unansweredReserves = 0;
};

/// Orders about memory of engines that have been sent for attempts, by reservation.
///
/// A lost release leaves memory reserved until the reservation ends by itself, so each one is sent again until its
/// engine answers. An extension that arrives behind the release reserves the memory again, so a release counts once it
/// was sent behind the answers to all other orders, and is repeated while one without an answer may still arrive.
class ReservationOrders
{
public:
    explicit ReservationOrders(const ReservationOrdersSettings &settings);

    /// Records an order that reserves memory, or extends a reservation, until @p end.
    void reserveSent(const std::string &reservationId, TimePoint end, TimePoint now);
    /// Records that such an order has been answered, or given up if @p answered is false.
    void reserveEnded(const std::string &reservationId, bool answered, TimePoint now);
    /// Records that the engine has granted an order that reserves until @p end.
    void granted(const std::string &reservationId, TimePoint end);
    /// Time at which the reservation ends by the orders that its engine has granted; empty if there is none.
    [[nodiscard]] std::optional<TimePoint> heldUntil(const std::string &reservationId) const;

    /// Begins to release the reservation of @p holder; the first release is due at once.
    void release(const AttemptHelper &holder, TimePoint now);
    /// Records that the engine has answered the release with @p number. Returns a summary if this ended the
    /// reservation.
    [[nodiscard]] std::optional<ReservationSummary>
    releaseAnswered(const std::string &reservationId, std::uint64_t number, TimePoint now);
    /// Returns the releases to send at @p now.
    [[nodiscard]] std::vector<DueRelease> takeDueReleases(TimePoint now);
    /// Time of the next call of `takeDueReleases`; empty if nothing is to be released.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;
    /// True if a reservation is being released and no answer has ended it.
    [[nodiscard]] bool hasOpenReleases() const;

private:
    struct Release
    {
        AttemptHelper holder;
        TimePoint due;
        /// True once an answer has ended the reservation; releases go on for orders that may arrive late.
        bool answered = false;
        int sent = 0;
    };
    struct Reservation
    {
        TimePoint begun;
        TimePoint lastReserve;
        /// Latest end that an order has asked for, and latest one that the engine has granted.
        TimePoint end;
        std::optional<TimePoint> grantedEnd;
        /// Time until which an order without an answer may be carried out.
        TimePoint lateUntil = TimePoint::min();
        int openReserves = 0;
        int unansweredReserves = 0;
        /// Number of the first release that was sent behind the answers to all other orders.
        std::uint64_t firstConclusive = 0;
        std::optional<Release> release;
    };

    Reservation &reservation(const std::string &reservationId, TimePoint now);
    /// True if nothing is left to do for @p reservation.
    [[nodiscard]] bool isOver(const Reservation &reservation, TimePoint now) const;

    ReservationOrdersSettings m_settings;
    std::map<std::string, Reservation> m_reservations;
    std::uint64_t m_releasesSent = 0;
};

/// Returns for how long to extend a reservation whose engine takes no further order until @p pauseEnd: beyond the
/// pause, but neither beyond @p latestEnd nor for longer than a fixed limit. @p ttl is the usual lifetime.
[[nodiscard]] Duration
holdThroughPause(Duration ttl, std::optional<TimePoint> latestEnd, TimePoint pauseEnd, TimePoint now);

/// Returns whether the only extension that a paused engine takes is to be sent at @p now for a reservation that ends at
/// @p heldUntil. Until then it may turn out that the engine uses the memory, which lengthens the extension.
[[nodiscard]] bool extensionIsUrgent(std::optional<TimePoint> heldUntil, TimePoint now);

} // namespace ibismast
