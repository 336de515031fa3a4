#pragma once

#include "ibismast/core/units.h"

namespace ibismast
{

/// Settings of a `CircuitBreaker`.
struct CircuitBreakerSettings
{
    /// Number of consecutive failures that open the breaker.
    int failureThreshold = 3;
    /// Time for which the breaker stays open the first time; doubles with each further failure, up to
    /// `longestOpenTime`.
    Duration openTime = std::chrono::seconds(1);
    Duration longestOpenTime = std::chrono::seconds(30);
};

/// Circuit breaker of one upstream: stops sending work to it after repeated failures, and lets a single probe through
/// each time the open time has passed. A success closes the breaker.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(const CircuitBreakerSettings &settings);

    /// True if work may be sent at @p now.
    [[nodiscard]] bool allows(TimePoint now) const;
    /// Notes that work was sent to the upstream. If the breaker is not closed, this work is the probe.
    void noteDispatch(TimePoint now);
    void succeeded();
    void failed(TimePoint now);

private:
    CircuitBreakerSettings m_settings;
    /// Number of consecutive failures.
    int m_failures = 0;
    /// Current open time; zero if the breaker is closed.
    Duration m_openTime {};
    TimePoint m_openUntil = TimePoint::min();
};

} // namespace ibismast
