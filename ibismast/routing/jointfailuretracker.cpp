#include "ibismast/routing/jointfailuretracker.h"

#include <algorithm>

namespace ibismast
{

namespace
{

// Number of events remembered; losses in older events are ignored.
constexpr std::size_t MaxEvents = 4'096;

} // namespace

JointFailureTracker::JointFailureTracker(const JointFailureTrackerSettings &settings, TimePoint start)
    : m_settings(settings), m_start(start)
{
}

void JointFailureTracker::noteLost(const InstanceId &upstream, std::size_t known, TimePoint now)
{
    if (m_events.empty() || now - m_events.back().start > m_settings.window) {
        m_events.push_back(Event {++m_lastEventNumber, now, 0, known});
        if (m_events.size() > MaxEvents) {
            m_events.pop_front();
        }
    }
    if (!m_history.contains(upstream) && m_history.size() >= m_settings.maxUpstreams) {
        return;
    }
    Event &current = m_events.back();
    std::deque<std::uint64_t> &history = m_history[upstream];
    if (!history.empty() && history.back() == current.number) {
        return;
    }
    ++current.size;
    history.push_back(current.number);
    if (history.size() > m_settings.historyLength) {
        history.pop_front();
    }
}

bool JointFailureTracker::areCorrelated(const InstanceId &first, const InstanceId &second, TimePoint now) const
{
    if (first == second) {
        return true;
    }
    const auto firstHistory = m_history.find(first);
    const auto secondHistory = m_history.find(second);
    if (firstHistory == m_history.end() || secondHistory == m_history.end()) {
        return false;
    }
    std::size_t jointLosses = 0;
    for (const std::uint64_t number : firstHistory->second) {
        const Event *sharedEvent = findEvent(number);
        if (sharedEvent == nullptr || std::ranges::find(secondHistory->second, number) == secondHistory->second.end()) {
            continue;
        }
        if (static_cast<double>(sharedEvent->size)
            > m_settings.ownFaultShare * static_cast<double>(sharedEvent->known)) {
            continue;
        }
        if (sharedEvent->size >= m_settings.largeEvent) {
            return true;
        }
        ++jointLosses;
    }
    const double windowCount = std::max(1.0, toSeconds(now - m_start) / toSeconds(m_settings.window));
    const double expected = static_cast<double>(firstHistory->second.size())
        * static_cast<double>(secondHistory->second.size()) / windowCount;
    return jointLosses >= 2 && static_cast<double>(jointLosses) > m_settings.chanceFactor * expected;
}

std::size_t JointFailureTracker::currentEventSize(TimePoint now) const
{
    return m_events.empty() || now - m_events.back().start > m_settings.window ? 0 : m_events.back().size;
}

const JointFailureTracker::Event *JointFailureTracker::findEvent(std::uint64_t number) const
{
    const auto found = std::ranges::lower_bound(m_events, number, {}, &Event::number);
    return found == m_events.end() || found->number != number ? nullptr : &*found;
}

} // namespace ibismast
