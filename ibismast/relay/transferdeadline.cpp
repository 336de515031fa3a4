#include "ibismast/relay/transferdeadline.h"

#include <algorithm>

namespace ibismast
{

TransferDeadline::TransferDeadline(const TransferSettings &settings, Duration timeout, TimePoint start)
    : m_settings(settings), m_timeoutEnd(start + timeout), m_lastArrival(start)
{
}

void TransferDeadline::received(std::size_t bytes, TimePoint now)
{
    m_received += bytes;
    m_lastArrival = now;
}

TimePoint TransferDeadline::due() const
{
    if (m_received == 0) {
        return m_timeoutEnd;
    }
    const Duration earned = fromSeconds(static_cast<double>(m_received) / m_settings.minBytesPerSecond);
    return std::max(m_timeoutEnd, std::min(m_lastArrival + m_settings.silence, m_timeoutEnd + earned));
}

} // namespace ibismast
