#include "ibismast/relay/callrank.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Rank of a call of the most urgent level that has not waited. Lower ranks are left for calls that have waited.
constexpr int FirstLevelRank = 4;
constexpr int LastRank = 9;

} // namespace

int priorityLevel(const std::set<CallPriority> &priorities, CallPriority priority)
{
    return static_cast<int>(std::distance(priorities.begin(), priorities.lower_bound(priority)));
}

CallRanker::CallRanker(const CallRankSettings &settings) : m_settings(settings) { }

TimePoint CallRanker::dueTime(const RankedCall &call) const
{
    const Duration prefillTime =
        std::min(call.prefillTime, fromSeconds(toSeconds(call.objective) * m_settings.maxPrefillShare));
    return call.arrived + call.objective - prefillTime
        + m_settings.priorityStep * std::min(call.level, m_settings.maxLevel);
}

std::optional<EngineRank>
CallRanker::engineRank(const RankedCall &call, const std::set<CallPriority> &priorities, TimePoint now) const
{
    if (priorities.size() < 2 && !m_settings.always) {
        return std::nullopt;
    }
    if (call.begun) {
        return EngineRank(0);
    }
    const auto waited =
        static_cast<int>(std::min<std::int64_t>(LastRank, (now - call.arrived) / m_settings.priorityStep));
    return EngineRank(std::clamp(FirstLevelRank + std::min(call.level, m_settings.maxLevel) - waited, 1, LastRank));
}

} // namespace ibismast
