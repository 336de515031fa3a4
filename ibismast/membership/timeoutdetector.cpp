#include "ibismast/membership/timeoutdetector.h"

namespace ibismast
{

Result<Success> TimeoutDetectorSettings::validate() const
{
    if (timeout <= Duration::zero()) {
        return Error {ResultCode::SettingsInvalid, "TimeoutDetectorSettings::timeout must be positive", std::nullopt};
    }
    return Success();
}

TimeoutDetector::TimeoutDetector(const TimeoutDetectorSettings &settings) : m_settings(settings) { }

void TimeoutDetector::heartbeatArrived(const InstanceId &instance, TimePoint now)
{
    m_lastHeard[instance] = now;
}

bool TimeoutDetector::suspects(const InstanceId &instance, TimePoint now) const
{
    const auto entry = m_lastHeard.find(instance);
    return entry != m_lastHeard.end() && now - entry->second >= m_settings.timeout;
}

void TimeoutDetector::forget(const InstanceId &instance)
{
    m_lastHeard.erase(instance);
}

} // namespace ibismast
