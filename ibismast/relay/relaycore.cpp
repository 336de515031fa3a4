#include "ibismast/relay/relaycore.h"

#include "ibismast/core/stablehash.h"

#include <algorithm>

namespace ibismast
{

std::uint64_t requestContentHash(std::string_view method, std::string_view target, std::string_view body)
{
    return combineHashes(combineHashes(stableHash(method), stableHash(target)), stableHash(body));
}

/// Open call with the time of its next timeout.
struct RelayCore::OpenCall
{
    OpenCall(RelayCall call, const CallFlowSettings &settings, CallEnvironment &environment, EventListener &listener)
        : flow(std::move(call), settings, environment, listener)
    {
    }

    CallFlow flow;
    /// Time under which the call is in `m_due`; `TimePoint::max()` if it is not.
    TimePoint due = TimePoint::max();
};

RelayCore::RelayCore(RelayCoreSettings settings, std::uint64_t seed, EventListener &listener)
    : m_settings(std::move(settings))
    , m_listener(&listener)
    , m_random(seed)
    , m_directory(m_settings.directory, listener)
    , m_members(m_settings.members, m_settings.domain)
    , m_loads(m_settings.load)
    , m_pace(m_settings.pace)
    , m_planner(m_settings.planner, m_loads, &m_pace)
    , m_tieBreakOffset(std::hash<std::string>()(m_settings.self.value()))
    , m_quarantine(m_settings.quarantine, listener)
    , m_rateLimits(m_settings.rateLimits)
    , m_pauses(m_settings.pauses)
    , m_evacuations(m_settings.evacuations, listener)
    , m_cold(m_settings.cold, m_settings.self)
    , m_admission(m_directory, m_rateLimits, m_pauses, m_evacuations, m_cold)
    , m_cells(m_settings.cells, m_settings.domain)
    , m_ranker(m_settings.rank)
    , m_room(m_settings.waiting)
    , m_reserve(m_settings.reserve)
    , m_shares(m_settings.shares)
{
}

RelayCore::~RelayCore() = default;

void RelayCore::applyConfig(RelayConfig config, TimePoint now)
{
    if (m_routes && config.version <= m_routes->config().version) {
        return;
    }
    m_listener->onEvent(
        "config_applied",
        {{"version", std::to_string(config.version.value())},
         {"previous", m_routes ? std::to_string(m_routes->config().version.value()) : std::string("none")},
         {"routes", std::to_string(config.routes.size())},
         {"customers", config.customers ? std::to_string(config.customers->size()) : std::string("none")}});
    m_cold.setServices(config.services, now);
    m_routes = std::make_shared<const RouteTable>(std::move(config));
}

const RelayConfig *RelayCore::config() const
{
    return m_routes ? &m_routes->config() : nullptr;
}

void RelayCore::beginStop(TimePoint end)
{
    m_stopEnd = end;
}

bool RelayCore::ready() const
{
    return m_routes && m_directory.hasList() && m_evacuations.ready();
}

Result<CallNumber> RelayCore::submit(const IncomingCall &incoming, TimePoint now, RelayActions &actions)
{
    if (!m_routes) {
        return Error {ResultCode::NotReady, "no configuration has been loaded yet", m_settings.call.retryAfter};
    }
    const auto admitted = admit(incoming.host, incoming.path, incoming.key);
    if (const Error *error = errorOf(admitted)) {
        return *error;
    }
    const auto &[route, customer] = std::get<std::pair<const RelayRoute *, CustomerId>>(admitted);
    RelayCall call;
    call.customer = customer;
    if (!m_directory.hasList()) {
        return Error {
            ResultCode::NotReady, "the list of upstreams has not been loaded yet", m_settings.call.retryAfter};
    }
    if (!m_evacuations.ready()) {
        return Error {ResultCode::NotReady, "the evacuated domains are not known yet", m_settings.call.retryAfter};
    }
    if (m_stopEnd && now + typicalDuration(*route) > *m_stopEnd) {
        return Error {ResultCode::ShuttingDown,
                      "the instance is shutting down and cannot complete the call in time",
                      m_settings.stopRetryAfter};
    }
    call.requestHash = requestHash(incoming, customer);
    call.promptParts = incoming.promptParts;
    call.requestId = incoming.requestId;
    if (std::optional<Error> error = checkQuarantine(call, now)) {
        return std::move(*error);
    }
    call.number = CallNumber(++m_lastCall);
    call.route = *route;
    call.service = RouteTable::serviceOf(*route, m_random.uniform());
    call.arrived = now;
    call.deadline = now + std::min(route->timeout, incoming.callerTimeout.value_or(route->timeout));
    call.size = incoming.size;
    call.lastEventId = incoming.lastEventId;
    call.fingerprint = incoming.fingerprint;
    call.bodyBytes = incoming.bodyBytes;
    call.returning = m_refused.contains(incoming.fingerprint);
    call.priority = m_routes->priorityOf(*route, customer);
    call.configVersion = m_routes->config().version;
    call.host = incoming.host;
    call.path = incoming.path;
    call.key = incoming.key;
    budget(call.service).noteRequest(now);

    const CallNumber number = call.number;
    m_calls.emplace(number, std::make_unique<OpenCall>(std::move(call), m_settings.call, *this, *m_listener));
    run(
        number,
        [now](CallFlow &flow, CallActions &flowActions) {
            flow.start(now, flowActions);
        },
        actions);
    serveWaiting(now, actions);
    return number;
}

Result<std::pair<const RelayRoute *, CustomerId>>
RelayCore::admit(const std::string &host, const std::string &path, const std::string &key) const
{
    const RelayRoute *route = m_routes->match(host, path);
    if (route == nullptr) {
        return Error {ResultCode::NotFound, "no route matches the host and path", std::nullopt};
    }
    if (route->isPublic || !m_routes->needsKeys()) {
        return std::pair(route, CustomerId());
    }
    const CustomerId *customer = m_routes->customerOf(key);
    if (customer == nullptr) {
        return Error {ResultCode::InvalidApiKey, "the key belongs to no customer", std::nullopt};
    }
    return std::pair(route, *customer);
}

std::optional<Error> RelayCore::readmit(RelayCall &call)
{
    const RelayConfig &config = m_routes->config();
    if (call.configVersion == config.version) {
        return std::nullopt;
    }
    const auto admitted = admit(call.host, call.path, call.key);
    if (const Error *error = errorOf(admitted)) {
        return *error;
    }
    const auto &[route, customer] = std::get<std::pair<const RelayRoute *, CustomerId>>(admitted);
    call.configVersion = config.version;
    call.customer = customer;
    call.priority = m_routes->priorityOf(*route, customer);
    call.deadline = std::min(call.deadline, call.arrived + route->timeout);
    const bool sameService = std::ranges::any_of(route->shares, [&call](const RouteShare &share) {
        return share.service == call.service;
    });
    if (!sameService) {
        call.service = RouteTable::serviceOf(*route, m_random.uniform());
        budget(call.service).noteRequest(call.arrived);
    }
    call.route = *route;
    return std::nullopt;
}

Duration RelayCore::typicalDuration(const RelayRoute &route) const
{
    // Another instance can go on only with a stream that may be resumed.
    return route.kind != CallKind::ResumableStream ? route.timeout
                                                   : std::min(route.timeout, m_settings.typicalStreamTime);
}

void RelayCore::run(CallNumber number, const FlowStep &step, RelayActions &actions)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    CallActions flowActions;
    step(found->second->flow, flowActions);
    for (CallAction &action : flowActions) {
        actions.push_back({number, std::move(action)});
    }
    reschedule(number, *found->second);
    if (found->second->flow.ended()) {
        m_calls.erase(found);
    }
}

