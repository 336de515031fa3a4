#pragma once

#include "ibismast/core/result.h"
#include "ibismast/relay/callrank.h"
#include "ibismast/relay/engineplanner.h"
#include "ibismast/relay/eventscanner.h"
#include "ibismast/relay/upstreamnotice.h"

#include <set>

namespace ibismast
{

/// Call that has been admitted by the relay.
struct RelayCall
{
    CallNumber number;
    /// Request id given by the caller; identifies the call in logs.
    std::string requestId;
    RelayRoute route;
    ServiceName service;
    CustomerId customer;
    /// Priority of the customer or the route.
    CallPriority priority = DefaultCallPriority;
    TimePoint arrived;
    /// End of the route's timeout or of the caller's own timeout, whichever is earlier.
    TimePoint deadline;
    /// Prompt and output size of a generation; zero tokens if the call declares none.
    GenerationSize size;
    /// See `IncomingCall::fingerprint`.
    std::uint64_t fingerprint = 0;
    /// Identifies the request when it is sent again; 0 if unknown.
    RequestHash requestHash;
    /// True if the call is let through although its request is in quarantine, to show whether it crashes upstreams.
    bool testsQuarantine = false;
    /// See `IncomingCall::promptParts`.
    std::vector<PromptPartId> promptParts;
    /// True if the caller sends the call again after an entry has refused it.
    bool returning = false;
    /// True if the caller has received a part of the response, or an upstream may have executed the call.
    bool begun = false;
    /// Size of the body.
    std::int64_t bodyBytes = 0;
    /// Id of the last event that the caller received from an earlier call (`Last-Event-Id`); empty for the whole
    /// stream.
    std::string lastEventId;
    /// Version of the configuration that the route and the customer were taken from.
    RelayConfigVersion configVersion;
    /// Host, path and API key of the request, by which a later version of the configuration is applied to it.
    std::string host;
    std::string path;
    std::string key;
};

/// Additional engine that prefills a part of the prompt of one attempt, and may hold its KV cache.
struct AttemptHelper
{
    UpstreamRecord upstream;
    /// KV memory to reserve on the engine before the call is sent; 0 for none.
    Tokens reserved;
    /// Id of the memory reservation; empty if there is none.
    std::string reservationId;
};

/// Upstream and helper engines chosen for one attempt, with the predicted times.
struct AttemptPlan
{
    UpstreamRecord upstream;
    std::vector<AttemptHelper> helpers;
    /// Predicted time to the first event; zero if there is no prediction.
    Duration timeToFirstEvent {};
    /// Predicted prefill time on each of the engines, which get equal parts of the prompt.
    Duration prefillTime {};
    /// Time by which sending is delayed, so that the engines first finish prefills that are ahead of this one.
    Duration delay {};
};

/// Action: sends the call to an upstream.
struct StartAttempt
{
    int attempt = 0;
    AttemptPlan plan;
    /// Id of the event after which the upstream resumes the stream; empty for the whole stream.
    std::string lastEventId;
    /// Time until the deadline of the call.
    Duration timeLeft {};
    /// Rank at the engine; empty if it gets none.
    std::optional<EngineRank> rank {};
};
/// Action: reserves KV memory on the helpers of an attempt that hold a part of the prompt, or renews the reservations.
/// The outcome of the initial reservation is reported by `memoryReserved`, that of a renewal is not reported.
struct ReserveEngineMemory
{
    int attempt = 0;
    std::vector<AttemptHelper> holders;
    /// Time after which the engines release the memory unless the reservation is renewed.
    Duration ttl {};
    /// True to renew existing reservations.
    bool extends = false;
};
/// Action: releases the memory that was reserved for an attempt.
struct ReleaseEngineMemory
{
    std::vector<AttemptHelper> holders;
};
/// Action: asks an engine whether a memory reservation of an attempt is in use. The answer is reported by
/// `reservationInspected`.
struct InspectEngineMemory
{
    int attempt = 0;
    AttemptHelper holder;
};
/// Action: stops or resumes reading the response of an attempt, so that TCP holds its upstream back.
struct SetResponsePaused
{
    int attempt = 0;
    bool paused = false;
};
/// Action: closes the upstream connection of an attempt, which cancels the attempt at the upstream.
struct AbortAttempt
{
    int attempt = 0;
};
/// Action: starts a streamed response to the caller with the status and headers of an attempt.
struct SendHead
{
    int attempt = 0;
};
/// Action: sends bytes of the body of a streamed response to the caller.
struct SendBody
{
    std::string bytes;
};
/// Action: ends the body of a streamed response as complete.
struct EndBody
{
};
/// Action: sends a buffered response to the caller, with the status, headers and complete body of an attempt.
struct SendFullResponse
{
    int attempt = 0;
    std::string body;
};
/// Action: sends an error response generated by the relay to the caller.
struct Refuse
{
    ResultCode code = ResultCode::InternalError;
    std::string reason;
    std::optional<Duration> retryAfter;
};
/// Action: closes the caller's connection in the middle of a stream, so that the response does not appear complete.
struct CloseCallerConnection
{
};
/// Action that the I/O layer has to carry out for one call. The last four end the call; nothing follows them.
using CallAction = std::variant<StartAttempt,
                                ReserveEngineMemory,
                                ReleaseEngineMemory,
                                InspectEngineMemory,
                                SetResponsePaused,
                                AbortAttempt,
                                SendHead,
                                SendBody,
                                EndBody,
                                SendFullResponse,
                                Refuse,
                                CloseCallerConnection>;
using CallActions = std::vector<CallAction>;

/// Properties of an upstream's response head that `CallFlow` depends on.
struct ResponseHead
{
    int status = 0;
    /// The upstream declares that it has not executed the call and will not do so later.
    bool notRun = false;
    /// False if the body is encoded or a successful response lacks the upstream's signature. Such a response is treated
    /// as a failure and not forwarded.
    bool valid = true;
    /// Address of another upstream that caused the failure according to this response; empty if none is named.
    UpstreamAddress failedUpstream;
    /// What the response says of its upstream.
    UpstreamNotice notice {};
};

/// How an upstream failed.
enum class UpstreamFault : std::uint8_t {
    /// Its connection could not be opened or broke off, as when the upstream has crashed.
    Connection,
    /// It answers, but with failures, too late or without end.
    Response,
};

/// Reason why an attempt ended without a complete response.
enum class AttemptFailure : std::uint8_t {
    /// No byte of the call has been sent.
    NotSent,
    /// The connection failed or the response was invalid.
    Broken,
    /// The relay gave the response up, since it exceeded a limit.
    GivenUp,
    /// The relay gave the response up, since the buffers of all calls together are full. This says nothing of the
    /// upstream.
    BuffersFull,
};

/// State of a memory reservation as reported by its engine.
enum class ReservationState : std::uint8_t {
    /// The engine did not answer, or its answer does not list the reservation.
    Unknown,
    /// The memory is reserved, and no request has used it yet.
    Unused,
    Used,
};

/// Reason why a plan that has not been sent yet must be replaced.
struct PlanFault
{
    std::string reason;
    /// True if the plan must not be sent. Otherwise one of its upstreams has become suspect, and the plan may still be
    /// sent if there is no better one.
    bool unusable = true;
};

/// State and decisions shared by all calls: choice of upstreams, retry budget, upstream health.
class CallEnvironment
{
public:
    virtual ~CallEnvironment() = default;

