#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/timerqueue.h"

#include <map>
#include <set>

namespace ibismast
{

/// Completions that have not ended, with their timers.
class CompletionTable
{
public:
    /// The open place that a message of an agent is about; all null if there is none.
    struct Located
    {
        Completion *completion = nullptr;
        UpstreamAttempt *attempt = nullptr;
        AttemptPlace *place = nullptr;
    };

    [[nodiscard]] Completion &add(const RequestId &request);
    void erase(const RequestId &request);
    /// Returns the completion, or null if it has ended.
    [[nodiscard]] Completion *find(const RequestId &request);
    /// Finds what a message about attempt @p id is about, if the sender holds the attempt and has not ended it.
    [[nodiscard]] Located locate(const PeerFrame &frame, const AttemptId &id);
    /// Completions whose present attempt, or the group that it reserves, includes @p upstream.
    [[nodiscard]] std::vector<RequestId> atUpstream(const InstanceId &upstream);
    /// Adds the upstreams that hold an attempt that has not ended to @p upstreams.
    void collectActive(std::set<InstanceId> &upstreams) const;
    [[nodiscard]] std::size_t size() const;

    /// Changes the phase; the completion is due at @p until.
    void setPhase(Completion &completion, CompletionPhase phase, TimePoint until);
    void schedule(TimePoint due, const RequestId &request);
    /// Removes and returns a completion that is due, or null.
    [[nodiscard]] Completion *popDue(TimePoint now);

private:
    std::map<RequestId, Completion> m_completions;
    TimerQueue m_timers;
};

} // namespace ibismast
