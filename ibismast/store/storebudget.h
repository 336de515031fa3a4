#pragma once

#include "ibismast/core/result.h"
#include "ibismast/core/seededrandom.h"

#include <array>

namespace ibismast
{

/// Settings of `StoreBudget`. The rates are those of one process.
struct StoreBudgetSettings
{
    double readsPerSecond = 5.0;
    double writesPerSecond = 2.0;
    /// Calls that may be made at once after a pause.
    double readBurst = 20.0;
    double writeBurst = 5.0;
    /// Pause after the first failed call; doubles with each further one.
    Duration firstPause = std::chrono::milliseconds(200);
    /// Longest pause. It bounds the time until a process notices that the store is back.
    Duration longestPause = std::chrono::seconds(5);

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Kind of a store call; each has its own limit.
enum class StoreCallKind : std::uint8_t {
    Read,
    Write,
};

/// Limits the store calls of one process: a token bucket for each kind of call and a jittered pause after a failure.
///
/// The jitter spreads the return of a fleet after an outage: each process waits between half and one and a half times
/// the pause, and its buckets start empty.
class StoreBudget
{
public:
    StoreBudget(const StoreBudgetSettings &settings, std::uint64_t seed);

    /// Takes a token and returns true, or returns false if the call must wait until `readyAt`.
    [[nodiscard]] bool take(StoreCallKind kind, TimePoint now);
    /// Returns the time at which `take` can succeed.
    [[nodiscard]] TimePoint readyAt(StoreCallKind kind, TimePoint now);
    /// A call failed or timed out.
    void callFailed(TimePoint now);
    /// A call was answered.
    void callAnswered(TimePoint now);
    /// True after a failure until the next answer.
    [[nodiscard]] bool suspectsOutage() const;

private:
    struct Bucket
    {
        double rate = 0.0;
        double burst = 0.0;
        double tokens = 0.0;
        TimePoint updated {};
    };

    Bucket &refill(StoreCallKind kind, TimePoint now);

    StoreBudgetSettings m_settings;
    SeededRandom m_random;
    std::array<Bucket, 2> m_buckets;
    TimePoint m_pausedUntil {};
    Duration m_pause {};
    /// True while a call made during a suspected outage is unanswered.
    bool m_probing = false;
};

} // namespace ibismast
