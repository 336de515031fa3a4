#pragma once

#include "ibismast/core/units.h"
#include "ibismast/membership/failuredetector.h"

#include <functional>
#include <memory>

namespace ibismast
{

/// Conditions of a measurement of failure detectors.
struct MembershipConditions
{
    Duration interval = std::chrono::milliseconds(250);
    /// Share of heartbeats that are lost.
    double loss = 0.0;
    /// Mean of the exponential delay in addition to the one-way latency of 1 ms.
    Duration meanDelay = std::chrono::milliseconds(2);
    /// Pauses of a sender per hour, and the mean of their exponential length.
    double pausesPerHour = 0.0;
    Duration meanPause = std::chrono::milliseconds(500);
    /// Time over which false suspicions are counted, for each sender.
    Duration observed = std::chrono::hours(1);
    std::size_t senders = 32;
    std::size_t crashes = 64;
    std::uint64_t seed = 1;
};

/// Result of a measurement.
struct MembershipFigures
{
    /// Suspicions of one live sender per hour.
    double falseSuspicionsPerHour = 0.0;
    /// Time from a crash to the suspicion, over all crashes.
    double detectionMean = 0.0;
    double detectionP99 = 0.0;
};

using DetectorFactory = std::function<std::unique_ptr<FailureDetector>()>;

/// Runs senders of heartbeats against one detector in virtual time.
[[nodiscard]] MembershipFigures measureDetector(const MembershipConditions &conditions, const DetectorFactory &factory);

} // namespace ibismast
