#pragma once

#include "ibismast/entry/attemptdispatcher.h"
#include "ibismast/entry/completionadmission.h"
#include "ibismast/entry/completiontable.h"
#include "ibismast/entry/groupflow.h"
#include "ibismast/entry/retryplanner.h"
#include "ibismast/entry/unsentcancels.h"

namespace ibismast
{

/// Carries completion requests from their admission to their one final delivery.
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

    /// The agent's connection or process ended; its attempts continue on other upstreams.
    void upstreamLost(const InstanceId &upstream, TimePoint now, EntryActions &out);
    /// The agent is reachable again; attempts that it may still hold are cancelled.
    void upstreamConnected(const InstanceId &upstream, TimePoint now, EntryActions &out);
    /// Does what is due: deadlines, retries, unanswered messages.
    void runDue(TimePoint now, EntryActions &out);

    [[nodiscard]] const CompletionTable &table() const;

private:
    /// Reserves a group for the next attempt, or waits to try again, or fails.
    void startGroup(Completion &completion, TimePoint now, EntryActions &out);
    void groupRefused(Completion &completion, const Error &error, TimePoint now, EntryActions &out);
    void startAttempt(Completion &completion, TimePoint now, EntryActions &out);
    void cancelAttempt(Completion &completion, TimePoint now, EntryActions &out);
    /// The last attempt has ended; plans the next one or fails.
    void attemptEnded(Completion &completion, RetryCause cause, const Error &error, TimePoint now, EntryActions &out);
    /// Gives up an attempt whose cancellation was not answered.
    void abandonAttempt(Completion &completion, TimePoint now, EntryActions &out);
    void endWaiting(Completion &completion, TimePoint now, EntryActions &out);
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
