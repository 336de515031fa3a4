#pragma once

#include "ibismast/core/units.h"

#include <cstddef>

namespace ibismast
{

/// How steadily an answer has to arrive once its timeout has passed.
struct TransferSettings
{
    /// Longest time without a further byte. A packet that is lost twice is sent again within it.
    Duration silence = std::chrono::milliseconds(500);
    /// Least mean rate. An answer that trickles is not worth the wait, since another source may be faster.
    double minBytesPerSecond = 64.0 * 1024.0;
};

/// Time at which an answer is given up: when its timeout has passed and it no longer arrives steadily.
///
/// A limit on the whole transfer would cut answers that are large for their link, again at each attempt.
class TransferDeadline
{
public:
    TransferDeadline(const TransferSettings &settings, Duration timeout, TimePoint start);

    /// Records that @p bytes more have arrived at @p now.
    void received(std::size_t bytes, TimePoint now);
    /// Returns the time at which the answer is given up if no more of it arrives.
    [[nodiscard]] TimePoint due() const;
    [[nodiscard]] std::size_t receivedBytes() const
    {
        return m_received;
    }

private:
    TransferSettings m_settings;
    TimePoint m_timeoutEnd;
    TimePoint m_lastArrival;
    std::size_t m_received = 0;
};

} // namespace ibismast
