#pragma once

#include "ibismast/relay/callflow.h"

#include <algorithm>

namespace ibismast
{

using namespace std::chrono_literals;

/// Environment that chooses the first upstream of a list that has not been tried.
class FakeEnvironment final : public CallEnvironment
{
public:
    std::optional<AttemptPlan>
    planAttempt(const RelayCall & /*call*/, const std::set<InstanceId> &tried, TimePoint /*now*/) override
    {
        for (const std::string &name : upstreams) {
            if (!tried.contains(InstanceId(name))) {
                AttemptPlan plan;
                plan.upstream.id = InstanceId(name);
                plan.timeToFirstEvent = 100ms;
                plan.delay = delay;
                if (reserved.value() > 0) {
                    plan.helpers.resize(holders, {UpstreamRecord(), reserved, {}});
                }
                return plan;
            }
        }
        return std::nullopt;
    }
    std::optional<Error> waitForRoom(const RelayCall & /*call*/, TimePoint /*now*/) override
    {
        if (mayWait) {
            ++waits;
            return std::nullopt;
        }
        return Error {ResultCode::NoUpstream, "no upstream has room", std::nullopt};
    }
    void waitEnded(const RelayCall & /*call*/, bool started, TimePoint /*now*/) override
    {
        waitOutcomes.push_back(started);
    }
    std::optional<PlanFault>
    planFault(const RelayCall & /*call*/, const AttemptPlan &plan, TimePoint /*now*/) const override
    {
        return faultyUpstream == plan.upstream.id.value() ? std::optional(PlanFault {"changed", faultIsFatal})
                                                          : std::nullopt;
    }
    std::optional<Error> readmit(RelayCall & /*call*/) override
    {
        return revoked;
    }
    std::optional<Error> checkPrompt(const RelayCall & /*call*/, TimePoint /*now*/) const override
    {
        return quarantine;
    }
    void startBroken(const RelayCall & /*call*/,
                     const UpstreamRecord &upstream,
                     bool atFirstEvent,
                     TimePoint /*now*/) override
    {
        brokenStarts.push_back(upstream.id.value() + (atFirstEvent ? "" : " unclear"));
    }
    void promptAnswered(const RelayCall & /*call*/, TimePoint /*now*/) override
    {
        ++promptsAnswered;
    }
    std::optional<EngineRank> engineRank(const RelayCall & /*call*/, bool begun, TimePoint /*now*/) const override
    {
        return EngineRank(begun ? 0 : 4);
    }
    bool takeRetry(const ServiceName & /*service*/, TimePoint /*now*/) override
    {
        return retriesLeft-- > 0;
    }
    void attemptStarted(const RelayCall & /*call*/, const AttemptPlan & /*plan*/, TimePoint /*now*/) override
    {
        ++open;
    }
    void firstEventReceived(const RelayCall & /*call*/, TimePoint /*now*/) override { }
    void attemptEnded(const RelayCall & /*call*/, const AttemptPlan & /*plan*/, TimePoint /*now*/) override
    {
        --open;
    }
    void callRefused(const RelayCall & /*call*/, TimePoint /*now*/) override
    {
        ++refused;
    }
    bool changeBuffered(const RelayCall & /*call*/, std::int64_t change) override
    {
        if (change > 0 && buffered + change > bufferLimit) {
            return false;
        }
        buffered += change;
        return true;
    }
    void noticeReceived(const UpstreamRecord & /*upstream*/, const UpstreamNotice &received, TimePoint /*now*/) override
    {
        rateLimit = received.rateLimit;
        pause = received.pause ? received.pause : pause;
        leaving = leaving || received.leaving;
    }
    std::optional<Duration> retryDelay(const RelayCall & /*call*/, TimePoint /*now*/) const override
    {
        return pause;
    }
    void upstreamProgressed(const InstanceId & /*upstream*/, TimePoint now) override
    {
        progress = now;
    }
    TimePoint lastProgress(const InstanceId & /*upstream*/) const override
    {
        return progress;
    }
    void upstreamSucceeded(const InstanceId & /*upstream*/) override { }
    void upstreamFailed(const InstanceId &upstream, UpstreamFault /*fault*/, TimePoint /*now*/) override
    {
        failed.push_back(upstream.value());
    }
    void upstreamDeclined(const InstanceId &upstream, TimePoint /*now*/) override
    {
        full.push_back(upstream.value());
    }
    std::optional<InstanceId> upstreamFailedAt(const UpstreamAddress &address, TimePoint /*now*/) override
    {
        return InstanceId(address.value());
    }

