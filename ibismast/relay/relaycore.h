#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/relay/callflow.h"
#include "ibismast/relay/cellview.h"
#include "ibismast/relay/coldupstreams.h"
#include "ibismast/relay/domainevacuations.h"
#include "ibismast/relay/memberview.h"
#include "ibismast/relay/newcallreserve.h"
#include "ibismast/relay/promptquarantine.h"
#include "ibismast/relay/roomforecast.h"
#include "ibismast/relay/routetable.h"
#include "ibismast/relay/upstreamadmission.h"
#include "ibismast/relay/upstreampauses.h"
#include "ibismast/relay/upstreamratelimits.h"
#include "ibismast/relay/waitingroom.h"
#include "ibismast/retry/retrybudget.h"

#include <functional>
#include <memory>

namespace ibismast
{

/// Decoded request of a caller.
struct IncomingCall
{
    /// Request id given by the caller.
    std::string requestId;
    std::string host;
    /// Path without the query.
    std::string path;
    /// API key of the caller; empty if it sent none.
    std::string key;
    /// Time for which the caller waits for the response; empty if the request does not declare it.
    std::optional<Duration> callerTimeout;
    GenerationSize size;
    /// Id of the last event that the caller received from an earlier call; empty for the whole stream.
    std::string lastEventId;
    /// Hash of the parts of the request that stay the same when the caller sends it again after a refusal, which
    /// changes its id; 0 if unknown.
    std::uint64_t fingerprint = 0;
    /// Hash of the method, the target and the body; 0 if unknown. See `requestContentHash`.
    std::uint64_t contentHash = 0;
    /// Size of the body.
    std::int64_t bodyBytes = 0;
    /// Parts of the prompt that other prompts may share; without the last part, which belongs to the request or its
    /// session.
    std::vector<PromptPartId> promptParts;
};

/// Returns the `IncomingCall::contentHash` of a request.
[[nodiscard]] std::uint64_t requestContentHash(std::string_view method, std::string_view target, std::string_view body);

/// Action for one open call.
struct RelayAction
{
    CallNumber call;
    CallAction action;
};
using RelayActions = std::vector<RelayAction>;

/// Settings of a `RelayCore`.
struct RelayCoreSettings
{
    InstanceId self;
    FailureDomain domain;
    CallFlowSettings call;
    EnginePlannerSettings planner;
    EngineLoadSettings load;
    UpstreamDirectorySettings directory;
    MemberViewSettings members;
    CellViewSettings cells;
    PromptQuarantineSettings quarantine;
    UpstreamRateLimitsSettings rateLimits;
    UpstreamPausesSettings pauses;
    DomainEvacuationsSettings evacuations;
    CallRankSettings rank;
    WaitingRoomSettings waiting;
    NewCallReserveSettings reserve;
    ColdUpstreamsSettings cold;
    UpstreamPaceSettings pace;
    CustomerSharesSettings shares;
    /// Limits on the retries of all entries together in ten seconds: a ratio to the requests of that time, and a number
    /// allowed in addition.
    double retryRatio = 0.2;
    double retryAllowance = 100.0;
    /// Fraction of these limits that the entries use. The rest is a margin, since their time windows are not aligned
    /// with those in which the limits are checked.
    double retryBudgetShare = 0.6;
    /// Multiple of the engines' KV memory that may be used according to the estimates, since outputs are usually
    /// shorter than estimated.
    double memoryOvercommit = 2.0;
    /// Streams that may queue at an engine beyond its slots before calls are refused. After a longer wait the response
    /// would be too late to be of much use, while a refused caller finds capacity elsewhere about a second later.
    int maxEngineQueue = 1;
    /// The same limit for calls that are sent again after a refusal.
    int maxReturningQueue = 12;
    /// Time within which all but rare streams end; a stopping instance refuses resumable streams if it has less time
    /// left, and other calls if it has less time left than their timeout.
    Duration typicalStreamTime = std::chrono::milliseconds(4600);
    /// Retry-After of a stopping instance. It is short, since other instances can serve the call at once.
    Duration stopRetryAfter = std::chrono::milliseconds(100);
    /// Time for which the fingerprint of a refused call is kept; callers retry within a third of their timeout.
    Duration refusalRetention = std::chrono::seconds(6);
    /// Maximum number of bytes of responses that are held for all calls together: those of incomplete responses and
    /// events, and those that wait to be sent to callers. When it is exceeded, the largest incomplete response is given
    /// up, so that small ones are not affected by upstreams that send without end.
    std::int64_t maxBufferedBytes = std::int64_t {64} << 20;
    /// Bytes of an incomplete response that a call may always hold.
    std::int64_t guaranteedBufferBytes = std::int64_t {64} << 10;
    /// Maximum number of fingerprints that are kept.
    std::size_t maxRefusals = 4096;
};

/// Changes of the load on the engines that an entry announces to the other entries.
struct LoadUpdate
{
    /// Attempts that were assigned to engines.
    std::vector<Placement> placed;
    /// Attempts whose prefill has finished.
    std::vector<CallNumber> prefillsDone;
    std::vector<CallNumber> ended;
    /// Fingerprints of refused calls, which callers may send again through another entry.
    std::vector<std::uint64_t> refused;
    /// Rate limits of upstreams, and what the entry has sent to these.
    std::vector<RateLimitReport> rateLimits {};
    /// Cold upstreams, and what the entry has sent to these.
    std::vector<ColdUpstreamReport> coldUpstreams {};
    /// Shares of their concurrency that started and recovered upstreams may use.
    std::vector<UpstreamPaceReport> paces {};
    /// Work of the entry's customers; only in heartbeats.
    std::vector<CustomerWork> customerWork {};