    /// Chooses an upstream for @p call that is not in @p tried; empty if none has capacity.
    [[nodiscard]] virtual std::optional<AttemptPlan>
    planAttempt(const RelayCall &call, const std::set<InstanceId> &tried, TimePoint now) = 0;
    /// Decides whether @p call, which has not begun and has no plan, waits until upstreams have room. Returns the error
    /// with which it is refused otherwise. A waiting call is planned again at each check, and asked for again if there
    /// is still no plan.
    [[nodiscard]] virtual std::optional<Error> waitForRoom(const RelayCall &call, TimePoint now) = 0;
    /// @p call does not wait any more. @p started is true if it has a plan.
    virtual void waitEnded(const RelayCall &call, bool started, TimePoint now) = 0;
    /// Returns what has changed about the upstreams of @p plan since it was made; empty if it can be sent as it is.
    [[nodiscard]] virtual std::optional<PlanFault>
    planFault(const RelayCall &call, const AttemptPlan &plan, TimePoint now) const = 0;
    /// Applies the configuration in force to @p call, which no upstream has received yet: updates its route and
    /// service. Returns an error if that configuration does not admit the call.
    [[nodiscard]] virtual std::optional<Error> readmit(RelayCall &call) = 0;
    /// Returns an error if @p call, whose prompt is not known to be sound, must not be sent to another upstream.
    [[nodiscard]] virtual std::optional<Error> checkPrompt(const RelayCall &call, TimePoint now) const = 0;
    /// An attempt at @p upstream broke off before the end of its response and before the prompt of @p call was known to
    /// be sound. @p atFirstEvent is true if the head of a successful response had arrived, but no event.
    virtual void
    startBroken(const RelayCall &call, const UpstreamRecord &upstream, bool atFirstEvent, TimePoint now) = 0;
    /// Returns the rank of @p call at the engine; empty if engines get none. @p begun is true if the call is repeated
    /// or resumed.
    [[nodiscard]] virtual std::optional<EngineRank>
    engineRank(const RelayCall &call, bool begun, TimePoint now) const = 0;
    /// Takes one retry from the retry budget of @p service; returns false if the budget is exhausted.
    [[nodiscard]] virtual bool takeRetry(const ServiceName &service, TimePoint now) = 0;
    /// The attempt has been assigned to its upstream; it may still wait for a delay or a memory reservation.
    virtual void attemptStarted(const RelayCall &call, const AttemptPlan &plan, TimePoint now) = 0;
    /// The first event of the current attempt, or a whole response that is no stream and no server error, has arrived.
    virtual void firstEventReceived(const RelayCall &call, TimePoint now) = 0;
    /// An upstream has answered @p call, or has written events of the answer for so long that the prompt is sound.
    virtual void promptAnswered(const RelayCall &call, TimePoint now) = 0;
    /// The attempt has ended, successfully or not.
    virtual void attemptEnded(const RelayCall &call, const AttemptPlan &plan, TimePoint now) = 0;
    /// The call is refused with a status that declares it as not executed, so its caller may send it again.
    virtual void callRefused(const RelayCall &call, TimePoint now) = 0;
    /// The bytes buffered for @p call change by @p change. Returns false, and counts nothing, if the buffers of all
    /// calls are full and @p call must give its response up.
    [[nodiscard]] virtual bool changeBuffered(const RelayCall &call, std::int64_t change) = 0;
    /// A response of @p upstream to a call says @p notice of the upstream. A rate limit that it does not name has
    /// ended.
    virtual void noticeReceived(const UpstreamRecord &upstream, const UpstreamNotice &notice, TimePoint now) = 0;
    /// Returns the time after which @p call may find an upstream; empty if that is not known.
    [[nodiscard]] virtual std::optional<Duration> retryDelay(const RelayCall &call, TimePoint now) const = 0;
    /// A part of a response was received from @p upstream: a whole event of a stream, or bytes of another body.
    virtual void upstreamProgressed(const InstanceId &upstream, TimePoint now) = 0;
    /// Returns when `upstreamProgressed` was last called for @p upstream; `TimePoint::min()` if never.
    [[nodiscard]] virtual TimePoint lastProgress(const InstanceId &upstream) const = 0;
    /// A call to @p upstream was answered without a server error.
    virtual void upstreamSucceeded(const InstanceId &upstream) = 0;
    /// An attempt at @p upstream has failed or stalled.
    virtual void upstreamFailed(const InstanceId &upstream, UpstreamFault fault, TimePoint now) = 0;
    /// @p upstream has declined a call because it has no room.
    virtual void upstreamDeclined(const InstanceId &upstream, TimePoint now) = 0;
    /// A response of another upstream reports a failure of the upstream at @p address. Returns the id of that upstream,
    /// or nothing if the address is unknown.
    virtual std::optional<InstanceId> upstreamFailedAt(const UpstreamAddress &address, TimePoint now) = 0;
};

/// Settings of a `CallFlow`.
struct CallFlowSettings
{
    /// Maximum number of attempts that fail before a byte of the call is sent. They do not count towards `maxAttempts`
    /// of the route.
    int maxUnsentAttempts = 4;
    /// Maximum number of attempts that upstreams decline without executing the call, if the route allows more than one
    /// attempt. They do not count towards `maxAttempts` of the route, which limits executions.
    int maxDeclinedAttempts = 3;
    /// Interval at which a stream that has begun and waits for an upstream looks for one.
    Duration roomRecheckInterval = std::chrono::milliseconds(100);
    /// The same interval for a call that has not begun.
    Duration waitRecheckInterval = std::chrono::milliseconds(50);
    /// Maximum time for which sending of an attempt is delayed before its plan is checked against the current list of
    /// upstreams. Two seconds after an upstream has announced its shutdown it must get no work; the list may be 0.9 s
    /// old.
    Duration maxSendDelay = std::chrono::milliseconds(1100);
    /// Maximum number of plans that are replaced before they are sent because an upstream has become suspect.
    int maxReplans = 3;
    /// Multiple of the route's objective after which an idempotent call without progress fails over to another
    /// upstream.
    double responseTimeoutFactor = 2.5;
    /// Callers abandon a stream that is silent for the longest of: this time, the route's objective times
    /// `callerSilencePerObjective`, and the route's pause target times `callerSilencePerPause`.
    Duration callerSilenceLimit = std::chrono::seconds(2);
    double callerSilencePerObjective = 4.0;
    double callerSilencePerPause = 8.0;
    /// A stalled call fails over only if the predicted time to the first event at the other upstream is at most this
    /// fraction of the time that the call has been without progress. Otherwise it is checked again after
    /// `stallRecheckInterval`.
    double failoverTimeRatio = 0.5;
    Duration stallRecheckInterval = std::chrono::milliseconds(250);
    /// Fraction of the callers' silence limit after which a stream counts as stalled if its engine sends no events of
    /// other streams either.
    double silentEngineStallRatio = 0.45;
    /// The same fraction if the engine does send events of other streams, that is, if it is busy rather than down.
    double busyEngineStallRatio = 0.8;
    /// A stream without events does not count as stalled before this multiple of the predicted time to its first event.
    double predictionFactor = 2.0;
    /// Time after the first event of an attempt from which on its prompt is held to be sound. An upstream that crashes
    /// on a prompt does so when it begins to write, and may have sent events by then.
    Duration promptTrialTime = std::chrono::milliseconds(500);
    /// Maximum size of one event of a stream.
    std::size_t maxEventBytes = std::size_t {1} << 20;
    /// Maximum size of a response that is buffered until it is complete.
    std::size_t maxResponseBytes = std::size_t {8} << 20;
    /// Bytes waiting to be sent to the caller above which a stream's response is no longer read, and at which it is
    /// read again.
    std::size_t maxCallerBacklog = std::size_t {64} << 10;
    std::size_t resumeCallerBacklog = std::size_t {16} << 10;
    /// Lifetime of a memory reservation without renewal, which limits how long memory stays reserved after a crash of
    /// this process.
    Duration reservationTtl = std::chrono::milliseconds(3500);
    Duration reservationRenewInterval = std::chrono::milliseconds(1000);
    /// Maximum time for which memory may stay reserved without being used. Once `idleCheckShare` of it has passed
    /// without an event, an engine is asked whether the reservation is in use, and again every `idleCheckInterval`
    /// until it answers.
    Duration maxIdleReservation = std::chrono::seconds(9);
    double idleCheckShare = 0.75;
    Duration idleCheckInterval = std::chrono::milliseconds(400);
    /// Retry-After of refused calls that were not executed, unless `CallEnvironment::retryDelay` is known. It needs no
    /// jitter, since callers add their own.
    Duration retryAfter = std::chrono::milliseconds(1200);
};

/// Returns the time for which callers of @p route wait for the first or the next event before they abandon a stream.
[[nodiscard]] Duration callerSilence(const RelayRoute &route, const CallFlowSettings &settings);

/// State machine of one call: makes one or more attempts at upstreams and sends one response to the caller.
///
/// Deterministic: the I/O layer reports socket events and carries out the returned actions.
class CallFlow
{
public:
    CallFlow(RelayCall call, const CallFlowSettings &settings, CallEnvironment &environment, EventListener &listener);

