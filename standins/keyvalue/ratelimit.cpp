#include "standins/keyvalue/ratelimit.h"

#include <algorithm>

namespace ibismast
{

RateLimit::RateLimit(double callsPerSecond) : m_rate(callsPerSecond), m_available(callsPerSecond) { }

bool RateLimit::admit(TimePoint now)
{
    if (m_rate <= 0) {
        return true;
    }
    if (m_started) {
        m_available = std::min(m_rate, m_available + toSeconds(now - m_last) * m_rate);
    }
    m_started = true;
    m_last = now;
    if (m_available < 1.0) {
        return false;
    }
    m_available -= 1.0;
    return true;
}

} // namespace ibismast
