#pragma once

#include "ibismast/core/result.h"
#include "ibismast/core/seededrandom.h"

#include <array>

namespace ibismast
{

/// Settings of `StoreBudget`. The limits apply to each process separately.
struct StoreBudgetSettings
{
    double readsPerSecond = 5.0;
    double writesPerSecond = 2.0;
    /// Capacities of the token buckets: calls that may be made at once after an idle period.
    double readBurst = 20.0;
    double writeBurst = 5.0;
    /// Backoff delay after the first failed call, before jitter; doubles with each further failed probe.
    Duration firstPause = std::chrono::milliseconds(200);
    /// Upper bound of the backoff delay before jitter. It limits how long a process takes to detect that the store is
    /// available again; with jitter, a delay is at most one and a half times this value.
    Duration longestPause = std::chrono::seconds(5);

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Kind of a store call; each kind has its own rate limit.
enum class StoreCallKind : std::uint8_t {
    Read,
    Write,
};

/// Rate limiter for the store calls of one process: a token bucket for each kind of call, and exponential backoff with
/// jitter after a failure.
///
/// After an outage, all processes would otherwise resume at the same time and overload the store. The jitter spreads
/// them: after a failure, each process waits between half and one and a half times the backoff delay. Its buckets are
/// empty when the first call succeeds again, so that it resumes at the configured rates without a burst.
class StoreBudget
{
public:
    StoreBudget(const StoreBudgetSettings &settings, std::uint64_t seed);

    /// Takes a token and returns true if a call may be sent now; returns false if it must wait until `readyAt`.
    [[nodiscard]] bool take(StoreCallKind kind, TimePoint now);
    /// Returns the earliest time at which `take` can succeed, or @p now if it can succeed at once.
    [[nodiscard]] TimePoint readyAt(StoreCallKind kind, TimePoint now);
    /// Records that a call failed or timed out, and starts or extends the backoff. Further failures are ignored until a
    /// probe has been sent.
    void callFailed(TimePoint now);
    /// Records that a call was answered. If an outage was suspected, ends the backoff and empties the buckets.
    void callAnswered(TimePoint now);
    /// Returns true from a failed call until the next answered one.
    [[nodiscard]] bool suspectsOutage() const;

private:
    struct Bucket
    {
        /// Tokens per second.
        double rate = 0.0;
        double burst = 0.0;
        double tokens = 0.0;
        TimePoint lastRefill {};
    };

    Bucket &refill(StoreCallKind kind, TimePoint now);

    StoreBudgetSettings m_settings;
    SeededRandom m_random;
    std::array<Bucket, 2> m_buckets;
    TimePoint m_pausedUntil {};
    /// Current backoff delay before jitter; zero if no outage is suspected.
    Duration m_pause {};
    /// True from the sending of a probe, a call during a suspected outage, until it is answered or fails.
    bool m_probing = false;
};

} // namespace ibismast