    [[nodiscard]] bool empty() const
    {
        return placed.empty() && prefillsDone.empty() && ended.empty() && refused.empty() && rateLimits.empty()
            && coldUpstreams.empty() && paces.empty() && customerWork.empty();
    }
};

/// Decision logic of one entry instance that relays calls without parsing their bodies: admission by route and API key,
/// choice of upstreams, retries, responses.
///
/// Deterministic and free of I/O: the I/O layer supplies events and times and carries out the returned actions.
class RelayCore final : public CallEnvironment
{
public:
    RelayCore(RelayCoreSettings settings, std::uint64_t seed, EventListener &listener);
    ~RelayCore() override;
    RelayCore(const RelayCore &) = delete;
    RelayCore &operator=(const RelayCore &) = delete;

    /// Applies @p config; ignored unless its version is newer than the current one.
    void applyConfig(RelayConfig config, TimePoint now);
    [[nodiscard]] UpstreamDirectory &directory()
    {
        return m_directory;
    }
    [[nodiscard]] DomainEvacuations &evacuations()
    {
        return m_evacuations;
    }
    [[nodiscard]] const InstanceId &self() const
    {
        return m_settings.self;
    }
    [[nodiscard]] const FailureDomain &domain() const
    {
        return m_settings.domain;
    }
    [[nodiscard]] MemberView &members()
    {
        return m_members;
    }
    /// Returns the current configuration, or null if none has been applied.
    [[nodiscard]] const RelayConfig *config() const;
    /// Announces that the instance stops at @p end. From now on it admits only calls that it can complete by then.
    void beginStop(TimePoint end);
    /// True if calls can be served, that is, once a configuration and the list of upstreams have been applied and the
    /// evacuated domains are known.
    [[nodiscard]] bool ready() const;

