#include "ibismast/retry/circuitbreaker.h"

#include <algorithm>

namespace ibismast
{

CircuitBreaker::CircuitBreaker(const CircuitBreakerSettings &settings) : m_settings(settings) { }

bool CircuitBreaker::allows(TimePoint now) const
{
    return now >= m_openUntil;
}

void CircuitBreaker::noteDispatch(TimePoint now)
{
    if (m_openTime > Duration::zero()) {
        // Only one probe at a time: the next one is allowed if this one has not succeeded within the open time.
        m_openUntil = now + m_openTime;
    }
}

void CircuitBreaker::succeeded()
{
    m_failures = 0;
    m_openTime = Duration::zero();
    m_openUntil = TimePoint::min();
}

void CircuitBreaker::failed(TimePoint now)
{
    ++m_failures;
    if (m_failures < m_settings.failureThreshold) {
        return;
    }
    m_openTime =
        m_openTime == Duration::zero() ? m_settings.openTime : std::min(m_openTime * 2, m_settings.longestOpenTime);
    m_openUntil = now + m_openTime;
}

} // namespace ibismast
