#include "ibismast/relay/reservationorders.h"

#include <catch2/catch.hpp>

#include <random>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Lifetime = 3'500ms;
/// Time after which the sender of an order gives its answer up.
constexpr Duration OrderTimeout = 400ms;

AttemptHelper holder(const std::string &reservation)
{
    return {UpstreamRecord(), Tokens(1'000), reservation};
}

/// Reservation "r" at an engine, and the orders on their way to it. Answers take no time.
class EngineWithOrders
{
public:
    /// Sends an extension, carried out after @p delay. Without an answer in time the order counts as unanswered.
    void extend(Duration delay)
    {
        orders.reserveSent("r", now + Lifetime, now);
        m_events.emplace(now + delay, [this] {
            m_until = now + Lifetime;
        });
        const bool answered = delay < OrderTimeout;
        m_events.emplace(now + std::min(delay, OrderTimeout), [this, answered] {
            orders.reserveEnded("r", answered, now);
        });
    }
    /// Runs until @p end; each release is carried out after the next of @p delays, in a cycle.
    void runTo(TimePoint end, const std::vector<Duration> &delays)
    {
        while (now < end) {
            TimePoint next = std::min(end, orders.nextDue().value_or(end));
            next = m_events.empty() ? next : std::min(next, m_events.begin()->first);
            now = std::max(now, next);
            while (!m_events.empty() && m_events.begin()->first <= now) {
                const auto handler = m_events.begin()->second;
                m_events.erase(m_events.begin());
                noteMemory();
                handler();
            }
            noteMemory();
            for (const DueRelease &due : orders.takeDueReleases(now)) {
                const Duration delay = delays[releases++ % delays.size()];
                m_events.emplace(now + delay, [this] {
                    m_until = now;
                });
                if (delay < OrderTimeout) {
                    m_events.emplace(now + delay, [this, number = due.number] {
                        closed = orders.releaseAnswered("r", number, now).has_value() || closed;
                    });
                }
            }
        }
    }
    /// Begins to release the reservation, and to measure for how long the memory is reserved for nobody.
    void endCall()
    {
        orders.release(holder("r"), now);
        longestHeld = Duration::zero();
        m_since = reserved() ? std::optional(now) : std::nullopt;
    }
    [[nodiscard]] bool reserved() const
    {
        return m_until > now;
    }

    ReservationOrders orders {ReservationOrdersSettings()};
    TimePoint now {1'000s};
    std::size_t releases = 0;
    bool closed = false;
    /// Longest stretch for which the memory was reserved.
    Duration longestHeld {};

private:
    void noteMemory()
    {
        if (m_since) {
            longestHeld = std::max(longestHeld, std::min(now, m_until) - *m_since);
        }
        if (!reserved()) {
            m_since.reset();
        } else if (!m_since) {
            m_since = now;
        }
    }

    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_until = TimePoint::min();
    std::optional<TimePoint> m_since;
};

} // namespace

// Load: engines leave orders unanswered while prompts end on them. Guards against memory that stays reserved for more
// than 4 s after its request because one release was lost.
TEST_CASE("a release is sent until its engine answers", "[relay]")
{
    const auto [lost, expectedSends, expectedTime] = GENERATE(table<int, int, Duration>({
        {0, 1, 0ms},
        {1, 2, 200ms},
        {4, 5, 800ms},
        {100, 20, 3'800ms},
    }));
    ReservationOrders orders {ReservationOrdersSettings()};
    TimePoint now {1'000s};
    const TimePoint begun = now;
    TimePoint lastSend = now;
    int sends = 0;
    orders.reserveSent("r.1.1", now + Lifetime, now);
    orders.reserveEnded("r.1.1", true, now);
    orders.release(holder("r.1.1"), now);
    REQUIRE(orders.nextDue() == now);
    while (orders.nextDue() && now - begun < 10s) {
        now = *orders.nextDue();
        for (const DueRelease &due : orders.takeDueReleases(now)) {
            CHECK(due.holder.reservationId == "r.1.1");
            ++sends;
            lastSend = now;
            if (sends > lost) {
                CHECK(orders.releaseAnswered(due.holder.reservationId, due.number, now));
            }
        }
        CHECK(orders.takeDueReleases(now).empty());
    }
    CHECK_FALSE(orders.nextDue());
    CHECK_FALSE(orders.hasOpenReleases());
    CHECK(sends == expectedSends);
    CHECK(lastSend - begun == expectedTime);
}

// Guards against releases that grow without bound while many engines do not answer, and against a late answer for one
// reservation that ends the release of another.
TEST_CASE("unanswered releases are bounded and separate", "[relay]")
{
    ReservationOrdersSettings settings;
    settings.maxReservations = 3;
    ReservationOrders orders(settings);
    TimePoint now {1'000s};
    for (const char *reservation : {"a", "b", "c", "d"}) {
        orders.reserveSent(reservation, now + Lifetime, now);
        orders.reserveEnded(reservation, true, now);
        orders.release(holder(reservation), now);
        now += 1ms;
    }
    CHECK_FALSE(orders.releaseAnswered("a", 1, now));
    CHECK(orders.releaseAnswered("c", 1, now));
    std::string due;
    for (const DueRelease &release : orders.takeDueReleases(now)) {
        due += release.holder.reservationId;
    }
    CHECK(due == "bd");
}

// Guards against an extension that is carried out behind the release and reserves the memory again. Each row ends its
// call at 2 s; the last extension was sent at `extended`.
TEST_CASE("an extension that arrives behind the release reserves no memory for long", "[relay]")
{
    struct Row
    {
        std::string name;
        Duration extended;
        Duration extensionDelay;
        /// Delays of the releases, in a cycle.
        std::vector<Duration> releaseDelays;
        /// Longest time for which memory may be reserved after the end of the call.
        Duration longestHeld;
        std::size_t mostReleases;
    };
    const Row row = GENERATE(values<Row>({
        {"all at once", 1s, 0ms, {0ms}, 1ms, 1},
        {"release answered late", 1s, 0ms, {300ms}, 301ms, 2},
        {"releases lost", 1s, 0ms, {60s, 60s, 0ms}, 401ms, 3},
        {"extension overtaken", 1'900ms, 300ms, {0ms}, 1ms, 3},
        {"extension overtaken twice", 1'950ms, 390ms, {0ms, 100ms}, 201ms, 4},
        {"extension answered behind a slow release", 1'800ms, 350ms, {100ms}, 201ms, 4},
        {"extension never answered, soon", 1'900ms, 500ms, {0ms}, 2'001ms, 9},
        {"extension never answered, carried out 5 s later", 1'900ms, 5s, {0ms}, 2'001ms, 9},
        {"extension never answered, carried out 11 s later", 1'900ms, 11s, {0ms}, 2'001ms, 9},
        {"the same, releases lost by turns", 1'900ms, 5s, {0ms, 60s}, 3'501ms, 12},
    }));
    CAPTURE(row.name);
    EngineWithOrders engine;
    const TimePoint begun = engine.now;
    engine.extend(0ms);
    engine.runTo(begun + row.extended, {0ms});
    engine.extend(row.extensionDelay);
    engine.runTo(begun + 2s, {0ms});
    const bool heldAtEnd = engine.reserved();
    engine.endCall();
    const TimePoint ended = engine.now;
    engine.runTo(ended + 20s, row.releaseDelays);
    CHECK(heldAtEnd);
    CHECK(engine.closed);
    CHECK_FALSE(engine.reserved());
    CHECK(engine.releases <= row.mostReleases);
    CHECK(engine.longestHeld <= row.longestHeld);
    CHECK_FALSE(engine.orders.nextDue());
}

// Goes through orders that are late, lost and reordered. Guards against memory that is reserved for nobody for longer
// than one lost order explains, and against a release that never ends.
TEST_CASE("memory is free whatever the order in which the orders arrive", "[relay]")
{
    const unsigned seed = GENERATE(range(1U, 201U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto pick = [&random](int most) {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, most)(random));
    };
    EngineWithOrders engine;
    const TimePoint begun = engine.now;
    for (int second = 0; second < 6; ++second) {
        // One order in three is carried out late.
        const bool late = pick(2) == 0ms;
        engine.extend(late ? OrderTimeout + pick(11'000) : pick(399));
        engine.runTo(begun + second * 1s + pick(1'000), {0ms});
        engine.now = std::max(engine.now, begun + second * 1s);
    }
    const TimePoint ended = engine.now;
    engine.endCall();
    std::vector<Duration> delays;
    for (int index = 0; index < 40; ++index) {
        delays.push_back(pick(2) == 0ms ? OrderTimeout + pick(2'000) : pick(399));
    }
    engine.runTo(ended + 40s, delays);
    CHECK_FALSE(engine.reserved());
    CHECK_FALSE(engine.orders.nextDue());
    CHECK(engine.longestHeld <= Lifetime + 2s);
}

// Guards against an extension through a pause that keeps unused memory past its limit, and against one that is sent
// before it is known whether the engine uses the memory.
TEST_CASE("a reservation at a paused engine keeps to its latest end", "[relay]")
{
    struct Row
    {
        std::string name;
        Duration pause;
        std::optional<Duration> latestEnd;
        Duration expected;
    };
    const Row row = GENERATE(values<Row>({
        {"used, short pause", 2s, std::nullopt, 5'500ms},
        {"used, long pause", 1min, std::nullopt, 10s},
        {"used, pause over", 0s, std::nullopt, 3'500ms},
        {"unused, short pause", 2s, 3s, 3s},
        {"unused, long pause", 1min, 2'600ms, 2'600ms},
        {"unused, far limit", 2s, 8s, 5'500ms},
    }));
    CAPTURE(row.name);
    const TimePoint now {1'000s};
    const auto latestEnd = row.latestEnd ? std::optional(now + *row.latestEnd) : std::nullopt;
    CHECK(holdThroughPause(Lifetime, latestEnd, now + row.pause, now) == row.expected);
    CHECK_FALSE(extensionIsUrgent(now + Lifetime, now));
    CHECK(extensionIsUrgent(now + 1s, now));
    CHECK(extensionIsUrgent(std::nullopt, now));
}

// Guards against a call that loses its memory in a pause since an extension that its engine never granted was counted.
TEST_CASE("a reservation lasts as long as its engine has granted", "[relay]")
{
    const auto [answered, granted, expected] = GENERATE(table<bool, bool, Duration>({
        {true, true, 4'500ms},
        {true, false, 3'500ms},
        {false, false, 3'500ms},
    }));
    const TimePoint begun {1'000s};
    ReservationOrders orders {ReservationOrdersSettings()};
    CHECK_FALSE(orders.heldUntil("r"));
    orders.reserveSent("r", begun + Lifetime, begun);
    CHECK_FALSE(orders.heldUntil("r"));
    orders.reserveEnded("r", true, begun);
    orders.granted("r", begun + Lifetime);
    const TimePoint extended = begun + 1s;
    orders.reserveSent("r", extended + Lifetime, extended);
    orders.reserveEnded("r", answered, extended);
    if (granted) {
        orders.granted("r", extended + Lifetime);
    }
    CHECK(orders.heldUntil("r") == begun + expected);
}
