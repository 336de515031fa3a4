#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

namespace ibismast
{

/// Decides from the times of heartbeats which instances are suspected to have failed.
class FailureDetector
{
public:
    virtual ~FailureDetector() = default;

    /// A heartbeat of @p instance arrived.
    virtual void heartbeatArrived(const InstanceId &instance, TimePoint now) = 0;
    /// True if heartbeats of @p instance are missing for too long. False for an instance that was never heard.
    [[nodiscard]] virtual bool suspects(const InstanceId &instance, TimePoint now) const = 0;
    /// Drops what is known of @p instance, for example because it restarted.
    virtual void forget(const InstanceId &instance) = 0;
};

} // namespace ibismast