    /// Admits a call and returns its number, or an error if it is not admitted. A call that is admitted but finds no
    /// upstream is refused by an action.
    [[nodiscard]] Result<CallNumber> submit(const IncomingCall &incoming, TimePoint now, RelayActions &actions);
    /// Events of the attempts of an open call, see `CallFlow`; ignored if the call has ended.
    void attemptFailed(CallNumber call,
                       int attempt,
                       AttemptFailure failure,
                       std::string_view reason,
                       TimePoint now,
                       RelayActions &actions);
    void memoryReserved(CallNumber call, int attempt, bool granted, TimePoint now, RelayActions &actions);
    void reservationInspected(CallNumber call,
                              int attempt,
                              const std::string &reservationId,
                              ReservationState state,
                              TimePoint now,
                              RelayActions &actions);
    void headReceived(CallNumber call, int attempt, const ResponseHead &head, TimePoint now, RelayActions &actions);
    void bodyReceived(CallNumber call, int attempt, std::string_view bytes, TimePoint now, RelayActions &actions);
    void responseCompleted(CallNumber call, int attempt, TimePoint now, RelayActions &actions);
    /// @p bytes of the call's response wait to be sent to its caller.
    void callerBacklogChanged(CallNumber call, std::size_t bytes, TimePoint now, RelayActions &actions);
    /// The bytes that wait to be sent to all callers, also those of calls that have ended, change by @p change.
    void unsentBytesChanged(std::int64_t change);
    /// Calls that wait for room.
    [[nodiscard]] const WaitingRoom &waitingRoom() const
    {
        return m_room;
    }
    [[nodiscard]] const NewCallReserve &newCalls() const
    {
        return m_reserve;
    }
    [[nodiscard]] const WaitCounts &waitCounts() const
    {
        return m_waits;
    }
    /// Bytes of incomplete responses of all calls, and bytes that wait to be sent to callers.
    [[nodiscard]] std::int64_t bufferedBytes() const
    {
        return m_bufferedBytes;
    }
    [[nodiscard]] std::int64_t unsentBytes() const
    {
        return m_unsentBytes;
    }
    /// The caller has closed its connection.
    void callerDisconnected(CallNumber call, TimePoint now, RelayActions &actions);
    /// Handles the timeouts of calls that are due at @p now and drops expired state.
    void tick(TimePoint now, RelayActions &actions);
    /// Time of the next timeout of a call; empty if there is none.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;
    /// Returns the customer of an open call; empty if the call has ended or needs no API key.
    [[nodiscard]] CustomerId customerOf(CallNumber call) const;
    /// Returns the time until which the caller of an open call waits; empty if the call has ended.
    [[nodiscard]] std::optional<TimePoint> deadlineOf(CallNumber call) const;
    [[nodiscard]] std::size_t openCalls() const
    {
        return m_calls.size();
    }

