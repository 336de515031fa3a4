#pragma once

#include "ibismast/core/units.h"

namespace ibismast
{

/// Settings of a `CircuitBreaker`.
struct CircuitBreakerSettings
{
    /// Failures in a row that open the breaker.
    int failureThreshold = 3;
    /// Time for which the breaker stays open after the first opening; doubles with each further one.
    Duration openTime = std::chrono::seconds(1);
    Duration longestOpenTime = std::chrono::seconds(30);
};

/// Keeps work away from an upstream that fails, and lets a single probe through from time to time.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(const CircuitBreakerSettings &settings);

    /// True if work may be sent at @p now.
    [[nodiscard]] bool allows(TimePoint now) const;
    /// Work was sent; while the breaker is open this is the probe.
    void noteDispatch(TimePoint now);
    void succeeded();
    void failed(TimePoint now);

private:
    CircuitBreakerSettings m_settings;
    int m_failures = 0;
    Duration m_openTime {};
    TimePoint m_openUntil = TimePoint::min();
};

} // namespace ibismast
