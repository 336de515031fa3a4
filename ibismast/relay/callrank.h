#pragma once

#include "ibismast/relay/engineload.h"

#include <set>

namespace ibismast
{

/// Rank of a request in the queue of an engine, from 0 to 9; 0 is admitted first.
using EngineRank = StrongInteger<struct EngineRankTag, int>;

/// Settings of a `CallRanker`.
struct CallRankSettings
{
    /// True to rank calls at the engines also if the configuration holds a single priority for their service.
    bool always = false;
    /// Time by which the due time of a call is later for each level that its priority is below the most urgent one.
    Duration priorityStep = std::chrono::milliseconds(1000);
    /// Level of all priorities beyond it.
    int maxLevel = 5;
    /// Largest share of the objective by which the prefill of a long prompt makes its call due earlier.
    double maxPrefillShare = 0.5;
};

/// Properties of a call that determine its rank.
struct RankedCall
{
    /// Position of the call's priority among those of its service, see `priorityLevel`.
    int level = 0;
    TimePoint arrived;
    /// Latency objective.
    Duration objective {};
    /// Estimated prefill time on a single engine.
    Duration prefillTime {};
    /// True if the caller has received a part of the response.
    bool begun = false;
};

/// Returns the position of @p priority in @p priorities; 0 is the most urgent one.
[[nodiscard]] int priorityLevel(const std::set<CallPriority> &priorities, CallPriority priority);

/// Orders calls by urgency.
///
/// The due time of a call does not change while it waits, so the call precedes all calls that arrive a bounded time
/// after it, whatever their priority and size.
class CallRanker
{
public:
    explicit CallRanker(const CallRankSettings &settings);

    /// Returns the time by which @p call is to be started; the call with the earliest one goes first.
    [[nodiscard]] TimePoint dueTime(const RankedCall &call) const;
    /// Returns the rank of @p call for the engine; empty if all calls of a service with @p priorities have the same
    /// one.
    [[nodiscard]] std::optional<EngineRank>
    engineRank(const RankedCall &call, const std::set<CallPriority> &priorities, TimePoint now) const;

private:
    CallRankSettings m_settings;
};

} // namespace ibismast
