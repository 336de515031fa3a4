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
    /// Losses within this time of the first one belong to one event.
    Duration window = std::chrono::seconds(4);
    /// Size from which one event is enough to put its members into one set.
    std::size_t largeEvent = 4;
    /// Factor by which common losses must exceed the number expected by chance.
    double chanceFactor = 10.0;
    /// Share of the known upstreams above which an event is taken for a fault of the entry's own network.
    double ownFaultShare = 0.8;
    /// Events remembered for each upstream.
    std::size_t historyLength = 16;
    /// Largest number of upstreams remembered.
    std::size_t maxUpstreams = 20'000;
};

/// Learns which upstreams fail together, for example because they share a power feed.
///
/// Two upstreams share a joint-failure set if they were lost together in a large event, or at least twice and more
/// often than independent losses would coincide.
class JointFailureTracker
{
public:
    JointFailureTracker(const JointFailureTrackerSettings &settings, TimePoint start);

    /// An upstream disappeared without having announced it; @p known is the number of upstreams known before.
    void noteLost(const InstanceId &upstream, std::size_t known, TimePoint now);
    /// True if both have a record of failing together. An upstream shares a set with itself.
    [[nodiscard]] bool areCorrelated(const InstanceId &first, const InstanceId &second, TimePoint now) const;
    /// Number of upstreams lost in the event under way; 0 if there is none.
    [[nodiscard]] std::size_t presentEventSize(TimePoint now) const;

private:
    struct Event
    {
        std::uint64_t number = 0;
        TimePoint start;
        std::size_t size = 0;
        std::size_t known = 0;
    };

    [[nodiscard]] const Event *event(std::uint64_t number) const;

    JointFailureTrackerSettings m_settings;
    TimePoint m_start;
    std::deque<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    std::map<InstanceId, std::deque<std::uint64_t>> m_history;
};

} // namespace ibismast
