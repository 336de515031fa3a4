#pragma once

#include "ibismast/core/strongtypes.h"

#include <chrono>

namespace ibismast
{

/// Number of model tokens; KV memory is counted in the tokens that it holds.
using Tokens = StrongInteger<struct TokensTag>;

/// Number of bytes.
using Bytes = StrongInteger<struct BytesTag>;

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of the state machines. Adapters and tests supply its time points; it has no `now()` on purpose.
struct LogicalClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<LogicalClock, Duration>;
};

/// Point on the monotonic clock of one process, in microseconds. Not comparable between processes.
using TimePoint = LogicalClock::time_point;

/// Returns @p duration in seconds.
[[nodiscard]] constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns @p seconds as a duration, rounded towards zero to microseconds.
[[nodiscard]] constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace ibismast
