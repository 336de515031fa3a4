#include "ibismast/entry/upstreamhealth.h"

namespace ibismast
{

UpstreamHealth::UpstreamHealth(const CircuitBreakerSettings &breaker, const JointFailureTrackerSettings &joint)
    : m_breakerSettings(breaker), m_jointSettings(joint)
{
}

bool UpstreamHealth::allows(const InstanceId &upstream, TimePoint now) const
{
    const auto breaker = m_breakers.find(upstream);
    return breaker == m_breakers.end() || breaker->second.allows(now);
}

void UpstreamHealth::noteDispatch(const InstanceId &upstream, TimePoint now)
{
    const auto breaker = m_breakers.find(upstream);
    if (breaker != m_breakers.end()) {
        breaker->second.noteDispatch(now);
    }
}

void UpstreamHealth::noteSuccess(const InstanceId &upstream)
{
    m_breakers.erase(upstream);
}

void UpstreamHealth::noteFailure(const InstanceId &upstream, TimePoint now)
{
    m_breakers.try_emplace(upstream, m_breakerSettings).first->second.failed(now);
}

void UpstreamHealth::noteLost(const InstanceId &upstream, std::size_t known, TimePoint now)
{
    // A new connection or process starts with a closed circuit breaker.
    m_breakers.erase(upstream);
    if (!m_joint) {
        m_joint.emplace(m_jointSettings, now);
    }
    m_joint->noteLost(upstream, known, now);
}

bool UpstreamHealth::areCorrelated(const InstanceId &first, const InstanceId &second, TimePoint now) const
{
    return first == second || (m_joint && m_joint->areCorrelated(first, second, now));
}

} // namespace ibismast