    std::vector<std::string> upstreams {"a", "b", "c"};
    /// True if calls may wait for room, how often they were told to, and how their waits ended.
    bool mayWait = false;
    int waits = 0;
    std::vector<bool> waitOutcomes;
    /// Upstreams at which an attempt has failed.
    std::vector<std::string> failed;
    /// Upstreams that have declined a call.
    std::vector<std::string> full;
    /// Upstream whose plans are out of date; empty for none.
    std::string faultyUpstream;
    bool faultIsFatal = true;
    /// Error with which the current configuration refuses the call.
    std::optional<Error> revoked;
    /// True once a response has said that its upstream is leaving.
    bool leaving = false;
    /// Limit that the last response has named.
    std::optional<RequestRate> rateLimit;
    /// Pause that an upstream has asked for last; the call may return after it.
    std::optional<Duration> pause;
    /// Error with which the call's prompt is kept from further upstreams.
    std::optional<Error> quarantine;
    /// Upstreams at which the call broke off at the start of its answer.
    std::vector<std::string> brokenStarts;
    /// How often the call's prompt was reported as sound.
    int promptsAnswered = 0;
    /// Memory to reserve on each of `holders` engines; zero for none.
    Tokens reserved;
    std::size_t holders = 1;
    Duration delay {};
    int retriesLeft = 100;
    int open = 0;
    int refused = 0;
    TimePoint progress = TimePoint::min();
    std::int64_t buffered = 0;
    std::int64_t bufferLimit = std::int64_t {1} << 30;
};

/// Describes an action by a keyword and its main parameter.
inline std::string describe(const CallAction &action)
{
    return std::visit(Overloaded {[](const StartAttempt &start) {
                                      return "start " + start.plan.upstream.id.value()
                                          + (start.lastEventId.empty() ? "" : " behind " + start.lastEventId);
                                  },
                                  [](const ReserveEngineMemory &reserve) {
                                      return std::string(reserve.extends ? "extend" : "reserve");
                                  },
                                  [](const ReleaseEngineMemory & /*release*/) {
                                      return std::string("release");
                                  },
                                  [](const InspectEngineMemory & /*inspect*/) {
                                      return std::string("inspect");
                                  },
                                  [](const SetResponsePaused &pause) {
                                      return std::string(pause.paused ? "pause" : "resume");
                                  },
                                  [](const AbortAttempt & /*abort*/) {
                                      return std::string("abort");
                                  },
                                  [](const SendHead & /*send*/) {
                                      return std::string("head");
                                  },
                                  [](const SendBody &send) {
                                      return "body " + std::to_string(std::ranges::count(send.bytes, ':') / 2);
                                  },
                                  [](const EndBody & /*end*/) {
                                      return std::string("end");
                                  },
                                  [](const SendFullResponse &send) {
                                      return "whole " + send.body;
                                  },
                                  [](const Refuse &refuse) {
                                      return "refuse " + std::to_string(resultCodeInfo(refuse.code).httpStatus);
                                  },
                                  [](const CloseCallerConnection & /*cut*/) {
                                      return std::string("cut");
                                  }},
                      action);
}

class FlowFixture
{
protected:
    /// Starts a call of @p kind.
    void begin(CallKind kind, int maxAttempts, Duration objective = 300ms, Duration timeout = 10s)
    {
        RelayCall call;
        call.number = CallNumber(1);
        call.requestId = "r1";
        call.route.kind = kind;
        call.route.maxAttempts = maxAttempts;
        call.route.objective = objective;
        call.route.pauseTarget = 250ms;
        call.arrived = now;
        call.deadline = now + timeout;
        m_flow.emplace(std::move(call), CallFlowSettings(), environment, m_listener);
        flow().start(now, actions);
    }
    CallFlow &flow()
    {
        return *m_flow;
    }
    /// Returns descriptions of the actions since the last call of this function, and clears them.
    std::string done()
    {
        std::string text;
        for (const CallAction &action : actions) {
            text += (text.empty() ? "" : ", ") + describe(action);
        }
        actions.clear();
        return text;
    }
    void head(int attempt, int status, bool notRun = false)
    {
        flow().headReceived(attempt, {status, notRun, true, {}}, now, actions);
    }
    void event(int attempt, int id)
    {
        flow().bodyReceived(attempt, "id:" + std::to_string(id) + "\ndata:x\n\n", now, actions);
    }
    /// Advances the time to the next timeout of the call and handles it.
    void wait()
    {
        now = flow().nextDue();
        flow().timerExpired(now, actions);
    }

    FakeEnvironment environment;
    CallActions actions;
    TimePoint now {1'000s};

private:
    EventListener m_listener;
    std::optional<CallFlow> m_flow;
};

} // namespace ibismast
