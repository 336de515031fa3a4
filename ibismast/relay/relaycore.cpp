#include "ibismast/relay/relaycore.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Retry-After of a stopping instance: other instances serve the call at once.
constexpr Duration StopRetryAfter = std::chrono::milliseconds(100);
/// Retries that an entry may make in ten seconds however many entries there are.
constexpr double LeastRetries = 1.0;

} // namespace

/// Call under way with the time for which it is scheduled.
struct RelayCore::OpenCall
{
    OpenCall(RelayCall call, const CallFlowSettings &settings, CallEnvironment &environment, EventListener &listener)
        : flow(std::move(call), settings, environment, listener)
    {
    }

    CallFlow flow;
    TimePoint due = TimePoint::max();
};

RelayCore::RelayCore(RelayCoreSettings settings, std::uint64_t seed, EventListener &listener)
    : m_settings(std::move(settings))
    , m_listener(&listener)
    , m_random(seed)
    , m_directory(m_settings.directory, listener)
    , m_members(m_settings.members)
    , m_loads(m_settings.load)
    , m_planner(m_settings.planner, m_loads)
{
}

RelayCore::~RelayCore() = default;

void RelayCore::applyConfig(RelayConfig config, TimePoint /*now*/)
{
    if (m_routes && config.version <= m_routes->config().version) {
        return;
    }
    m_listener->onEvent(
        "config_applied",
        {{"version", std::to_string(config.version.value())},
         {"previous", m_routes ? std::to_string(m_routes->config().version.value()) : std::string("none")},
         {"routes", std::to_string(config.routes.size())},
         {"customers", std::to_string(config.customers.size())}});
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
    return m_routes && m_directory.known();
}

Result<CallNumber> RelayCore::submit(const IncomingCall &incoming, TimePoint now, RelayActions &actions)
{
    if (!m_routes) {
        return Error {ResultCode::NotReady, "no configuration is known yet", m_settings.call.retryAfter};
    }
    const RelayRoute *route = m_routes->match(incoming.host, incoming.path);
    if (route == nullptr) {
        return Error {ResultCode::NotFound, "no route leads there", std::nullopt};
    }
    RelayCall call;
    if (!route->isPublic && m_routes->needsKeys()) {
        const CustomerId *customer = m_routes->customerOf(incoming.key);
        if (customer == nullptr) {
            return Error {ResultCode::InvalidApiKey, "the key belongs to no customer", std::nullopt};
        }
        call.customer = *customer;
    }
    if (!m_directory.known()) {
        return Error {ResultCode::NotReady, "no upstream is known yet", m_settings.call.retryAfter};
    }
    if (m_stopEnd && now + usualTime(*route) > *m_stopEnd) {
        return Error {ResultCode::ShuttingDown, "the instance stops before the answer would end", StopRetryAfter};
    }
    call.number = CallNumber(++m_lastCall);
    call.requestId = incoming.requestId;
    call.route = *route;
    call.service = RouteTable::serviceOf(*route, m_random.uniform());
    call.arrived = now;
    call.deadline = now + std::min(route->timeout, incoming.patience.value_or(route->timeout));
    call.size = incoming.size;
    call.lastEventId = incoming.lastEventId;
    call.fingerprint = incoming.fingerprint;
    call.returning = m_refused.contains(incoming.fingerprint);
    budget(call.service).noteRequest(now);

    const CallNumber number = call.number;
    m_calls.emplace(number, std::make_unique<OpenCall>(std::move(call), m_settings.call, *this, *m_listener));
    run(
        number,
        [now](CallFlow &flow, CallActions &flowActions) {
            flow.start(now, flowActions);
        },
        actions);
    return number;
}

Duration RelayCore::usualTime(const RelayRoute &route) const
{
    const bool plain = route.kind == CallKind::Idempotent || route.kind == CallKind::AtMostOnce;
    return plain ? route.timeout : std::min(route.timeout, m_settings.usualStream);
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

void RelayCore::headReceived(
    CallNumber call, int attempt, const UpstreamHead &head, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [&head, attempt, now](CallFlow &flow, CallActions &flowActions) {
            flow.headReceived(attempt, head, now, flowActions);
        },
        actions);
}

void RelayCore::bodyReceived(CallNumber call, int attempt, std::string_view bytes, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [=](CallFlow &flow, CallActions &flowActions) {
            flow.bodyReceived(attempt, bytes, now, flowActions);
        },
        actions);
}

