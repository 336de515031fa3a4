#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/timerqueue.h"

#include <map>
#include <set>

namespace ibismast
{

/// Completion requests that have not ended, with their timers.
class CompletionTable
{
public:
    /// Open attempt to which a message of an agent refers; all pointers are null if there is none.
    struct OpenAttempt
    {
        Completion *completion = nullptr;
        UpstreamAttempt *attempt = nullptr;
        AttemptTarget *target = nullptr;
    };

    [[nodiscard]] Completion &add(const RequestId &request);
    void erase(const RequestId &request);
    /// Returns the completion, or null if it has ended.
    [[nodiscard]] Completion *find(const RequestId &request);
    /// Finds the attempt @p id if it is the last one of its request and is open at the sender of @p frame.
    [[nodiscard]] OpenAttempt findOpenAttempt(const PeerFrame &frame, const AttemptId &id);
    /// Returns the requests whose last attempt is open at @p upstream or whose group includes it as a member whose
    /// segment was not dispatched yet.
    [[nodiscard]] std::vector<RequestId> findByUpstream(const InstanceId &upstream);
    /// Adds the upstreams with an open attempt, and the members of all groups, to @p upstreams.
    void collectActive(std::set<InstanceId> &upstreams) const;
    [[nodiscard]] std::size_t size() const;

    /// Changes the phase and sets a timer for its end at @p until; `TimePoint::max()` sets none.
    void setPhase(Completion &completion, CompletionPhase phase, TimePoint until);
    void schedule(TimePoint due, const RequestId &request);
    /// Removes the next expired timer and returns its completion, or null if no timer has expired. Skips timers of
    /// requests that have ended.
    [[nodiscard]] Completion *popDue(TimePoint now);

private:
    std::map<RequestId, Completion> m_completions;
    TimerQueue m_timers;
};

} // namespace ibismast