    void start(TimePoint now, CallActions &actions);
    /// An attempt failed. Reports of attempts other than the current one are ignored, here and in the functions below.
    void
    attemptFailed(int attempt, AttemptFailure failure, std::string_view reason, TimePoint now, CallActions &actions);
    /// The KV memory for an attempt has been reserved, or was refused if @p granted is false.
    void memoryReserved(int attempt, bool granted, TimePoint now, CallActions &actions);
    /// Outcome of `InspectEngineMemory`.
    void reservationInspected(int attempt, ReservationState state, TimePoint now, CallActions &actions);
    void headReceived(int attempt, const ResponseHead &head, TimePoint now, CallActions &actions);
    void bodyReceived(int attempt, std::string_view bytes, TimePoint now, CallActions &actions);
    /// The response of an attempt is complete.
    void responseCompleted(int attempt, TimePoint now, CallActions &actions);
    /// @p bytes of the response wait to be sent to the caller. While they are too many, the response is not read, and
    /// the upstream does not count as stalled.
    void callerBacklogChanged(std::size_t bytes, TimePoint now, CallActions &actions);
    /// Gives the response of the current attempt up, since the buffers of all calls together are full.
    void giveUpResponse(TimePoint now, CallActions &actions);
    /// Looks for an upstream if the call has not begun and waits for room; ignored otherwise.
    void checkRoom(TimePoint now, CallActions &actions);
    /// Refuses the call if it has not begun and waits for room, since a more urgent one needs its place.
    void displace(TimePoint now, CallActions &actions);
    /// The caller has closed its connection.
    void callerDisconnected(TimePoint now, CallActions &actions);
    /// Handles what is due at @p now; does nothing before `nextDue`.
    void timerExpired(TimePoint now, CallActions &actions);