void RelayCore::answerEnded(CallNumber call, int attempt, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [attempt, now](CallFlow &flow, CallActions &flowActions) {
            flow.answerEnded(attempt, now, flowActions);
        },
        actions);
}

void RelayCore::callerGone(CallNumber call, TimePoint now, RelayActions &actions)
{
    run(
        call,
        [now](CallFlow &flow, CallActions &flowActions) {
            flow.callerGone(now, flowActions);
        },
        actions);
}

void RelayCore::tick(TimePoint now, RelayActions &actions)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto [due, number] = *m_due.begin();
        // The step may find that the call is not due yet, because its engine has sent events of other calls.
        run(
            number,
            [now](CallFlow &flow, CallActions &flowActions) {
                flow.timeReached(now, flowActions);
            },
            actions);
    }
    m_loads.expire(now);
    std::erase_if(m_progress, [this](const auto &entry) {
        return m_directory.find(entry.first) == nullptr;
    });
    std::erase_if(m_refused, [now](const auto &entry) {
        return now >= entry.second;
    });
    m_directory.expire(now);
    for (const InstanceId &entry : m_members.expire(now)) {
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

void RelayCore::applyNews(const InstanceId &entry, const LoadNews &news, TimePoint now)
{
    for (const Placement &placement : news.placed) {
        m_loads.place(placement, now);
    }
    for (const CallNumber &call : news.read) {
        m_loads.noteRead({entry, call}, now);
    }
    for (const std::uint64_t fingerprint : news.refused) {
        rememberRefusal(fingerprint, now);
    }
    for (const CallNumber &call : news.ended) {
        m_loads.end({entry, call}, now);
    }
}

std::vector<Placement> RelayCore::ownPlacements(TimePoint now) const
{
    return m_loads.placementsOf(m_settings.self, now);
}

LoadNews RelayCore::takeNews()
{
    return std::exchange(m_news, LoadNews());
}

void RelayCore::dropEntry(const InstanceId &entry, TimePoint now)
{
    m_loads.endAllOf(entry, now);
}

const RelayService *RelayCore::service(const ServiceName &name) const
{
    const auto found = m_routes->config().services.find(name);
    return found == m_routes->config().services.end() ? nullptr : &found->second;
}

std::optional<AttemptPlan>
RelayCore::planAttempt(const RelayCall &call, const std::set<InstanceId> &tried, TimePoint now)
{
    const RelayService *target = service(call.service);
    const bool generation = target != nullptr && target->engine && call.size.prompt.value() > 0;
    const UpstreamDirectory::Candidates candidates = m_directory.candidates(call.service, now);
    for (const auto *upstreams : {&candidates.trusted, &candidates.suspected}) {
        std::vector<const UpstreamDirectory::Member *> fresh;
        std::ranges::copy_if(*upstreams, std::back_inserter(fresh), [&tried](const auto *member) {
            return !tried.contains(member->record.id);
        });
        if (fresh.empty()) {
            continue;
        }
        std::optional<AttemptPlan> plan =
            generation ? planGeneration(call, *target->engine, fresh, now) : planPlainCall(fresh);
        if (plan) {
            return plan;
        }
    }
    return std::nullopt;
}

std::optional<AttemptPlan> RelayCore::planGeneration(const RelayCall &call,
                                                     const EngineProfile &profile,
                                                     const std::vector<const UpstreamDirectory::Member *> &engines,
                                                     TimePoint now)
{
    const GenerationQuery query {call.size, call.route.objective, call.route.pauseTarget};
    std::optional<EnginePlan> plan = m_planner.plan(query, profile, engines, now);
    if (!plan) {
        // All slots are taken by estimate; engines queue a few calls and the estimates lag behind their ends.
        EngineProfile relaxed = profile;
        relaxed.slots += call.returning ? m_settings.returningQueue : m_settings.engineQueue;
        relaxed.memory = Tokens(profile.memory.value() * 2);
        plan = m_planner.plan(query, relaxed, engines, now);
    }
    if (!plan) {
        return std::nullopt;
    }
    AttemptPlan result {plan->writer->record, {}, plan->firstEvent, plan->part};
    for (const EngineHelper &helper : plan->helpers) {
        result.helpers.push_back({helper.engine->record, helper.reserved, {}});
    }
    return result;
}

std::optional<AttemptPlan> RelayCore::planPlainCall(const std::vector<const UpstreamDirectory::Member *> &upstreams)
{
    const auto cost = [this](const UpstreamDirectory::Member *member) {
        const auto calls = m_plainCalls.find(member->record.id);
        // Upstreams of the own domain win ties, since bytes between domains cost money and time.
        return std::pair(calls == m_plainCalls.end() ? 0 : calls->second, member->record.domain != m_settings.domain);
    };
    const auto best = std::ranges::min_element(upstreams, {}, cost);
    return AttemptPlan {(*best)->record, {}, {}, {}};
}

RetryBudget &RelayCore::budget(const ServiceName &service)
{
    // The allowance beside the share is divided by the entries, one more than known in case some are not heard.
    const double entries = static_cast<double>(m_members.others()) + 2.0;
    const double slack = std::max(LeastRetries, m_settings.retrySlack * m_settings.retryMargin / entries);
    const RetryBudgetSettings settings {m_settings.retryRatio * m_settings.retryMargin, slack};
    RetryBudget &budget = m_budgets.try_emplace(service, settings).first->second;
    budget.setSettings(settings);
    return budget;
}

bool RelayCore::takeRetry(const ServiceName &service, TimePoint now)
{
    return budget(service).take(now);
}

void RelayCore::attemptStarted(const RelayCall &call, const AttemptPlan &plan, TimePoint now)
{
    m_directory.noteDispatch(plan.upstream.id, now);
    const RelayService *target = service(call.service);
    if (target == nullptr || !target->engine || call.size.prompt.value() == 0) {
        ++m_plainCalls[plan.upstream.id];
        return;
    }
    const EngineProfile &profile = *target->engine;
    Placement placement;
    placement.id = {m_settings.self, CallNumber(++m_lastPlacement)};
    placement.writer = plan.upstream.id;
    placement.pauseTarget = call.route.pauseTarget;
    placement.memory = call.size.prompt + Tokens(static_cast<std::int64_t>(profile.usualAnswer));
    const double passes = profile.usualAnswer / static_cast<double>(profile.stride);
    placement.expected = plan.firstEvent + fromSeconds(passes * toSeconds(writingPass(profile, 1, placement.memory)));
    placement.reads.push_back({plan.upstream.id, plan.part, Tokens()});
    for (const AttemptHelper &helper : plan.helpers) {
        placement.reads.push_back({helper.upstream.id, plan.part, helper.reserved});
        placement.memory -= helper.reserved;
    }
    m_placements[call.number] = placement.id.call;
    m_loads.place(placement, now);
    m_news.placed.push_back(std::move(placement));
}

void RelayCore::firstEventReceived(const RelayCall &call, TimePoint now)
{
    const auto placement = m_placements.find(call.number);
    if (placement != m_placements.end()) {
        m_loads.noteRead({m_settings.self, placement->second}, now);
        m_news.read.push_back(placement->second);
    }
}

void RelayCore::attemptEnded(const RelayCall &call, const AttemptPlan &plan, TimePoint now)
{
    const auto placement = m_placements.find(call.number);
    if (placement != m_placements.end()) {
        m_loads.end({m_settings.self, placement->second}, now);
        m_news.ended.push_back(placement->second);
        m_placements.erase(placement);
        return;
    }
    const auto calls = m_plainCalls.find(plan.upstream.id);
    if (calls != m_plainCalls.end() && --calls->second <= 0) {
        m_plainCalls.erase(calls);
    }
}

void RelayCore::callRefused(const RelayCall &call, TimePoint now)
{
    if (call.fingerprint != 0) {
        rememberRefusal(call.fingerprint, now);
        m_news.refused.push_back(call.fingerprint);
    }
}

void RelayCore::rememberRefusal(std::uint64_t fingerprint, TimePoint now)
{
    if (m_refused.size() < m_settings.maxRefusals) {
        m_refused[fingerprint] = now + m_settings.refusalMemory;
    }
}

void RelayCore::upstreamProgressed(const InstanceId &upstream, TimePoint now)
{
    m_progress[upstream] = now;
}

TimePoint RelayCore::lastProgress(const InstanceId &upstream) const
{
    const auto found = m_progress.find(upstream);
    return found == m_progress.end() ? TimePoint::min() : found->second;
}

void RelayCore::upstreamWorked(const InstanceId &upstream)
{
    m_directory.noteSuccess(upstream);
}

void RelayCore::upstreamFailed(const InstanceId &upstream, TimePoint now)
{
    m_directory.noteFailure(upstream, now);
}

std::optional<InstanceId> RelayCore::upstreamFailedAt(const UpstreamAddress &address, TimePoint now)
{
    const std::optional<InstanceId> upstream = m_directory.idOf(address);
    if (upstream) {
        m_directory.noteBlamed(*upstream, now);
    }
    return upstream;
}

} // namespace ibismast
