#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <deque>
#include <map>

namespace ibismast
{

/// Settings of a `JointFailureTracker`.
struct JointFailureTrackerSettings
{
    /// Losses within this time after the first loss of an event belong to the same event.
    Duration window = std::chrono::seconds(4);
    /// Number of lost upstreams from which a single event is enough to treat them as correlated.
    std::size_t largeEvent = 4;
    /// Two upstreams are correlated if they were lost together more than this many times as often as independent losses
    /// would coincide.
    double chanceFactor = 10.0;
    /// Fraction of the known upstreams above which an event is attributed to the entry's own network and ignored.
    double ownFaultShare = 0.8;
    /// Number of events remembered for each upstream.
    std::size_t historyLength = 16;
    /// Largest number of upstreams whose events are remembered.
    std::size_t maxUpstreams = 20'000;
};

/// Detects upstreams with correlated failures, for example because they share a power feed.
///
/// Losses that are close in time form an event. Two upstreams are correlated if they were lost in the same large event,
/// or in at least two common events and much more often than independent losses would coincide.
class JointFailureTracker
{
public:
    JointFailureTracker(const JointFailureTrackerSettings &settings, TimePoint start);

    /// Records that @p upstream was lost without having announced that it leaves. @p known is the number of upstreams
    /// that were known before the loss.
    void noteLost(const InstanceId &upstream, std::size_t known, TimePoint now);
    /// True if failures of the two upstreams are correlated. An upstream is correlated with itself.
    [[nodiscard]] bool areCorrelated(const InstanceId &first, const InstanceId &second, TimePoint now) const;
    /// Number of upstreams lost in the current event, 0 if the window of the last event has passed.
    [[nodiscard]] std::size_t currentEventSize(TimePoint now) const;

private:
    struct Event
    {
        std::uint64_t number = 0;
        /// Time of the first loss.
        TimePoint start;
        /// Number of upstreams lost.
        std::size_t size = 0;
        /// Number of upstreams that were known at the first loss.
        std::size_t known = 0;
    };

    /// Returns the event with @p number, or null if it is no longer remembered.
    [[nodiscard]] const Event *findEvent(std::uint64_t number) const;

    JointFailureTrackerSettings m_settings;
    TimePoint m_start;
    std::deque<Event> m_events;
    std::uint64_t m_lastEventNumber = 0;
    /// Numbers of the events in which each upstream was lost, oldest first.
    std::map<InstanceId, std::deque<std::uint64_t>> m_history;
};

} // namespace ibismast