    /// Applies the load changes that another entry has announced.
    void applyLoadUpdate(const InstanceId &entry, const LoadUpdate &update, TimePoint now);
    /// Returns the load changes since the last call of this function. They go to the entries of the own cell, or to all
    /// entries if the fleet is not divided into cells.
    [[nodiscard]] LoadUpdate takeLoadUpdate();
    /// Returns the load changes that concern engines of other domains, by domain. Empty unless the fleet is divided
    /// into cells.
    [[nodiscard]] std::map<FailureDomain, LoadUpdate> takeRemoteUpdates();
    /// Returns reports on rate limits that the entries of other cells must learn too; later calls do not return them
    /// again. Empty unless the fleet is divided into cells.
    [[nodiscard]] std::vector<RateLimitReport> takeFleetRateReports();
    /// Returns reports on up to @p count rate limits for a heartbeat, on other ones with each call.
    [[nodiscard]] std::vector<RateLimitReport> nextRateReports(std::size_t count, TimePoint now);
    /// The same for cold upstreams.
    [[nodiscard]] std::vector<ColdUpstreamReport> takeFleetColdReports();
    [[nodiscard]] std::vector<ColdUpstreamReport> nextColdReports(std::size_t count, TimePoint now);
    /// Returns the work of this entry's customers for a heartbeat; empty unless shares are switched on.
    [[nodiscard]] std::vector<CustomerWork> customerWork() const;
    /// Applies what a response to something else than a call of this entry says of @p upstream, such as a response to
    /// an order. A rate limit that it does not name stays in force.
    void sideNoticeReceived(const UpstreamRecord &upstream, const UpstreamNotice &notice, TimePoint now);
    /// Returns the end of the time in which @p upstream wants no requests from this entry; empty if it takes requests.
    [[nodiscard]] std::optional<TimePoint> pauseEnd(const UpstreamRecord &upstream, TimePoint now) const;
    /// Returns whether @p order may be sent to @p upstream now, and counts it. See `UpstreamPauses`.
    [[nodiscard]] bool takeOrder(const UpstreamRecord &upstream, PausedOrder order, TimePoint now);
    /// Number of upstreams that want no requests from this entry.
    [[nodiscard]] std::size_t pausedUpstreams() const
    {
        return m_pauses.size();
    }
    /// Number of upstreams that are known to be cold.
    [[nodiscard]] std::size_t coldUpstreams(TimePoint now) const
    {
        return m_cold.size(now);
    }
    /// Number of upstreams that may not use all of their concurrency.
    [[nodiscard]] std::size_t pacedUpstreams() const
    {
        return m_pace.size();
    }
    /// Applies what another entry has reported of prompt parts.
    void applyQuarantineUpdate(const QuarantineUpdate &update, TimePoint now);
    /// Returns what all other entries must learn of prompt parts at once; later calls do not return it again.
    [[nodiscard]] QuarantineUpdate takeQuarantineUpdate();
    /// Returns what each heartbeat repeats of it.
    [[nodiscard]] QuarantineUpdate quarantineSummary(TimePoint now);
    /// Number of prompt parts in quarantine.
    [[nodiscard]] std::size_t quarantinedParts(TimePoint now) const;
    /// True if this entry's failure domain is a cell. See `CellView`.
    [[nodiscard]] bool inCell() const
    {
        return m_inCell;
    }
    /// Load of the engines in the own failure domain at the last tick.
    [[nodiscard]] const DomainLoad &ownLoad() const
    {
        return m_ownLoad;
    }
    /// Records the load that an entry of @p domain has reported for its engines.
    void noteDomainLoad(const FailureDomain &domain, const DomainLoad &load, TimePoint now);
    /// Returns the placements of this entry's current attempts, for an entry that has just joined.
    [[nodiscard]] std::vector<Placement> ownPlacements(TimePoint now) const;
    /// Drops the placements of another entry, which has failed or restarted.
    void dropEntry(const InstanceId &entry, TimePoint now);

    [[nodiscard]] std::optional<AttemptPlan>
    planAttempt(const RelayCall &call, const std::set<InstanceId> &tried, TimePoint now) override;
    [[nodiscard]] std::optional<Error> waitForRoom(const RelayCall &call, TimePoint now) override;
    void waitEnded(const RelayCall &call, bool started, TimePoint now) override;
    [[nodiscard]] std::optional<PlanFault>
    planFault(const RelayCall &call, const AttemptPlan &plan, TimePoint now) const override;
    [[nodiscard]] std::optional<Error> readmit(RelayCall &call) override;
    [[nodiscard]] std::optional<Error> checkPrompt(const RelayCall &call, TimePoint now) const override;
    void startBroken(const RelayCall &call, const UpstreamRecord &upstream, bool atFirstEvent, TimePoint now) override;
    [[nodiscard]] std::optional<EngineRank> engineRank(const RelayCall &call, bool begun, TimePoint now) const override;
    [[nodiscard]] bool takeRetry(const ServiceName &service, TimePoint now) override;
    void attemptStarted(const RelayCall &call, const AttemptPlan &plan, TimePoint now) override;
    void firstEventReceived(const RelayCall &call, TimePoint now) override;
    void promptAnswered(const RelayCall &call, TimePoint now) override;
    void attemptEnded(const RelayCall &call, const AttemptPlan &plan, TimePoint now) override;
    void callRefused(const RelayCall &call, TimePoint now) override;
    [[nodiscard]] bool changeBuffered(const RelayCall &call, std::int64_t change) override;
    void noticeReceived(const UpstreamRecord &upstream, const UpstreamNotice &notice, TimePoint now) override;
    [[nodiscard]] std::optional<Duration> retryDelay(const RelayCall &call, TimePoint now) const override;
    void upstreamProgressed(const InstanceId &upstream, TimePoint now) override;
    [[nodiscard]] TimePoint lastProgress(const InstanceId &upstream) const override;
    void upstreamSucceeded(const InstanceId &upstream) override;
    void upstreamFailed(const InstanceId &upstream, UpstreamFault fault, TimePoint now) override;
    void upstreamDeclined(const InstanceId &upstream, TimePoint now) override;
    std::optional<InstanceId> upstreamFailedAt(const UpstreamAddress &address, TimePoint now) override;

private:
    struct OpenCall;
    using FlowStep = std::function<void(CallFlow &flow, CallActions &actions)>;

