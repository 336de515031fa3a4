#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/relay/callflow.h"
#include "ibismast/relay/memberview.h"
#include "ibismast/relay/routetable.h"
#include "ibismast/retry/retrybudget.h"

#include <functional>
#include <memory>

namespace ibismast
{

/// Call as a caller sent it, decoded.
struct IncomingCall
{
    /// Id that the caller gave the call.
    std::string requestId;
    std::string host;
    /// Path without the query.
    std::string path;
    /// Key of the caller; empty if it sent none.
    std::string key;
    /// Time that the caller waits; nothing if it did not say.
    std::optional<Duration> callerTimeout;
    GenerationSize size;
    std::string lastEventId;
    /// Hash of what stays the same when the caller sends the call again after a refusal; 0 if nothing tells.
    std::uint64_t fingerprint = 0;
};

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
    /// Retries of all entries together in ten seconds, as a share of the requests and as a number beside it.
    double retryRatio = 0.2;
    double retryAllowance = 100.0;
    /// Share of these that is used, since the entries' windows are not aligned with those of the judge of the budget.
    double retryMargin = 0.6;
    /// Multiple of the engines' memory that may be taken by estimate, since outputs are usually shorter than estimated.
    double memoryOvercommit = 2.0;
    /// Streams that may wait at an engine beyond its slots before calls are refused: a longer wait costs most of an
    /// answer's worth, and room elsewhere is a second away.
    int engineQueue = 1;
    /// The same for calls that come back after a refusal.
    int returningQueue = 12;
    /// Time that a stream needs at most but for rare ones; a stopping instance takes none with less time left.
    Duration usualStream = std::chrono::milliseconds(4600);
    /// Time for which a refused call is remembered; callers return within a third of their time.
    Duration refusalMemory = std::chrono::seconds(6);
    std::size_t maxRefusals = 4096;
};

/// Work that this entry tells other entries about.
struct LoadUpdate
{
    std::vector<Placement> placed;
    /// Calls whose prompts have been read.
    std::vector<CallNumber> read;
    std::vector<CallNumber> ended;
    /// Fingerprints of calls that were refused and may come back through another entry.
    std::vector<std::uint64_t> refused;

    [[nodiscard]] bool empty() const
    {
        return placed.empty() && read.empty() && ended.empty() && refused.empty();
    }
};

/// Decisions of one entry instance that relays calls with opaque bodies: admission by route and key, choice of
/// upstreams, retries, answers.
///
/// Deterministic and free of I/O: the shell supplies messages and times and carries out the actions.
class RelayCore final : public CallEnvironment
{
public:
    RelayCore(RelayCoreSettings settings, std::uint64_t seed, EventListener &listener);
    ~RelayCore() override;
    RelayCore(const RelayCore &) = delete;
    RelayCore &operator=(const RelayCore &) = delete;

    /// Puts @p config in force; an older version than the present one is ignored.
    void applyConfig(RelayConfig config, TimePoint now);
    [[nodiscard]] UpstreamDirectory &directory()
    {
        return m_directory;
    }
    [[nodiscard]] const InstanceId &self() const
    {
        return m_settings.self;
    }
    [[nodiscard]] MemberView &members()
    {
        return m_members;
    }
    /// Returns the configuration in force, or null.
    [[nodiscard]] const RelayConfig *config() const;
    /// The instance stops at @p end: from now on it takes only calls that it can answer by then.
    void beginStop(TimePoint end);
    /// True if calls can be served: a configuration and the upstreams are known.
    [[nodiscard]] bool ready() const;

    /// Admits a call and returns its number, or the reason why it is refused.
    [[nodiscard]] Result<CallNumber> submit(const IncomingCall &incoming, TimePoint now, RelayActions &actions);
    void attemptFailed(CallNumber call,
                       int attempt,
                       AttemptFailure failure,
                       std::string_view reason,
                       TimePoint now,
                       RelayActions &actions);
    void memoryReserved(CallNumber call, int attempt, bool granted, TimePoint now, RelayActions &actions);
    void headReceived(CallNumber call, int attempt, const ResponseHead &head, TimePoint now, RelayActions &actions);
    void bodyReceived(CallNumber call, int attempt, std::string_view bytes, TimePoint now, RelayActions &actions);
    void responseCompleted(CallNumber call, int attempt, TimePoint now, RelayActions &actions);
    void callerDisconnected(CallNumber call, TimePoint now, RelayActions &actions);
    /// Carries out what is due at @p now.
    void tick(TimePoint now, RelayActions &actions);
    /// Next time at which `tick` has something to do.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;
    /// Returns the customer of an open call; empty if the call has ended or needs no key.
    [[nodiscard]] CustomerId customerOf(CallNumber call) const;
    [[nodiscard]] std::size_t openCalls() const
    {
        return m_calls.size();
    }

