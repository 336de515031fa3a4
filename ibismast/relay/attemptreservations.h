#pragma once

#include "ibismast/relay/attemptplan.h"

#include <cstdint>
#include <optional>

namespace ibismast
{

/// State of a memory reservation as reported by its engine.
enum class ReservationState : std::uint8_t {
    /// The engine did not answer, or its answer does not list the reservation.
    Unknown,
    /// The memory is reserved, and no request has used it yet.
    Unused,
    Used,
};

/// Settings of `AttemptReservations`.
struct AttemptReservationsSettings
{
    /// Lifetime of a memory reservation without renewal, which limits how long memory stays reserved after a crash of
    /// this process.
    Duration ttl = std::chrono::milliseconds(3500);
    Duration renewInterval = std::chrono::milliseconds(1000);
    /// Maximum time for which memory may stay reserved without being used. Once `idleCheckShare` of it has passed, each
    /// engine that has not shown use is asked whether its reservation is in use, and again every `idleCheckInterval`
    /// until it answers.
    Duration maxIdle = std::chrono::seconds(9);
    double idleCheckShare = 0.75;
    Duration idleCheckInterval = std::chrono::milliseconds(400);
    /// Part of `maxIdle` that is left for the way of an order to its engine, as a duration and as the largest share.
    Duration idleMargin = std::chrono::milliseconds(400);
    double idleMarginShare = 0.1;
};

/// Reservations that are extended in the same way.
struct ReservationExtension
{
    std::vector<AttemptHelper> holders;
    /// Time after which the engines release the memory unless the reservations are extended again.
    Duration ttl {};
    /// Time by which the reservations must have ended unless the engines show that they use them; empty for none.
    std::optional<TimePoint> latestEnd;
};

/// Memory reservations of one attempt: when to extend them, and for how long.
///
/// Until an engine has shown that it uses the memory, each order ends its reservation within the idle limit, so that
/// the limit holds without any further order, also if this process ends. Each engine is watched by itself.
class AttemptReservations
{
public:
    /// The reservations of @p holders are requested at @p now.
    AttemptReservations(std::vector<AttemptHelper> holders, const AttemptReservationsSettings &settings, TimePoint now);

    /// Returns the first order for the reservations, which is sent at @p now.
    [[nodiscard]] ReservationExtension firstOrder(TimePoint now) const;
    /// Returns the extensions that are due at @p now.
    [[nodiscard]] std::vector<ReservationExtension> takeExtensions(TimePoint now);
    /// Returns the holders to ask at @p now whether they use their reservations.
    [[nodiscard]] std::vector<AttemptHelper> takeInspections(TimePoint now);
    /// Records what an engine has answered about the reservation @p reservationId.
    void inspected(const std::string &reservationId, ReservationState state, TimePoint now);
    /// The engine of the attempt has begun to write, so it has read the whole prompt. Engines that do not say otherwise
    /// use their reservations.
    void answerBegun(TimePoint now);
    /// True if the engines do not use the memory: all have been asked, none uses its part and one says that it does
    /// not, or the time is up without an answer.
    [[nodiscard]] bool isIdle(TimePoint now) const;
    /// Time at which the next extension or inspection is due, or at which the reservations are given up.
    [[nodiscard]] TimePoint nextDue() const;

private:
    struct Reservation
    {
        AttemptHelper holder;
        ReservationState state = ReservationState::Unknown;
        /// True while an answer of the engine is awaited.
        bool asked = false;
    };

    /// True if @p reservation is extended beyond the idle limit.
    [[nodiscard]] bool isKept(const Reservation &reservation) const;
    /// True while an engine is to be asked about @p reservation.
    [[nodiscard]] static bool isOpen(const Reservation &reservation);
    /// True if no engine has shown use and the attempt's engine writes no answer.
    [[nodiscard]] bool withoutUse() const;

    AttemptReservationsSettings m_settings;
    std::vector<Reservation> m_reservations;
    /// End of the reservations that nobody uses.
    TimePoint m_latestEnd;
    TimePoint m_nextExtension;
    TimePoint m_nextInspection;
    bool m_answerBegun = false;
};

} // namespace ibismast
