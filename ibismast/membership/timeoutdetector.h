#pragma once

#include "ibismast/core/result.h"
#include "ibismast/membership/failuredetector.h"

#include <map>

namespace ibismast
{

/// Settings of `TimeoutDetector`.
struct TimeoutDetectorSettings
{
    /// Time without heartbeats after which an instance is suspected.
    Duration timeout = std::chrono::milliseconds(1'500);

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Suspects an instance after a fixed time without heartbeats.
class TimeoutDetector : public FailureDetector
{
public:
    explicit TimeoutDetector(const TimeoutDetectorSettings &settings);

    void heartbeatArrived(const InstanceId &instance, TimePoint now) override;
    [[nodiscard]] bool suspects(const InstanceId &instance, TimePoint now) const override;
    void forget(const InstanceId &instance) override;

private:
    TimeoutDetectorSettings m_settings;
    std::map<InstanceId, TimePoint> m_lastHeard;
};

} // namespace ibismast
