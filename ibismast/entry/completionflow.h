#pragma once

#include "ibismast/entry/attemptdispatcher.h"
#include "ibismast/entry/completionadmission.h"
#include "ibismast/entry/completiontable.h"
#include "ibismast/entry/groupflow.h"
#include "ibismast/entry/retryplanner.h"
#include "ibismast/entry/unsentcancels.h"

namespace ibismast
{

/// State machine of completion requests: admission, dispatch, retries, cancellation and delivery. Each request ends
/// with exactly one `DeliverEnd` or `DeliverFailure`, or with none if its caller disconnects.
class CompletionFlow
{
public:
    explicit CompletionFlow(EntryContext &context);

    RequestId submit(CompletionRequest request, TimePoint now, EntryActions &out);
    void callerDisconnected(const RequestId &request, EntryActions &out);

    void handle(const PeerFrame &frame, const DispatchAccepted &message, TimePoint now);
    void handle(const PeerFrame &frame, const DispatchRefused &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const StreamPart &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const StreamEnd &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const AttemptFailed &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const ReserveResult &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const SegmentExported &message, TimePoint now, EntryActions &out);
    void handle(const PeerFrame &frame, const CancelResult &message, TimePoint now, EntryActions &out);

    /// The connection to the agent was lost, or the agent was restarted: its open attempts end and may be retried on
    /// other upstreams.
    void upstreamLost(const InstanceId &upstream, TimePoint now, EntryActions &out);
    /// The connection to the agent is established: attempts that were lost with the previous one are cancelled.
    void upstreamConnected(const InstanceId &upstream, TimePoint now, EntryActions &out);
    /// Handles expired timers: deadlines, retries, unanswered messages.
    void runDue(TimePoint now, EntryActions &out);

    [[nodiscard]] const CompletionTable &table() const;

private:
    /// Starts to reserve a group for the next attempt; if that is impossible, handles it as `reservationFailed`.
    void startGroup(Completion &completion, TimePoint now, EntryActions &out);
    /// Handles the failure to reserve a group: schedules another try or fails the request.
    void reservationFailed(Completion &completion, const Error &error, TimePoint now, EntryActions &out);
    void startAttempt(Completion &completion, TimePoint now, EntryActions &out);
    void cancelAttempt(Completion &completion, TimePoint now, EntryActions &out);
    /// Handles the end of the last attempt without an answer: schedules or starts a retry, or fails the request.
    void attemptEnded(Completion &completion, RetryCause cause, const Error &error, TimePoint now, EntryActions &out);
    /// Ends an attempt whose cancellation was not answered in time.
    void abandonAttempt(Completion &completion, TimePoint now, EntryActions &out);
    /// Starts the next attempt, or waits further if the retry budget is used up.
    void endWait(Completion &completion, TimePoint now, EntryActions &out);
    void onTimer(Completion &completion, TimePoint now, EntryActions &out);
    void fail(Completion &completion, Error error, EntryActions &out);
    void finish(Completion &completion, EntryActions &out);

    EntryContext &m_context;
    CompletionAdmission m_admission;
    AttemptDispatcher m_dispatcher;
    GroupFlow m_groups;
    RetryPlanner m_retries;
    CompletionTable m_table;
    UnsentCancels m_unsentCancels;
};

} // namespace ibismast
