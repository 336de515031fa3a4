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
    /// Level of suspicion from which an instance is suspected. At level p the estimated chance that the next heartbeat
    /// is only late is 10 to the power of -p.
    double threshold = 8.0;
    /// Intervals between heartbeats that the estimate is made of.
    std::size_t windowSize = 100;
    /// Interval that is assumed before the first two heartbeats.
    Duration expectedInterval = std::chrono::milliseconds(250);
    /// Lower bound of the standard deviation. Without it a very regular sender would be suspected for a small delay.
    Duration leastDeviation = std::chrono::milliseconds(100);
    /// Silence that is tolerated in addition to the estimate, for pauses that are rarer than the window shows.
    Duration toleratedPause {};

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Phi accrual failure detector (Hayashibara, Defago, Yared, Katayama, 2004): estimates the distribution of the
/// intervals between heartbeats as normal and suspects an instance whose silence is improbable.
class AccrualDetector : public FailureDetector
{
public:
    explicit AccrualDetector(const AccrualDetectorSettings &settings);

    void heartbeatArrived(const InstanceId &instance, TimePoint now) override;
    [[nodiscard]] bool suspects(const InstanceId &instance, TimePoint now) const override;
    void forget(const InstanceId &instance) override;

    /// Returns the level of suspicion; 0 for an instance that was never heard.
    [[nodiscard]] double suspicion(const InstanceId &instance, TimePoint now) const;

private:
    struct History
    {
        TimePoint lastHeard {};
        std::deque<double> intervals;
        double sum = 0.0;
        double sumOfSquares = 0.0;
    };

    AccrualDetectorSettings m_settings;
    std::map<InstanceId, History> m_histories;
};

} // namespace ibismast
