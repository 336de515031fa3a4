#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

namespace ibismast
{

/// Decides from the arrival times of heartbeats which instances are suspected to have failed.
class FailureDetector
{
public:
    virtual ~FailureDetector() = default;

    /// Records the arrival of a heartbeat of @p instance.
    virtual void heartbeatArrived(const InstanceId &instance, TimePoint now) = 0;
    /// Returns true if no heartbeat of @p instance has arrived for too long; false if it never sent one.
    [[nodiscard]] virtual bool suspects(const InstanceId &instance, TimePoint now) const = 0;
    /// Drops the heartbeat history of @p instance, for example because it restarted.
    virtual void forget(const InstanceId &instance) = 0;
};

} // namespace ibismast