void RelayCore::reschedule(CallNumber number, OpenCall &open)
{
    const TimePoint due = open.flow.ended() ? TimePoint::max() : open.flow.nextDue();
    if (due == open.due) {
        return;
    }
    m_due.erase({open.due, number});
    open.due = due;
    if (due != TimePoint::max()) {
        m_due.emplace(due, number);
    }
}

void RelayCore::attemptFailed(
    CallNumber call, int attempt, AttemptFailure failure, std::string_view reason, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [=](CallFlow &flow, CallActions &flowActions) {
            flow.attemptFailed(attempt, failure, reason, now, flowActions);
        },
        actions);
    serveWaiting(now, actions);
}

void RelayCore::memoryReserved(CallNumber call, int attempt, bool granted, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [=](CallFlow &flow, CallActions &flowActions) {
            flow.memoryReserved(attempt, granted, now, flowActions);
        },
        actions);
}

void RelayCore::reservationInspected(CallNumber call,
                                     int attempt,
                                     const std::string &reservationId,
                                     ReservationState state,
                                     TimePoint now,
                                     RelayActions &actions)
{
    run(
        call,
        [=](CallFlow &flow, CallActions &flowActions) {
            flow.reservationInspected(attempt, reservationId, state, now, flowActions);
        },
        actions);
}

void RelayCore::headReceived(
    CallNumber call, int attempt, const ResponseHead &head, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [&head, attempt, now](CallFlow &flow, CallActions &flowActions) {
            flow.headReceived(attempt, head, now, flowActions);
        },
        actions);
    serveWaiting(now, actions);
}

void RelayCore::bodyReceived(CallNumber call, int attempt, std::string_view bytes, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [=](CallFlow &flow, CallActions &flowActions) {
            flow.bodyReceived(attempt, bytes, now, flowActions);
        },
        actions);
    for (const CallNumber &largest : std::exchange(m_overLimit, {})) {
        run(
            largest,
            [now](CallFlow &flow, CallActions &flowActions) {
                flow.giveUpResponse(now, flowActions);
            },
            actions);
    }
}

void RelayCore::callerBacklogChanged(CallNumber call, std::size_t bytes, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [bytes, now](CallFlow &flow, CallActions &flowActions) {
            flow.callerBacklogChanged(bytes, now, flowActions);
        },
        actions);
}

void RelayCore::unsentBytesChanged(std::int64_t change)
{
    m_unsentBytes += change;
}

