#include "ibismast/relay/relaycore.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Retries that an entry may make in ten seconds however many entries there are.
constexpr double LeastRetries = 1.0;

} // namespace

// Decisions that calls share: upstreams for attempts, the retry budget, loads and refusals.

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
    const GenerationQuery query {
        call.size, call.route.objective, call.route.pauseTarget, m_firstChoice % engines.size()};
    std::optional<EnginePlan> plan = m_planner.plan(query, profile, engines, now);
    if (!plan) {
        // All slots are taken by estimate; engines queue a few calls and the estimates lag behind their ends.
        const int queue = call.returning ? m_settings.returningQueue : m_settings.engineQueue;
        plan = m_planner.plan(query, profile, engines, now, {queue, m_settings.memoryOvercommit, call.returning});
    }
    if (!plan) {
        return std::nullopt;
    }
    AttemptPlan result {plan->decodingEngine->record, {}, plan->firstEvent, plan->partTime, plan->delay};
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
    const double entries = static_cast<double>(m_members.otherCount()) + 2.0;
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
    placement.decodingEngine = plan.upstream.id;
    placement.pauseTarget = call.route.pauseTarget;
    placement.memory = call.size.prompt + Tokens(static_cast<std::int64_t>(profile.usualAnswer));
    const double passes = profile.usualAnswer / static_cast<double>(profile.stride);
    placement.expected =
        plan.firstEvent + fromSeconds(passes * toSeconds(estimateDecodePass(profile, 1, placement.memory)));
    placement.prefills.push_back({plan.upstream.id, plan.part, Tokens()});
    for (const AttemptHelper &helper : plan.helpers) {
        placement.prefills.push_back({helper.upstream.id, plan.part, helper.reserved});
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
        m_loads.notePrefillDone({m_settings.self, placement->second}, now);
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
    std::optional<InstanceId> upstream = m_directory.idOf(address);
    if (upstream) {
        m_directory.noteReportedFailure(*upstream, now);
    }
    return upstream;
}

} // namespace ibismast
