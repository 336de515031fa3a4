#pragma once

#include "ibismast/core/result.h"
#include "ibismast/relay/engineplanner.h"
#include "ibismast/relay/eventscanner.h"

#include <set>

namespace ibismast
{

/// Call that the relay has admitted.
struct RelayCall
{
    CallNumber number;
    /// Id that the caller gave the call; it names the call in logs.
    std::string requestId;
    RelayRoute route;
    ServiceName service;
    CustomerId customer;
    TimePoint arrived;
    /// End of the route's timeout or of the caller's patience, whichever is first.
    TimePoint deadline;
    /// Size of a generation.
    GenerationSize size;
    /// See `IncomingCall::fingerprint`.
    std::uint64_t fingerprint = 0;
    /// True if the call comes back after a refusal.
    bool returning = false;
    /// Last event that the caller has from an earlier call; empty if it starts anew.
    std::string lastEventId;
};

/// Engine that helps with one attempt.
struct AttemptHelper
{
    UpstreamRecord upstream;
    /// KV memory to reserve there before the call is sent; 0 for none.
    Tokens reserved;
    /// Name of the reservation; empty for none.
    std::string reservationId;
};

/// Upstream that one attempt goes to.
struct AttemptPlan
{
    UpstreamRecord upstream;
    std::vector<AttemptHelper> helpers;
    /// Predicted time to the first event; zero if nothing is predicted.
    Duration firstEvent {};
    /// Reading on each of the engines.
    Duration part {};
    /// Time until the engines have done the reading in front; the call leaves no earlier.
    Duration delay {};
};

/// Sends the call to an upstream.
struct StartAttempt
{
    int attempt = 0;
    AttemptPlan plan;
    /// Event behind which the upstream continues; empty for the whole stream.
    std::string lastEventId;
    Duration timeLeft {};
};
/// Reserves memory on the helpers of an attempt that hold a part of the prompt, or extends the reservations. The first
/// one of an attempt is answered by `memoryReserved`.
struct ReserveEngineMemory
{
    int attempt = 0;
    std::vector<AttemptHelper> holders;
    /// Time after which the engines release the memory by themselves.
    Duration ttl {};
    bool extends = false;
};
/// Releases the memory that was reserved for an attempt.
struct ReleaseEngineMemory
{
    std::vector<AttemptHelper> holders;
};
/// Closes the connection of an attempt, which cancels it at the upstream.
struct AbortAttempt
{
    int attempt = 0;
};
/// Passes the status and headers of an attempt on as those of a stream.
struct SendHead
{
    int attempt = 0;
};
/// Passes bytes of the body on.
struct SendBody
{
    std::string bytes;
};
/// Ends the body of a stream as complete.
struct EndBody
{
};
/// Answers with the status, the headers and the whole body of an attempt.
struct SendFullResponse
{
    int attempt = 0;
    std::string body;
};
/// Answers with a failure of the relay's own.
struct Refuse
{
    ResultCode code = ResultCode::InternalError;
    std::string reason;
    std::optional<Duration> retryAfter;
};
/// Closes the caller's connection so that the answer does not look complete.
struct CloseCallerConnection
{
};
/// What the shell has to do for one call.
using CallAction = std::variant<StartAttempt,
                                ReserveEngineMemory,
                                ReleaseEngineMemory,
                                AbortAttempt,
                                SendHead,
                                SendBody,
                                EndBody,
                                SendFullResponse,
                                Refuse,
                                CloseCallerConnection>;
using CallActions = std::vector<CallAction>;

/// Head of an upstream's answer, as far as decisions depend on it.
struct ResponseHead
{
    int status = 0;
    /// The upstream declares that it has not run the call and never will.
    bool notRun = false;
    /// False if the answer lacks the upstream's signature or its body is encoded; it is then no valid success.
    bool valid = true;
    /// Address of another upstream that the answer blames.
    UpstreamAddress failedUpstream;
};

/// How an attempt ended without a complete answer.
enum class AttemptFailure : std::uint8_t {
    /// No byte of the call has left the process.
    NotSent,
    /// The connection broke or carried something that is no answer.
    Broken,
};

/// Decisions that calls share.
class CallEnvironment
{
public:
    virtual ~CallEnvironment() = default;