    /// Time of the next call of `timerExpired`.
    [[nodiscard]] TimePoint nextDue() const;
    [[nodiscard]] bool ended() const
    {
        return m_ended;
    }
    [[nodiscard]] const RelayCall &call() const
    {
        return m_call;
    }

private:
    /// State of one attempt. It is created for each attempt and destroyed as a whole, so that nothing of an attempt
    /// affects the next one.
    struct Attempt
    {
        /// @p maxEventBytes is `CallFlowSettings::maxEventBytes`.
        Attempt(AttemptPlan attemptPlan, std::size_t maxEventBytes, TimePoint now);

        AttemptPlan plan;
        /// True while the memory for the attempt is being reserved.
        bool reserving = false;
        /// Time at which the memory reservations are renewed; empty if there are none.
        std::optional<TimePoint> nextRenewal;
        /// Time until which sending is delayed; empty if it is not delayed.
        std::optional<TimePoint> sendDue;
        /// Time at which the memory was requested.
        TimePoint reservedAt;
        /// Time of the next check whether the reserved memory is used; empty if none is needed.
        std::optional<TimePoint> nextIdleCheck;
        /// Head of the response; empty until it has arrived.
        std::optional<ResponseHead> head;
        /// Time at which the first event was delivered; empty before.
        std::optional<TimePoint> firstEvent;
        /// Buffered body of a response that is not streamed.
        std::string body;
        EventScanner scanner;
        /// Comments of a stream, which are sent to the caller with the event that follows them.
        std::string comments;
        /// Time since which the response is not read because the caller is slow; empty if it is read.
        std::optional<TimePoint> pausedAt;
        /// Time before which the attempt, which has stalled, is not checked again.
        TimePoint nextStallCheck = TimePoint::min();
        /// Time at which the attempt was started or sent, or last received a head, a whole event, or bytes of a body
        /// that is no stream.
        TimePoint lastProgress;

