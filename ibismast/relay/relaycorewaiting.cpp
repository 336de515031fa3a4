#include "ibismast/relay/relaycore.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Waiting calls that are checked when an attempt ends. Each check plans a call.
constexpr std::size_t MaxChecks = 4;

std::string inMs(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

// Implementation of `CallEnvironment`: calls that wait for room.

bool RelayCore::mayWait(const RelayCall &call) const
{
    const RelayService *target = service(call.service);
    return m_settings.waiting.enabled && !call.begun && target != nullptr && target->engine
        && call.size.prompt.value() > 0;
}

TimePoint RelayCore::abandonment(const RelayCall &call) const
{
    const bool stream = call.route.kind == CallKind::Stream || call.route.kind == CallKind::ResumableStream;
    // Callers of other kinds wait for the whole response.
    return stream ? std::min(call.deadline, call.arrived + callerSilence(call.route, m_settings.call)) : call.deadline;
}

TimePoint RelayCore::latestStart(const RelayCall &call) const
{
    if (call.returning) {
        return call.arrived
            + fromSeconds(toSeconds(abandonment(call) - call.arrived) * m_settings.waiting.returningWaitShare);
    }
    const EngineProfile &profile = *service(call.service)->engine;
    RankedCall ranked = rankedCall(call);
    ranked.level = 0;
    // A call that starts joins a running pass of a full engine half way on average, and its first event ends the next.
    const int slots = std::max(1, profile.slots);
    const Duration pass =
        estimateDecodePass(profile, static_cast<std::size_t>(slots), Tokens(call.size.prompt.value() * slots));
    const TimePoint latest = m_ranker.dueTime(ranked) - pass - pass / 2;
    return std::min(std::max(latest, call.arrived + m_settings.waiting.minWait), call.deadline);
}

std::size_t RelayCore::freeSlots(const RelayCall &call, TimePoint now) const
{
    const auto slots = static_cast<std::size_t>(service(call.service)->engine->slots);
    std::size_t free = 0;
    for (const UpstreamDirectory::Member *member : m_directory.candidates(call.service, now).trusted) {
        const EngineWorkload &load = m_loads.load(member->record.id);
        if (load.streams() < slots && load.backlog(now) <= m_settings.reserve.horizon
            && m_admission.decide(*member, now).usable()) {
            free += slots - load.streams();
        }
    }
    return free;
}

bool RelayCore::hasRoomToReturn(const RelayCall &call, TimePoint now) const
{
    return freeSlots(call, now) > m_reserve.slots(now);
}

bool RelayCore::mayOvercommit(const RelayCall &call, TimePoint now) const
{
    return call.returning && now >= latestStart(call) && hasRoomToReturn(call, now);
}

Tokens RelayCore::usableMemory(const EngineProfile &profile) const
{
    return Tokens(
        static_cast<std::int64_t>(static_cast<double>(profile.memory.value()) * m_settings.planner.memoryShare));
}

Duration RelayCore::predictedWork(const RelayCall &call, const EngineProfile &profile)
{
    // The streams of a batch share its passes.
    const double passes = profile.typicalOutputTokens / static_cast<double>(profile.tokensPerPass);
    const Duration pass = estimateDecodePass(profile, 1, call.size.prompt);
    return estimatePrefillTime(profile, call.size.prompt)
        + fromSeconds(passes * toSeconds(pass) / static_cast<double>(std::max(1, profile.slots)));
}

bool RelayCore::yieldsToOthers(const RelayCall &call, TimePoint now) const
{
    return m_shares.isAboveShare(call.service, call.customer, now)
        && m_shares.othersWait(call.service, call.customer, now);
}

std::vector<CustomerWork> RelayCore::customerWork() const
{
    return m_settings.shares.enabled ? m_shares.ownReport(m_room.waitingWork()) : std::vector<CustomerWork>();
}

WaitingCall RelayCore::waitingCall(const RelayCall &call, TimePoint now) const
{
    const EngineProfile &profile = *service(call.service)->engine;
    const Tokens memory = call.size.prompt + Tokens(static_cast<std::int64_t>(profile.typicalOutputTokens));
    const TimePoint latest = latestStart(call);
    const bool yields = m_shares.isAboveShare(call.service, call.customer, now);
    // The objective of a returning call has passed. It must not make calls late that can still meet theirs.
    const TimePoint due = (call.returning ? latest : m_ranker.dueTime(rankedCall(call)))
        + (yields ? m_settings.shares.yieldStep : Duration::zero());
    return {call.number,
            call.service,
            due,
            latest,
            memory,
            call.bodyBytes,
            {},
            call.customer,
            predictedWork(call, profile)};
}

std::optional<TimePoint>
RelayCore::predictedStart(const RelayCall &call, const WaitingCall &waiting, TimePoint now) const
{
    const EngineProfile &profile = *service(call.service)->engine;
    RoomForecast forecast(waiting.memory, now);
    for (const UpstreamDirectory::Member *member : m_directory.candidates(call.service, now).trusted) {
        if (m_admission.decide(*member, now).usable()) {
            forecast.addEngine(m_loads.load(member->record.id), profile.slots, usableMemory(profile));
        }
    }
    // The other entries are assumed to have as many calls waiting.
    return forecast.start(m_room.callsBefore(waiting) * (m_members.otherCount() + 1));
}

std::optional<Error> RelayCore::waitForRoom(const RelayCall &call, TimePoint now)
{
    if (!mayWait(call)) {
        return Error {ResultCode::NoUpstream, "no upstream has room", std::nullopt};
    }
    const WaitingCall waiting = waitingCall(call, now);
    const std::optional<TimePoint> enteredAt = m_room.enteredAt(call.number);
    const std::optional<TimePoint> start = predictedStart(call, waiting, now);
    const auto report = [&](std::string_view event, std::string_view reason) {
        m_listener->onEvent(event,
                            {{"request", call.requestId},
                             {"reason", std::string(reason)},
                             {"customer", call.customer.value()},
                             {"priority", std::to_string(call.priority.value())},
                             {"due_ms", inMs(waiting.due - now)},
                             {"latest_start_ms", inMs(waiting.latestStart - now)},
                             {"predicted_start_ms", start ? inMs(*start - now) : "none"},
                             {"share_use", std::to_string(m_shares.useOfShare(call.service, call.customer, now))},
                             {"before", std::to_string(m_room.callsBefore(waiting))},
                             {"waiting", std::to_string(m_room.size())},
                             {"free_slots", std::to_string(freeSlots(call, now))},
                             {"reserved_slots", std::to_string(m_reserve.slots(now))},
                             {"waited_ms", enteredAt ? inMs(now - *enteredAt) : "0"},
                             {"loads_age_ms", m_loadNewsAt == TimePoint::min() ? "none" : inMs(now - m_loadNewsAt)}});
    };
    const auto refuse = [&](std::string reason) {
        report("wait_refused", reason);
        ++(enteredAt ? m_waits.refusedLater : m_waits.refusedAtOnce);
        const WaitingRoomSettings &limits = m_settings.waiting;
        // Calls that come back into a shortage would get no room before new ones.
        const bool shortage = freeSlots(call, now) < m_reserve.slots(now);
        const Duration delay = shortage ? limits.maxRetryAfter
            : start                     ? std::clamp(*start - now, limits.minRetryAfter, limits.maxRetryAfter)
                                        : retryDelay(call, now).value_or(limits.maxRetryAfter);
        return Error {ResultCode::NoUpstream, std::move(reason), delay};
    };
    if (m_stopEnd) {
        return Error {ResultCode::ShuttingDown, "the instance is shutting down", m_settings.stopRetryAfter};
    }
    if (now >= waiting.latestStart) {
        return refuse(yieldsToOthers(call, now) ? "the customer is above its share and others wait"
                                                : "no upstream had room in time");
    }
    if (!start || *start > waiting.latestStart) {
        return refuse("no upstream is predicted to have room in time");
    }
    const std::optional<std::vector<CallNumber>> displaced = m_room.displacedBy(waiting);
    if (!displaced) {
        return refuse("too many calls wait");
    }
    for (const CallNumber &number : *displaced) {
        m_room.leave(number);
        m_displaced.push_back(number);
    }
    if (!enteredAt) {
        ++m_waits.entered;
        report("call_waits", "no upstream has room");
    }
    m_room.enter(waiting, now);
    return std::nullopt;
}

void RelayCore::waitEnded(const RelayCall &call, bool started, TimePoint now)
{
    const std::optional<TimePoint> enteredAt = m_room.enteredAt(call.number);
    m_room.leave(call.number);
    m_roomChanged = true;
    if (started) {
        ++m_waits.started;
        m_listener->onEvent("call_admitted",
                            {{"request", call.requestId},
                             {"customer", call.customer.value()},
                             {"priority", std::to_string(call.priority.value())},
                             {"waited_ms", enteredAt ? inMs(now - *enteredAt) : "none"},
                             {"waiting", std::to_string(m_room.size())},
                             {"loads_age_ms", m_loadNewsAt == TimePoint::min() ? "none" : inMs(now - m_loadNewsAt)}});
    }
}

void RelayCore::serveWaiting(TimePoint now, RelayActions &actions)
{
    for (const CallNumber &number : std::exchange(m_displaced, {})) {
        run(
            number,
            [now](CallFlow &flow, CallActions &flowActions) {
                flow.displace(now, flowActions);
            },
            actions);
    }
    if (!std::exchange(m_roomChanged, false)) {
        return;
    }
    for (const CallNumber &number : m_room.first(MaxChecks)) {
        run(
            number,
            [now](CallFlow &flow, CallActions &flowActions) {
                flow.checkRoom(now, flowActions);
            },
            actions);
    }
}

} // namespace ibismast
