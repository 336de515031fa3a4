#pragma once

#include "ibismast/retry/circuitbreaker.h"
#include "ibismast/routing/jointfailuretracker.h"

namespace ibismast
{

/// Failures seen at upstreams: a circuit breaker for each that fails, and the joint failures.
class UpstreamHealth
{
public:
    UpstreamHealth(const CircuitBreakerSettings &breaker, const JointFailureTrackerSettings &joint);

    /// True if the upstream's circuit breaker lets work through.
    [[nodiscard]] bool allows(const InstanceId &upstream, TimePoint now) const;
    void noteDispatch(const InstanceId &upstream, TimePoint now);
    void noteSuccess(const InstanceId &upstream);
    void noteFailure(const InstanceId &upstream, TimePoint now);
    /// The upstream disappeared or came back as a new process.
    void noteLost(const InstanceId &upstream, std::size_t known, TimePoint now);
    [[nodiscard]] bool shareSet(const InstanceId &first, const InstanceId &second, TimePoint now) const;

private:
    CircuitBreakerSettings m_breakerSettings;
    JointFailureTrackerSettings m_jointSettings;
    /// Only upstreams with a failure since their last success have a breaker.
    std::map<InstanceId, CircuitBreaker> m_breakers;
    std::optional<JointFailureTracker> m_joint;
};

} // namespace ibismast