        /// Returns the helpers that hold a part of the prompt in reserved KV memory.
        [[nodiscard]] std::vector<AttemptHelper> holders() const;
        /// True if the head is that of a success.
        [[nodiscard]] bool succeeded() const;
        [[nodiscard]] std::size_t bufferedBytes() const;
    };

    /// True if @p attempt is the current one. Reports of others are ignored.
    [[nodiscard]] bool isCurrent(int attempt) const;
    /// Formats @p duration in whole milliseconds for a field of a log event.
    [[nodiscard]] static std::string inMs(Duration duration);
    [[nodiscard]] bool isStream() const;
    /// True if the call may be executed again although an upstream may have executed it already.
    [[nodiscard]] bool mayRepeat() const;
    /// Time at which the current attempt counts as stalled; later progress of its engine may move it back.
    [[nodiscard]] TimePoint stallDeadline() const;
    /// True if the call is a stream that has begun and that another upstream can resume.
    [[nodiscard]] bool canResume() const;
    [[nodiscard]] std::optional<AttemptPlan> planAttempt(TimePoint now);
    /// Plans and starts an attempt. If no upstream has capacity, a stream that has begun waits for one, and the
    /// environment decides whether another call waits or is refused.
    void startNextAttempt(TimePoint now, CallActions &actions);
    void startPlannedAttempt(AttemptPlan plan, TimePoint now, CallActions &actions);
    /// Lets a stream that has begun wait for an upstream, or ends it if its caller waits no longer.
    void waitForRoom(std::string_view reason, ResultCode code, TimePoint now, CallActions &actions);
    /// Lets a call that has not begun wait for room, or refuses it.
    void waitOrRefuse(TimePoint now, CallActions &actions);
    /// Tries upstreams again that have declined the call.
    void forgetDeclines();
    /// Starts an attempt for a waiting stream if an upstream and the retry budget have room for it.
    void retryAfterWait(TimePoint now, CallActions &actions);
    /// Checks the plan of the current attempt, which has not been sent, and replaces it if it is out of date. Returns
    /// true if it did, or if the call has ended because it is not admitted any more.
    [[nodiscard]] bool replanIfOutdated(TimePoint now, CallActions &actions);
    /// Asks an engine about the reservations of the current attempt, or ends the attempt if they were idle for too
    /// long.
    void checkIdleReservation(TimePoint now, CallActions &actions);
    /// Ends the current attempt because its engines do not use the memory that is reserved for it.
    void endIdleAttempt(TimePoint now, CallActions &actions);
    /// Fails a stalled call over to another upstream if that one is predicted to be faster and the retry budget allows
    /// it.
    void failOverIfFaster(TimePoint now, CallActions &actions);
    /// Handles body bytes of a stream.
    void eventsReceived(int attempt, std::string_view bytes, TimePoint now, CallActions &actions);
    /// Reports the bytes that this call buffers to the environment. Returns false if they exceed the process's limit.
    [[nodiscard]] bool accountBuffers();
    /// Ends the current attempt, if any, and releases the memory reserved for it.
    void closeAttempt(TimePoint now, CallActions &actions);
    void sendAttempt(TimePoint now, CallActions &actions);
    /// Sends the attempt, or first requests the memory reservations it needs.
    void reserveOrSend(TimePoint now, CallActions &actions);
    /// Starts another attempt if the call's kind, its limits and the retry budget allow it, otherwise refuses the call.
    void retryOrEnd(std::string_view reason, ResultCode code, TimePoint now, CallActions &actions);
    /// Ends the call with an error response, or by closing the connection if a stream has already been started.
    void refuse(ResultCode code, std::string reason, TimePoint now, CallActions &actions);
    void refuse(Error error, TimePoint now, CallActions &actions);
    /// Tells the environment that the prompt is sound, unless it has been told before.
    void notePromptAnswered(TimePoint now);
    /// True if the current attempt has had its first event for less than `promptTrialTime`.
    [[nodiscard]] bool inPromptTrial(TimePoint now) const;
    /// Refuses the call if its prompt must not reach another upstream. Returns true if it did.
    [[nodiscard]] bool refuseForPrompt(TimePoint now, CallActions &actions);
    /// Ends the call and logs it.
    void finish(std::string_view outcome, std::string_view reason, TimePoint now, CallActions &actions);

