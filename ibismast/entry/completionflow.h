#pragma once

#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"
#include "ibismast/entry/timerqueue.h"

namespace ibismast
{

/// Carries completion requests from their admission to their one final delivery.
class CompletionFlow
{
public:
    explicit CompletionFlow(EntryContext &context);

    RequestId submit(CompletionRequest request, TimePoint now, EntryActions &out);
    void callerLeft(const RequestId &request, EntryActions &out);

    void handle(const PeerFrame &frame, const DispatchAccepted &message, TimePoint now);
    void handle(const PeerFrame &frame, const DispatchRefused &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const StreamPart &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const StreamEnd &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const AttemptFailed &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const CancelResult &message, TimePoint now, EntryActions &out);

    /// The agent's connection or process ended; its attempts continue on other upstreams.
    void upstreamLost(const InstanceId &upstream, TimePoint now, EntryActions &out);
    /// The agent is reachable again; attempts that it may still hold are cancelled.
    void upstreamConnected(const InstanceId &upstream, TimePoint now, EntryActions &out);
    /// Does what is due: deadlines, retries, unanswered messages.
    void runDue(TimePoint now, EntryActions &out);

    [[nodiscard]] std::size_t openRequests() const;
    /// Adds the upstreams that hold an attempt that has not ended to @p upstreams.
    void collectActive(std::set<InstanceId> &upstreams) const;

private:
    using Completions = std::map<RequestId, Completion>;

    /// Attempt whose agent was unreachable when it had to be cancelled.
    struct UnsentCancel
    {
        AttemptId attempt;
        TimePoint deadline;
    };

    Completion *find(const RequestId &request);
    void startAttempt(Completion &completion, TimePoint now, EntryActions &out);
    void sendAttempt(Completion &completion, Upstream &upstream, TimePoint now, EntryActions &out);
    void setPhase(Completion &completion, CompletionPhase phase, TimePoint until);
    void cancelAttempt(Completion &completion, TimePoint now, EntryActions &out);
    /// The last attempt has ended with @p state; retries or fails.
    void attemptEnded(Completion &completion, PlaceState state, const Error &error, TimePoint now, EntryActions &out);
    void retryOrFail(Completion &completion, const Error &error, TimePoint now, EntryActions &out);
    void onTimer(Completion &completion, TimePoint now, EntryActions &out);
    void fail(Completion &completion, Error error, EntryActions &out);
    void finish(Completion &completion, EntryActions &out);

    EntryContext &m_context;
    Completions m_completions;
    TimerQueue m_timers;
    std::map<InstanceId, std::vector<UnsentCancel>> m_unsentCancels;
};

} // namespace ibismast
