#pragma once

#include "ibismast/entry/attemptdispatcher.h"
#include "ibismast/entry/completion.h"
#include "ibismast/entry/entrycontext.h"
#include "ibismast/entry/timerqueue.h"
#include "ibismast/entry/unsentcancels.h"

#include <set>

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

    /// The open place that a message of an agent is about; all null if there is none.
    struct Located
    {
        Completion *completion = nullptr;
        UpstreamAttempt *attempt = nullptr;
        AttemptPlace *place = nullptr;
    };

    Located locate(const PeerFrame &frame, const AttemptId &id);
    Completion *find(const RequestId &request);
    /// Refuses the request if the live capacity cannot bear it; returns false if it did.
    bool admitCapacity(Completion &completion, TimePoint now, EntryActions &out);
    void startAttempt(Completion &completion, TimePoint now, EntryActions &out);
    void setPhase(Completion &completion, CompletionPhase phase, TimePoint until);
    void cancelAttempt(Completion &completion, TimePoint now, EntryActions &out);
    /// Notes a failure, as opposed to a refusal, at @p upstream.
    void failedAt(Completion &completion, const InstanceId &upstream, TimePoint now);
    /// The last attempt has ended; plans the next one or fails.
    void attemptEnded(Completion &completion, RetryCause cause, const Error &error, TimePoint now, EntryActions &out);
    /// Gives up an attempt whose cancellation was not answered.
    void abandonAttempt(Completion &completion, TimePoint now, EntryActions &out);
    void endWaiting(Completion &completion, TimePoint now, EntryActions &out);
    void onTimer(Completion &completion, TimePoint now, EntryActions &out);
    void fail(Completion &completion, Error error, EntryActions &out);
    void finish(Completion &completion, EntryActions &out);

    EntryContext &m_context;
    AttemptDispatcher m_dispatcher;
    Completions m_completions;
    TimerQueue m_timers;
    UnsentCancels m_unsentCancels;
};

} // namespace ibismast