    RelayCall m_call;
    CallFlowSettings m_settings;
    CallEnvironment *m_environment;
    EventListener *m_listener;
    /// Upstreams that are not tried again: those of earlier attempts and those that a response reported as failed.
    std::set<InstanceId> m_tried;
    /// Current attempt; empty if there is none.
    std::optional<Attempt> m_current;
    /// Number of the current attempt or of the last one, counted from 1.
    int m_attempt = 0;
    /// Time at which a call that waits for an upstream looks for one again; empty if it does not wait.
    std::optional<TimePoint> m_waitingUntil;
    /// True while the call, which has not begun, waits for room.
    bool m_waitsToBegin = false;
    /// Ended attempts that an upstream may have executed. They count towards `maxAttempts` of the route.
    int m_ranAttempts = 0;
    /// Attempts that an upstream has declined.
    int m_declinedAttempts = 0;
    /// Attempts that failed before a byte was sent.
    int m_unsentAttempts = 0;
    /// Upstreams that have declined the call; they may have room later.
    std::set<InstanceId> m_declinedBy;
    /// Plans that were replaced before they were sent.
    int m_replans = 0;
    /// True once an upstream may have executed the call.
    bool m_mayHaveRun = false;
    /// True once an upstream has shown that the prompt does not crash it.
    bool m_promptSound = false;
    /// Bytes in the buffers of this call as last reported to the environment.
    std::int64_t m_bufferedBytes = 0;
    /// True once the head of a stream has been sent to the caller.
    bool m_headSent = false;
    /// Id of the last event that was sent to the caller; empty if it had none.
    std::string m_lastEventId;
    /// Number of sends to the caller, each of one or more complete events.
    std::uint64_t m_eventBatchesSent = 0;
    std::optional<TimePoint> m_firstEvent;
    TimePoint m_lastEvent;
    /// Time for which responses were not read because the caller was slow.
    Duration m_pausedTime {};
    /// Longest pause between two of these sends.
    Duration m_longestPause {};
    bool m_ended = false;
};

} // namespace ibismast