void RelayCore::responseCompleted(CallNumber call, int attempt, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [attempt, now](CallFlow &flow, CallActions &flowActions) {
            flow.responseCompleted(attempt, now, flowActions);
        },
        actions);
    serveWaiting(now, actions);
}

void RelayCore::callerDisconnected(CallNumber call, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [now](CallFlow &flow, CallActions &flowActions) {
            flow.callerDisconnected(now, flowActions);
        },
        actions);
    serveWaiting(now, actions);
}

void RelayCore::tick(TimePoint now, RelayActions &actions)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto [due, number] = *m_due.begin();
        // The call may not be due any more, since events of other calls of its engine move its stall deadline back. The
        // step then only reschedules it.
        run(
            number,
            [now](CallFlow &flow, CallActions &flowActions) {
                flow.timerExpired(now, flowActions);
            },
            actions);
    }
    m_loads.expire(now);
    serveWaiting(now, actions);
    std::erase_if(m_progress, [this](const auto &entry) {
        return m_directory.find(entry.first) == nullptr;
    });
    m_rateLimits.expire(now);
    m_shares.expire(now);
    m_pauses.expire(now);
    m_evacuations.expire(now);
    m_cold.expire(now);
    m_pace.expire(now);
    std::erase_if(m_refused, [now](const auto &entry) {
        return now >= entry.second;
    });
    m_quarantine.expire(now);
    m_directory.expire(now);
    updateCell(now);
    for (const InstanceId &entry : m_members.expire(now, m_inCell)) {
        m_listener->onEvent("entry_lost", {{"entry", entry.value()}});
        dropEntry(entry, now);
    }
}

std::optional<TimePoint> RelayCore::nextDue() const
{
    return m_due.empty() ? std::nullopt : std::optional(m_due.begin()->first);
}

CustomerId RelayCore::customerOf(CallNumber call) const
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? CustomerId() : found->second->flow.call().customer;
}

std::optional<TimePoint> RelayCore::deadlineOf(CallNumber call) const
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? std::nullopt : std::optional(found->second->flow.call().deadline);
}

void RelayCore::applyLoadUpdate(const InstanceId &entry, const LoadUpdate &update, TimePoint now)
{
    m_loadNewsAt = now;
    m_reserve.noteCalls(update.placed.size() + update.refused.size(), now);
    for (const Placement &placement : update.placed) {
        m_loads.place(placement, now);
    }
    for (const CallNumber &call : update.prefillsDone) {
        m_loads.notePrefillDone({entry, call}, now);
    }
    for (const std::uint64_t fingerprint : update.refused) {
        recordRefusal(fingerprint, now);
    }
    for (const CallNumber &call : update.ended) {
        m_loads.end({entry, call}, now);
    }
    applyRateReports(entry, update.rateLimits, now);
    m_cold.noteEntry(entry, now);
    m_cold.apply(entry, update.coldUpstreams, now);
    m_pace.apply(update.paces, now);
    if (m_settings.shares.enabled && !update.customerWork.empty()) {
        m_shares.applyReport(entry, update.customerWork, now);
    }
}

std::vector<Placement> RelayCore::ownPlacements(TimePoint now) const
{
    return m_loads.placementsOf(m_settings.self, now);
}

LoadUpdate RelayCore::takeLoadUpdate()
{
    return std::exchange(m_pendingUpdate, LoadUpdate());
}

std::map<FailureDomain, LoadUpdate> RelayCore::takeRemoteUpdates()
{
    return std::exchange(m_remoteUpdates, {});
}

void RelayCore::noteDomainLoad(const FailureDomain &domain, const DomainLoad &load, TimePoint now)
{
    m_cells.noteLoad(domain, load, now);
}

void RelayCore::updateCell(TimePoint now)
{
    if (!m_routes) {
        return;
    }
    std::size_t engines = 0;
    std::size_t streams = 0;
    std::size_t slots = 0;
    Duration backlog {};
    for (const auto &[id, member] : m_directory.members()) {
        const RelayService *target = service(member.record.service);
        if (target == nullptr || !target->engine || member.leaving() || member.record.domain != m_settings.domain) {
            continue;
        }
        const EngineWorkload &load = m_loads.load(id);
        ++engines;
        streams += load.streams();
        slots += static_cast<std::size_t>(target->engine->slots);
        backlog += load.backlog(now);
    }
    m_ownLoad = {};
    if (engines > 0 && slots > 0) {
        m_ownLoad = {static_cast<double>(streams) / static_cast<double>(slots), backlog / static_cast<int>(engines)};
    }
    const bool cell = m_cells.isCell(m_members.otherCount() + 1, engines);
    if (cell != m_inCell) {
        m_inCell = cell;
        m_listener->onEvent(cell ? "cell_formed" : "cell_dissolved",
                            {{"domain", m_settings.domain.value()},
                             {"entries", std::to_string(m_members.otherCount() + 1)},
                             {"engines", std::to_string(engines)}});
    }
}

void RelayCore::dropEntry(const InstanceId &entry, TimePoint now)
{
    m_loads.endAllOf(entry, now);
    m_rateLimits.dropEntry(entry);
    m_cold.dropEntry(entry);
    m_shares.dropEntry(entry);
}

} // namespace ibismast