    /// Chooses an upstream for @p call other than those in @p tried; nothing if none has room.
    [[nodiscard]] virtual std::optional<AttemptPlan>
    planAttempt(const RelayCall &call, const std::set<InstanceId> &tried, TimePoint now) = 0;
    /// Takes a retry to @p service from the budget.
    [[nodiscard]] virtual bool takeRetry(const ServiceName &service, TimePoint now) = 0;
    /// The attempt is on its way.
    virtual void attemptStarted(const RelayCall &call, const AttemptPlan &plan, TimePoint now) = 0;
    /// The first event of the attempt under way has arrived.
    virtual void firstEventReceived(const RelayCall &call, TimePoint now) = 0;
    /// The attempt has ended, by an answer or otherwise.
    virtual void attemptEnded(const RelayCall &call, const AttemptPlan &plan, TimePoint now) = 0;
    /// The call is refused as not run; its caller may send it again.
    virtual void callRefused(const RelayCall &call, TimePoint now) = 0;
    /// Bytes of any call have come from @p upstream.
    virtual void upstreamProgressed(const InstanceId &upstream, TimePoint now) = 0;
    /// Returns the last time of such bytes.
    [[nodiscard]] virtual TimePoint lastProgress(const InstanceId &upstream) const = 0;
    virtual void upstreamSucceeded(const InstanceId &upstream) = 0;
    virtual void upstreamFailed(const InstanceId &upstream, TimePoint now) = 0;
    /// An answer blames the upstream at @p address. Returns its id, or nothing if no upstream is known there.
    virtual std::optional<InstanceId> upstreamFailedAt(const UpstreamAddress &address, TimePoint now) = 0;
};

/// Settings of a `CallFlow`.
struct CallFlowSettings
{
    /// Attempts that may fail before a byte is sent, which does not count as sending the call.
    int maxUnsent = 4;
    /// Multiple of the objective after which an idempotent call without an answer moves to another upstream.
    double answerPatience = 2.5;
    /// Callers of streams leave after the longest of this time and the multiples below of objective and pause.
    Duration callerGap = std::chrono::seconds(2);
    double callerGapObjectives = 4.0;
    double callerGapPauses = 8.0;
    /// A stalled call moves only to an upstream that is predicted to answer within this share of the time it has
    /// waited, and is looked at again after this pause otherwise.
    double moveShare = 0.5;
    Duration stallRecheck = std::chrono::milliseconds(250);
    /// Share of the callers' gap after which a silent stream moves to another upstream if its engine is silent as well.
    double stallShare = 0.45;
    /// The same if the engine sends events of other streams: it is then busy rather than gone.
    double busyStallShare = 0.8;
    /// A stream is not moved before this multiple of the predicted time to its first event.
    double predictionSlack = 2.0;
    /// Largest event of a stream.
    std::size_t maxEventBytes = std::size_t {1} << 20;
    /// Largest answer that is held until it is complete.
    std::size_t maxAnswerBytes = std::size_t {8} << 20;
    /// Time for which reserved memory is held without an extension: a crash of this process must not hold it for long.
    Duration memoryHold = std::chrono::milliseconds(3500);
    Duration memoryExtension = std::chrono::milliseconds(1000);
    /// Retry-After of calls that found no upstream; callers spread it themselves.
    Duration retryAfter = std::chrono::milliseconds(1200);
};

/// Life of one call: attempts at upstreams, one answer to the caller.
///
/// Deterministic: the shell reports what happens at the sockets and carries out the actions.
class CallFlow
{
public:
    CallFlow(RelayCall call, const CallFlowSettings &settings, CallEnvironment &environment, EventListener &listener);

