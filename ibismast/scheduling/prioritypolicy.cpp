#include "ibismast/scheduling/prioritypolicy.h"

namespace ibismast
{

namespace
{

// Above the priority of every class.
constexpr int UrgentPriority = 100;
// Difference between the priorities of neighbouring classes.
constexpr int PriorityStep = 10;

} // namespace

Result<Success> PriorityPolicySettings::validate() const
{
    if (!(urgencyFactor >= 1.0)) {
        return Error {ResultCode::SettingsInvalid, "urgencyFactor must be at least 1", std::nullopt};
    }
    if (urgentSlice <= Duration::zero()) {
        return Error {ResultCode::SettingsInvalid, "urgentSlice must be positive", std::nullopt};
    }
    return Success();
}

PriorityPolicy::PriorityPolicy(const PriorityPolicySettings &settings) : m_settings(settings) { }

TimePoint PriorityPolicy::urgentAt(TimePoint deadline, Duration remainingWork) const
{
    if (!m_settings.ageing) {
        return TimePoint::max();
    }
    return deadline - fromSeconds(toSeconds(remainingWork) * m_settings.urgencyFactor);
}

int PriorityPolicy::priority(PriorityClass priorityClass, bool urgent, TimePoint now) const
{
    const bool isLong = priorityClass == PriorityClass::Long || priorityClass == PriorityClass::Huge;
    const bool longPromptSlice = (now.time_since_epoch() / m_settings.urgentSlice) % 2 == 0;
    if (urgent && (!isLong || longPromptSlice)) {
        return UrgentPriority;
    }
    if (!m_settings.separateClasses) {
        return 0;
    }
    return PriorityStep * static_cast<int>(AllPriorityClasses.size() - 1 - classIndex(priorityClass));
}

} // namespace ibismast
