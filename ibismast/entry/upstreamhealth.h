#pragma once

#include "ibismast/retry/circuitbreaker.h"
#include "ibismast/routing/jointfailuretracker.h"

namespace ibismast
{

/// Failure history of upstreams: a circuit breaker for each upstream that fails, and the upstreams that fail together.
class UpstreamHealth
{
public:
    UpstreamHealth(const CircuitBreakerSettings &breaker, const JointFailureTrackerSettings &joint);

    /// True if the upstream's circuit breaker lets work through.
    [[nodiscard]] bool allows(const InstanceId &upstream, TimePoint now) const;
    void noteDispatch(const InstanceId &upstream, TimePoint now);
    void noteSuccess(const InstanceId &upstream);
    void noteFailure(const InstanceId &upstream, TimePoint now);
    /// The connection to the upstream was lost, or its process was restarted; @p known is the number of known
    /// upstreams.
    void noteLost(const InstanceId &upstream, std::size_t known, TimePoint now);
    /// True if both are the same upstream, or have a record of failing together.
    [[nodiscard]] bool areCorrelated(const InstanceId &first, const InstanceId &second, TimePoint now) const;

private:
    CircuitBreakerSettings m_breakerSettings;
    JointFailureTrackerSettings m_jointSettings;
    /// Only upstreams with a failure since their last success have a breaker.
    std::map<InstanceId, CircuitBreaker> m_breakers;
    std::optional<JointFailureTracker> m_joint;
};

} // namespace ibismast