    /// Work of another entry.
    void applyLoadUpdate(const InstanceId &entry, const LoadUpdate &news, TimePoint now);
    /// Returns and forgets what other entries have not been told yet.
    [[nodiscard]] LoadUpdate takeLoadUpdate();
    /// Returns the work of this entry that is under way, for an entry that has not heard of it.
    [[nodiscard]] std::vector<Placement> ownPlacements(TimePoint now) const;
    /// Another entry has not been heard of for long, or has started anew.
    void dropEntry(const InstanceId &entry, TimePoint now);

    [[nodiscard]] std::optional<AttemptPlan>
    planAttempt(const RelayCall &call, const std::set<InstanceId> &tried, TimePoint now) override;
    [[nodiscard]] bool takeRetry(const ServiceName &service, TimePoint now) override;
    void attemptStarted(const RelayCall &call, const AttemptPlan &plan, TimePoint now) override;
    void firstEventReceived(const RelayCall &call, TimePoint now) override;
    void attemptEnded(const RelayCall &call, const AttemptPlan &plan, TimePoint now) override;
    void callRefused(const RelayCall &call, TimePoint now) override;
    void upstreamProgressed(const InstanceId &upstream, TimePoint now) override;
    [[nodiscard]] TimePoint lastProgress(const InstanceId &upstream) const override;
    void upstreamSucceeded(const InstanceId &upstream) override;
    void upstreamFailed(const InstanceId &upstream, TimePoint now) override;
    std::optional<InstanceId> upstreamFailedAt(const UpstreamAddress &address, TimePoint now) override;

private:
    struct OpenCall;
    using FlowStep = std::function<void(CallFlow &flow, CallActions &actions)>;

    /// Runs @p step on an open call and hands its actions on; does nothing if the call has ended.
    void run(CallNumber number, const FlowStep &step, RelayActions &actions);
    /// Returns the time within which a call ends but for rare ones.
    [[nodiscard]] Duration usualTime(const RelayRoute &route) const;
    void reschedule(CallNumber number, OpenCall &open);
    [[nodiscard]] const RelayService *service(const ServiceName &name) const;
    [[nodiscard]] std::optional<AttemptPlan>
    planGeneration(const RelayCall &call,
                   const EngineProfile &profile,
                   const std::vector<const UpstreamDirectory::Member *> &engines,
                   TimePoint now);
    [[nodiscard]] std::optional<AttemptPlan>
    planPlainCall(const std::vector<const UpstreamDirectory::Member *> &upstreams);
    void rememberRefusal(std::uint64_t fingerprint, TimePoint now);
    RetryBudget &budget(const ServiceName &service);

    RelayCoreSettings m_settings;
    EventListener *m_listener;
    SeededRandom m_random;
    UpstreamDirectory m_directory;
    MemberView m_members;
    EngineLoadTable m_loads;
    EnginePlanner m_planner;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<CallNumber, std::unique_ptr<OpenCall>> m_calls;
    std::set<std::pair<TimePoint, CallNumber>> m_due;
    std::optional<TimePoint> m_stopEnd;
    std::uint64_t m_lastCall = 0;
    /// Number under which the present attempt of each call is known to the other entries.
    std::map<CallNumber, CallNumber> m_placements;
    std::uint64_t m_lastPlacement = 0;
    /// Position from which this entry takes equal engines, see `GenerationQuery`.
    std::size_t m_firstChoice;
    /// Open calls of this entry at each upstream of a plain service.
    std::map<InstanceId, int> m_plainCalls;
    /// Last time at which bytes of any call came from an upstream.
    std::map<InstanceId, TimePoint> m_progress;
    std::map<ServiceName, RetryBudget> m_budgets;
    /// Calls that were refused, by fingerprint, with the time until which they are remembered.
    std::map<std::uint64_t, TimePoint> m_refused;
    LoadUpdate m_news;
};

} // namespace ibismast