    /// Runs @p step on an open call and appends its actions to @p actions; does nothing if the call has ended.
    void run(CallNumber number, const FlowStep &step, RelayActions &actions);
    /// Returns the time within which all but rare calls of @p route end.
    [[nodiscard]] Duration typicalDuration(const RelayRoute &route) const;
    /// Updates the timer queue after a step of the call, which may have changed the time of its next timeout.
    void reschedule(CallNumber number, OpenCall &open);
    /// Returns the route and the customer for a request by the current configuration, or an error if that does not
    /// admit the request. The customer is empty if the route needs no API key.
    [[nodiscard]] Result<std::pair<const RelayRoute *, CustomerId>>
    admit(const std::string &host, const std::string &path, const std::string &key) const;
    /// Returns the hash that identifies @p incoming when it is sent again for @p customer.
    [[nodiscard]] static RequestHash requestHash(const IncomingCall &incoming, const CustomerId &customer);
    void noteRateLimit(const UpstreamRecord &upstream, std::optional<RequestRate> limit, TimePoint now);
    void notePause(const UpstreamRecord &upstream, Duration pause, TimePoint now);
    void noteCold(const UpstreamRecord &upstream, Duration remaining, TimePoint now);
    /// Counts a request to @p upstream that leaves at @p at, if the upstream is cold.
    void noteSentToCold(const UpstreamRecord &upstream, TimePoint at, TimePoint now);
    /// Paces @p member if it has just started or is cold.
    void beginPace(const UpstreamDirectory::Member &member, TimePoint now);
    /// Tells the other entries of the share of @p upstream; @p reason says what has changed it.
    void announcePace(const InstanceId &upstream, UpstreamRunKey key, std::string_view reason, TimePoint now);
    /// Tells the other entries of a cold upstream, or of a request to one.
    void announceCold(UpstreamRunKey upstream, TimePoint now);
    /// Tells the other entries of a change of an upstream's rate limit, or of a request to a limited upstream. The
    /// entries of other cells learn of it if @p fleetWide is true.
    void announceRate(UpstreamRunKey upstream, bool fleetWide, TimePoint now);
    void applyRateReports(const InstanceId &entry, const std::vector<RateLimitReport> &reports, TimePoint now);
    /// Returns the error for a call to which the quarantine @p hit applies.
    [[nodiscard]] static Error quarantineError(const RelayCall &call, const PromptQuarantine::Hit &hit);
    /// Returns an error if a quarantine applies to @p call, which has just arrived. Otherwise, the call may be marked
    /// as a test of one.
    [[nodiscard]] std::optional<Error> checkQuarantine(RelayCall &call, TimePoint now);
    /// Returns the predicted time from the start of an attempt by @p plan to the end of its response.
    [[nodiscard]] static Duration
    expectedTime(const RelayCall &call, const EngineProfile &profile, const AttemptPlan &plan);
    /// Returns the properties of @p call that determine its rank.
    [[nodiscard]] RankedCall rankedCall(const RelayCall &call) const;
    /// Returns the configured service @p name, or null.
    [[nodiscard]] const RelayService *service(const ServiceName &name) const;
    /// Whether a plan may use more than the estimated capacity of the engines, since the estimates lag behind the end
    /// of calls, and engines can queue a few calls.
    enum class Capacity {
        Estimated,
        Overcommitted,
    };
    /// Chooses engines for a generation by predicted load.
    [[nodiscard]] std::optional<AttemptPlan>
    planGeneration(const RelayCall &call,
                   const EngineProfile &profile,
                   const std::vector<const UpstreamDirectory::Member *> &engines,
                   Capacity capacity,
                   TimePoint now);
    /// True if @p call may wait for room.
    [[nodiscard]] bool mayWait(const RelayCall &call) const;
    /// Returns the longest predicted time to the first event with which @p call is started.
    [[nodiscard]] Duration firstEventLimit(const RelayCall &call, TimePoint now) const;
    /// Returns the time at which the caller gives @p call up if it has received no event.
    [[nodiscard]] TimePoint abandonment(const RelayCall &call) const;
    /// Returns the time until which a start of a call that may wait is of use.
    [[nodiscard]] TimePoint latestStart(const RelayCall &call) const;
    /// True if a call that may wait is planned beyond the estimated capacity, since it would be refused a second time.
    [[nodiscard]] bool mayOvercommit(const RelayCall &call, TimePoint now) const;
    /// Returns the KV memory of an engine that may be planned for.
    [[nodiscard]] Tokens usableMemory(const EngineProfile &profile) const;
    /// Returns the free slots of the engines of @p call's service that can begin a short prompt soon.
    [[nodiscard]] std::size_t freeSlots(const RelayCall &call, TimePoint now) const;
    /// True if engines have room for @p call, which returns after a refusal, besides that for new calls.
    [[nodiscard]] bool hasRoomToReturn(const RelayCall &call, TimePoint now) const;
    /// Describes a call that may wait.
    [[nodiscard]] WaitingCall waitingCall(const RelayCall &call, TimePoint now) const;
    /// True if the customer of @p call is above its share while calls of others wait at other entries.
    [[nodiscard]] bool yieldsToOthers(const RelayCall &call, TimePoint now) const;
    /// Returns the predicted engine time of a generation.
    [[nodiscard]] static Duration predictedWork(const RelayCall &call, const EngineProfile &profile);
    /// Returns when a waiting call is predicted to start; empty if that is not known.
    [[nodiscard]] std::optional<TimePoint>
    predictedStart(const RelayCall &call, const WaitingCall &waiting, TimePoint now) const;
    /// Refuses displaced calls, and plans the most urgent waiting calls if there may be room for them.
    void serveWaiting(TimePoint now, RelayActions &actions);
    /// Chooses engines of the own cell, or those of a less loaded domain if the cell would miss the call's objective.
    /// Plans beyond the estimated capacity are made only if @p most allows them.
    [[nodiscard]] std::optional<AttemptPlan> planInCells(const RelayCall &call,
                                                         const EngineProfile &profile,
                                                         const std::vector<const UpstreamDirectory::Member *> &engines,
                                                         Capacity most,
                                                         TimePoint now);
    /// Measures the load of the own failure domain and decides whether it is a cell.
    void updateCell(TimePoint now);
    /// Returns the other domains whose engines @p plan uses.
    [[nodiscard]] std::set<FailureDomain> remoteDomains(const AttemptPlan &plan) const;
    /// Chooses the upstream with the fewest open calls of this entry, weighed by the share that it may use.
    [[nodiscard]] std::optional<AttemptPlan>
    planPlainCall(const std::vector<const UpstreamDirectory::Member *> &upstreams);
    void recordRefusal(std::uint64_t fingerprint, TimePoint now);
    /// Returns the bytes of responses that are held, without those of the calls in `m_overLimit`.
    [[nodiscard]] std::int64_t heldBytes() const;
    /// Returns the call with the largest incomplete response, without those in `m_overLimit`; empty if none holds more
    /// than it may always hold.
    [[nodiscard]] std::optional<CallNumber> largestBuffer() const;
    /// Returns the retry budget of @p service with limits for the current number of entries.
    RetryBudget &budget(const ServiceName &service);