    void start(TimePoint now, CallActions &actions);
    /// An attempt failed; reports of attempts that were aborted are ignored.
    void
    attemptFailed(int attempt, AttemptFailure failure, std::string_view reason, TimePoint now, CallActions &actions);
    /// The memory for an attempt has been reserved, or could not be.
    void memoryReserved(int attempt, bool granted, TimePoint now, CallActions &actions);
    void headReceived(int attempt, const ResponseHead &head, TimePoint now, CallActions &actions);
    void bodyReceived(int attempt, std::string_view bytes, TimePoint now, CallActions &actions);
    /// The answer is complete.
    void responseCompleted(int attempt, TimePoint now, CallActions &actions);
    /// The caller has closed its connection.
    void callerDisconnected(TimePoint now, CallActions &actions);
    /// The time of `nextDue` has come.
    void timeReached(TimePoint now, CallActions &actions);

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
    /// Returns whole milliseconds for a field of an event.
    [[nodiscard]] static std::string inMs(Duration duration);
    [[nodiscard]] bool isStream() const;
    [[nodiscard]] bool mayRepeat() const;
    /// Time at which the attempt under way counts as stalled, as things stand.
    [[nodiscard]] TimePoint stallDue() const;
    void startAttempt(TimePoint now, CallActions &actions);
    void beginAttempt(AttemptPlan plan, TimePoint now, CallActions &actions);
    /// Moves a stalled call to another upstream if that is the better try.
    void moveStalled(TimePoint now, CallActions &actions);
    /// Ends the attempt under way; it has or has not run.
    void closeAttempt(TimePoint now, CallActions &actions);
    void sendAttempt(TimePoint now, CallActions &actions);
    /// Sends the attempt, or reserves the memory that it needs first.
    void releaseAttempt(TimePoint now, CallActions &actions);
    /// Returns the helpers of the attempt under way that hold a part of the prompt.
    [[nodiscard]] std::vector<AttemptHelper> holders() const;
    /// Starts another attempt if the call allows it, else ends the call.
    void retryOrEnd(std::string_view reason, ResultCode code, TimePoint now, CallActions &actions);
    void refuse(ResultCode code, std::string reason, TimePoint now, CallActions &actions);
    void finish(std::string_view outcome, std::string_view reason, TimePoint now, CallActions &actions);

    RelayCall m_call;
    CallFlowSettings m_settings;
    CallEnvironment *m_environment;
    EventListener *m_listener;
    EventScanner m_scanner;
    /// Upstreams that are not asked again, those that were blamed for a refusal included.
    std::set<InstanceId> m_tried;
    std::optional<AttemptPlan> m_plan;
    /// Number of the attempt under way or of the last one.
    int m_attempt = 0;
    /// True while the memory for the attempt under way is being reserved.
    bool m_reserving = false;
    std::optional<TimePoint> m_nextExtension;
    /// Time at which the attempt under way leaves for its engines; none once it has left.
    std::optional<TimePoint> m_sendDue;
    int m_sent = 0;
    int m_unsent = 0;
    /// True once an upstream may have run the call.
    bool m_mayHaveRun = false;
    bool m_headReceived = false;
    /// True once the attempt under way has brought an event.
    bool m_attemptHasEvents = false;
    ResponseHead m_head;
    std::string m_body;
    /// True once the caller has the head of a stream.
    bool m_headSent = false;
    std::uint64_t m_eventsSent = 0;
    std::optional<TimePoint> m_firstEvent;
    TimePoint m_lastEvent;
    Duration m_longestPause {};
    /// Time before which a stalled call is not looked at again.
    TimePoint m_stallChecked = TimePoint::min();
    /// Last sign of life of the attempt under way.
    TimePoint m_lastProgress;
    bool m_ended = false;
};

} // namespace ibismast
