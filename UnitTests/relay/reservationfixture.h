#pragma once

#include "UnitTests/relay/callflowfixture.h"

#include <map>

namespace ibismast
{

/// What the network and an engine do to the orders of an attempt.
struct OrderFaults
{
    std::string name;
    /// Time that each order takes to reach its engine.
    Duration delay {};
    /// Extensions that never arrive: from this one on, counted from 1, and how many.
    int lostFrom = 0;
    int lostCount = 0;
    /// Each extension arrives once more after this time; zero for once.
    Duration doubled {};
    /// Inspections of each reservation that get no answer.
    int unansweredInspections = 0;
};

/// Call whose engines, orders and clock the test drives. Engines reserve memory as the orders say.
class ReservationFixture : public FlowFixture
{
protected:
    struct Memory
    {
        TimePoint since;
        TimePoint until;
        std::optional<TimePoint> usedSince;
        Duration longestIdle {};
    };

    /// Starts a stream with reservations on @p holders engines, whose memory is granted and whose call is sent.
    void beginReserved(std::size_t holders, CallKind kind = CallKind::ResumableStream, int maxAttempts = 1)
    {
        environment.reserved = Tokens(100'000);
        environment.holders = holders;
        environment.upstreams.resize(static_cast<std::size_t>(maxAttempts));
        begin(kind, maxAttempts, 4s, 60s);
        carryOut();
        grant(1);
        // Stalls are not part of these tests.
        environment.progress = now + 1h;
    }
    /// The memory for @p attempt is granted, and the call is sent.
    void grant(int attempt)
    {
        m_attempt = attempt;
        flow().memoryReserved(attempt, true, now, actions);
        carryOut();
    }
    /// The engines restart and have no memory reserved.
    void restartEngines()
    {
        while (!memory.empty()) {
            end(memory.begin()->first, now);
        }
    }
    /// Advances the time to @p end. The entry stops to act at @p killed.
    void runTo(TimePoint end, TimePoint killed = TimePoint::max())
    {
        while (now < end) {
            const TimePoint due = std::min(now < killed && !flow().ended() ? flow().nextDue() : end, nextArrival());
            now = std::clamp(due, now, end);
            expire();
            arrive();
            if (now < killed && !flow().ended() && now >= flow().nextDue()) {
                flow().timerExpired(now, actions);
                carryOut();
            }
            if (due >= end) {
                now = end;
            }
        }
        expire();
    }
    /// The engines of @p reservations begin to use their memory.
    void use(const std::vector<std::string> &reservations)
    {
        expire();
        for (const std::string &id : reservations) {
            const auto found = memory.find(id);
            if (found != memory.end()) {
                note(found->second, now);
                found->second.usedSince = now;
            }
        }
    }
    /// Longest time for which memory was reserved and not used, over all reservations.
    [[nodiscard]] Duration longestIdle()
    {
        expire();
        Duration longest = m_longestIdle;
        for (auto &[id, held] : memory) {
            note(held, now);
            longest = std::max(longest, held.longestIdle);
        }
        return longest;
    }
    /// True if memory has expired while a request used it.
    [[nodiscard]] bool lostInUse() const
    {
        return m_lostInUse;
    }
    void carryOut()
    {
        for (const CallAction &action : std::exchange(actions, {})) {
            if (const auto *reserve = std::get_if<ReserveEngineMemory>(&action)) {
                send(*reserve);
            } else if (const auto *release = std::get_if<ReleaseEngineMemory>(&action)) {
                for (const AttemptHelper &holder : release->holders) {
                    m_arrivals.emplace(now + faults.delay, Order {holder.reservationId, std::nullopt});
                }
            } else if (const auto *inspect = std::get_if<InspectEngineMemory>(&action)) {
                answer(inspect->holder.reservationId);
            }
        }
        arrive();
    }

    OrderFaults faults;
    /// By reservation id.
    std::map<std::string, Memory> memory;
    /// Inspections by reservation id.
    std::map<std::string, int> inspections;

private:
    struct Order
    {
        std::string reservation;
        /// Lifetime of a reservation; empty for a release.
        std::optional<Duration> hold;
    };

    void send(const ReserveEngineMemory &reserve)
    {
        if (reserve.extends && ++m_extensions >= faults.lostFrom && m_extensions < faults.lostFrom + faults.lostCount) {
            return;
        }
        for (const AttemptHelper &holder : reserve.holders) {
            const Order order {holder.reservationId, reserve.ttl};
            m_arrivals.emplace(now + faults.delay, order);
            if (reserve.extends && faults.doubled > Duration::zero()) {
                m_arrivals.emplace(now + faults.delay + faults.doubled, order);
            }
        }
    }
    void answer(const std::string &reservation)
    {
        const auto found = memory.find(reservation);
        if (++inspections[reservation] <= faults.unansweredInspections) {
            flow().reservationInspected(m_attempt, reservation, ReservationState::Unknown, now, actions);
        } else if (found != memory.end()) {
            const ReservationState state = found->second.usedSince ? ReservationState::Used : ReservationState::Unused;
            flow().reservationInspected(m_attempt, reservation, state, now, actions);
        }
        carryOut();
    }
    [[nodiscard]] TimePoint nextArrival() const
    {
        return m_arrivals.empty() ? TimePoint::max() : m_arrivals.begin()->first;
    }
    void arrive()
    {
        while (!m_arrivals.empty() && m_arrivals.begin()->first <= now) {
            const Order order = m_arrivals.begin()->second;
            m_arrivals.erase(m_arrivals.begin());
            if (!order.hold) {
                end(order.reservation, now);
            } else if (const auto found = memory.find(order.reservation); found != memory.end()) {
                found->second.until = now + *order.hold;
            } else {
                memory[order.reservation] = {.since = now, .until = now + *order.hold, .usedSince = std::nullopt};
            }
        }
    }
    static void note(Memory &held, TimePoint at)
    {
        if (!held.usedSince) {
            held.longestIdle = std::max(held.longestIdle, std::min(at, held.until) - held.since);
        }
    }
    void end(const std::string &reservation, TimePoint at)
    {
        if (const auto found = memory.find(reservation); found != memory.end()) {
            note(found->second, at);
            m_longestIdle = std::max(m_longestIdle, found->second.longestIdle);
            memory.erase(found);
        }
    }
    void expire()
    {
        for (auto next = memory.begin(); next != memory.end();) {
            const auto current = next++;
            if (current->second.until <= now) {
                m_lostInUse = m_lostInUse || current->second.usedSince;
                end(current->first, current->second.until);
            }
        }
    }

    std::multimap<TimePoint, Order> m_arrivals;
    int m_attempt = 1;
    int m_extensions = 0;
    Duration m_longestIdle {};
    bool m_lostInUse = false;
};

} // namespace ibismast