    RelayCoreSettings m_settings;
    EventListener *m_listener;
    SeededRandom m_random;
    UpstreamDirectory m_directory;
    MemberView m_members;
    EngineLoadTable m_loads;
    UpstreamPace m_pace;
    EnginePlanner m_planner;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<CallNumber, std::unique_ptr<OpenCall>> m_calls;
    /// Open calls by the time of their next timeout.
    std::set<std::pair<TimePoint, CallNumber>> m_due;
    std::optional<TimePoint> m_stopEnd;
    std::uint64_t m_lastCall = 0;
    /// Announcement of the current attempt of a call.
    struct AnnouncedPlacement
    {
        /// Number under which the attempt is announced.
        CallNumber number;
        /// Other domains that it is announced to.
        std::set<FailureDomain> domains;
    };
    std::map<CallNumber, AnnouncedPlacement> m_placements;
    std::uint64_t m_lastPlacement = 0;
    /// Current attempt of a call that has not been answered yet.
    struct UnansweredAttempt
    {
        InstanceId upstream;
        UpstreamRunKey key;
        TimePoint started;
        /// Predicted time to the first event on an upstream that is not slow; empty if the call is no generation.
        std::optional<Duration> predicted;
    };
    std::map<CallNumber, UnansweredAttempt> m_unanswered;
    /// Offset that breaks ties between equally good engines, which differs between entries. See `GenerationQuery`.
    std::size_t m_tieBreakOffset;
    /// Number of this entry's open attempts at each upstream that are not generations.
    std::map<InstanceId, int> m_plainCalls;
    /// Time at which body bytes of any call were last received from an upstream.
    std::map<InstanceId, TimePoint> m_progress;
    std::map<ServiceName, RetryBudget> m_budgets;
    /// Fingerprints of refused calls, with their expiry times.
    std::map<std::uint64_t, TimePoint> m_refused;
    /// Load changes that have not been announced to the other entries yet.
    LoadUpdate m_pendingUpdate;
    /// Bytes of incomplete responses and events: of all calls together, and of each call that holds any.
    std::int64_t m_bufferedBytes = 0;
    std::map<CallNumber, std::int64_t> m_buffered;
    std::int64_t m_unsentBytes = 0;
    /// Calls whose response is given up after the current step, since the buffers are full.
    std::set<CallNumber> m_overLimit;
    std::map<FailureDomain, LoadUpdate> m_remoteUpdates;
    PromptQuarantine m_quarantine;
    UpstreamRateLimits m_rateLimits;
    UpstreamPauses m_pauses;
    DomainEvacuations m_evacuations;
    ColdUpstreams m_cold;
    UpstreamAdmission m_admission;
    std::vector<RateLimitReport> m_fleetRateReports;
    std::vector<ColdUpstreamReport> m_fleetColdReports;
    CellView m_cells;
    CallRanker m_ranker;
    WaitingRoom m_room;
    NewCallReserve m_reserve;
    CustomerShares m_shares;
    WaitCounts m_waits;
    /// Calls that had to leave the room and have not been refused yet.
    std::vector<CallNumber> m_displaced;
    /// True if there may be room for waiting calls since they were planned last.
    bool m_roomChanged = false;
    /// Time of the last load changes of another entry.
    TimePoint m_loadNewsAt = TimePoint::min();
    bool m_inCell = false;
    DomainLoad m_ownLoad;
};

} // namespace ibismast
