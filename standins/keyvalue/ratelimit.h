#pragma once

#include "ibismast/core/units.h"

namespace ibismast
{

/// Token bucket that holds at most one second's worth of calls.
class RateLimit
{
public:
    /// Allows @p callsPerSecond; 0 means no limit.
    explicit RateLimit(double callsPerSecond);

    /// Counts a call at @p now; returns false if it exceeds the limit.
    [[nodiscard]] bool admit(TimePoint now);

private:
    double m_rate;
    double m_available;
    TimePoint m_last;
    bool m_started = false;
};

} // namespace ibismast
