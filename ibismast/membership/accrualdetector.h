#pragma once

#include "ibismast/core/result.h"
#include "ibismast/membership/failuredetector.h"

#include <deque>
#include <map>

namespace ibismast
{

/// Settings of `AccrualDetector`.
struct AccrualDetectorSettings
{
    /// Suspicion level from which an instance is suspected. At level p the estimated probability that the next
    /// heartbeat is only late is 10 to the power of -p.
    double threshold = 8.0;
    /// Number of the most recent heartbeat intervals used for the estimate.
    std::size_t windowSize = 100;
    /// Mean interval assumed until two intervals have been measured.
    Duration expectedInterval = std::chrono::milliseconds(250);
    /// Lower bound of the standard deviation. Without it a very regular sender would be suspected after a small delay.
    Duration minDeviation = std::chrono::milliseconds(100);
    /// Time without heartbeats that is tolerated in addition to the estimate, for pauses too rare to appear in the
    /// window.
    Duration toleratedPause {};

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Phi accrual failure detector (Hayashibara, Defago, Yared, Katayama, 2004). Models the intervals between heartbeats
/// as normally distributed and suspects an instance when the time since its last heartbeat is too improbable.
class AccrualDetector : public FailureDetector
{
public:
    explicit AccrualDetector(const AccrualDetectorSettings &settings);

    void heartbeatArrived(const InstanceId &instance, TimePoint now) override;
    [[nodiscard]] bool suspects(const InstanceId &instance, TimePoint now) const override;
    void forget(const InstanceId &instance) override;

    /// Returns the suspicion level of @p instance, or 0 if it never sent a heartbeat.
    [[nodiscard]] double suspicion(const InstanceId &instance, TimePoint now) const;

private:
    struct History
    {
        TimePoint lastHeard {};
        /// Most recent intervals in seconds, oldest first.
        std::deque<double> intervals;
        double sum = 0.0;
        double sumOfSquares = 0.0;
    };

    AccrualDetectorSettings m_settings;
    std::map<InstanceId, History> m_histories;
};

} // namespace ibismast
