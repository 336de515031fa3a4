#include "ibismast/relay/relaycore.h"

#include <algorithm>

namespace ibismast
{

namespace
{

/// Retries per ten seconds that an entry may always make, however many entries share the allowance.
constexpr double MinRetries = 1.0;

/// Returns the KV memory that a call with a typical output uses in the end.
Tokens typicalMemory(const RelayCall &call, const EngineProfile &profile)
{
    return call.size.prompt + Tokens(static_cast<std::int64_t>(profile.typicalOutputTokens));
}

} // namespace

// Implementation of `CallEnvironment`: choice of upstreams, retry budget, load tracking and refusals.

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
    // A call that may wait does not use the allowance for overcommit.
    const bool waits = generation && mayWait(call);
    const bool estimated = waits && !mayOvercommit(call, now);
    if (estimated && (!m_room.mayStart(waitingCall(call, now), now) || yieldsToOthers(call, now))) {
        return std::nullopt;
    }
    if (estimated && call.returning && !hasRoomToReturn(call, now)) {
        return std::nullopt;
    }
    const Capacity most = estimated ? Capacity::Estimated : Capacity::Overcommitted;
    const UpstreamDirectory::Candidates candidates = m_directory.candidates(call.service, now);
    std::map<Admission::State, std::size_t> kept;
    for (const auto *upstreams : {&candidates.trusted, &candidates.suspected}) {
        std::vector<const UpstreamDirectory::Member *> untried;
        for (const UpstreamDirectory::Member *member : *upstreams) {
            if (tried.contains(member->record.id)) {
                continue;
            }
            const Admission admission = m_admission.decide(*member, now);
            if (admission.usable()) {
                beginPace(*member, now);
                untried.push_back(member);
            } else {
                ++kept[admission.state];
            }
        }
        if (untried.empty()) {
            continue;
        }
        std::optional<AttemptPlan> plan =
            generation ? planInCells(call, *target->engine, untried, most, now) : planPlainCall(untried);
        if (plan && waits && now + plan->timeToFirstEvent > abandonment(call)) {
            continue;
        }
        if (plan && generation && m_stopEnd && tried.empty()
            && now + expectedTime(call, *target->engine, *plan) > *m_stopEnd) {
            // Another instance has the time to complete the call.
            return std::nullopt;
        }
        if (plan) {
            return plan;
        }
    }
    if ((!kept.empty() || candidates.leaving > 0) && !m_room.enteredAt(call.number)) {
        m_listener->onEvent("no_plan",
                            {{"request", call.requestId},
                             {"service", call.service.value()},
                             {"trusted", std::to_string(candidates.trusted.size())},
                             {"leaving", std::to_string(candidates.leaving)},
                             {"cold_limited", std::to_string(kept[Admission::State::ColdLimited])},
                             {"rate_limited", std::to_string(kept[Admission::State::RateLimited])},
                             {"paused", std::to_string(kept[Admission::State::Paused])},
                             {"evacuated", std::to_string(kept[Admission::State::Evacuated])}});
    }
    return std::nullopt;
}

Duration RelayCore::firstEventLimit(const RelayCall &call, TimePoint now) const
{
    if (!mayWait(call)) {
        return Duration::max();
    }
    if (call.returning) {
        const double patience = toSeconds(abandonment(call) - call.arrived);
        return fromSeconds(patience * m_settings.waiting.returningPredictionShare);
    }
    return std::max(Duration::zero(), call.arrived + call.route.objective - now);
}

std::optional<PlanFault> RelayCore::planFault(const RelayCall &call, const AttemptPlan &plan, TimePoint now) const
{
    if (service(call.service) == nullptr || plan.upstream.service != call.service) {
        return PlanFault {"the route uses another service now"};
    }
    std::vector<const UpstreamRecord *> records {&plan.upstream};
    for (const AttemptHelper &helper : plan.helpers) {
        records.push_back(&helper.upstream);
    }
    std::optional<PlanFault> suspect;
    for (const UpstreamRecord *record : records) {
        const Admission admission = m_admission.decidePlanned(*record, now);
        if (admission.state == Admission::State::Admitted) {
            continue;
        }
        const std::string age = admission.age ? std::to_string(toSeconds(*admission.age)) + " s ago" : "age unknown";
        PlanFault fault {"upstream " + record->id.value() + " is " + std::string(toText(admission.state)) + " by "
                             + std::string(admission.source) + ", " + age,
                         !admission.usable()};
        if (fault.unusable) {
            return fault;
        }
        suspect = suspect ? suspect : std::move(fault);
    }
    return suspect;
}

std::optional<AttemptPlan> RelayCore::planInCells(const RelayCall &call,
                                                  const EngineProfile &profile,
                                                  const std::vector<const UpstreamDirectory::Member *> &engines,
                                                  Capacity most,
                                                  TimePoint now)
{
    std::vector<const UpstreamDirectory::Member *> local;
    if (m_inCell) {
        std::ranges::copy_if(engines, std::back_inserter(local), [this](const auto *engine) {
            return engine->record.domain == m_settings.domain;
        });
    }
    if (local.empty()) {
        std::optional<AttemptPlan> plan = planGeneration(call, profile, engines, Capacity::Estimated, now);
        return plan || most == Capacity::Estimated ? plan : planGeneration(call, profile, engines, most, now);
    }
    std::optional<AttemptPlan> plan = planGeneration(call, profile, local, Capacity::Estimated, now);
    if (plan && plan->timeToFirstEvent <= call.route.objective) {
        return plan;
    }
    if (const std::optional<FailureDomain> domain = m_cells.lessLoadedDomain(m_ownLoad, m_evacuations, now)) {
        std::vector<const UpstreamDirectory::Member *> remote;
        // What is sent to the limited engines of another cell is known only there.
        std::ranges::copy_if(engines, std::back_inserter(remote), [&](const auto *engine) {
            return engine->record.domain == *domain && !m_rateLimits.limitOf(runKey(engine->record));
        });
        std::optional<AttemptPlan> remotePlan =
            remote.empty() ? std::nullopt : planGeneration(call, profile, remote, Capacity::Estimated, now);
        if (remotePlan && (!plan || remotePlan->timeToFirstEvent < plan->timeToFirstEvent)) {
            return remotePlan;
        }
    }
    return plan || most == Capacity::Estimated ? plan : planGeneration(call, profile, local, most, now);
}

std::optional<AttemptPlan> RelayCore::planGeneration(const RelayCall &call,
                                                     const EngineProfile &profile,
                                                     const std::vector<const UpstreamDirectory::Member *> &engines,
                                                     Capacity capacity,
                                                     TimePoint now)
{
    const GenerationQuery query {call.size,
                                 call.route.objective,
                                 call.route.pauseTarget,
                                 m_tieBreakOffset % engines.size(),
                                 firstEventLimit(call, now)};
    EngineOvercommit overcommit;
    if (capacity == Capacity::Overcommitted) {
        const int queue = call.returning ? m_settings.maxReturningQueue : m_settings.maxEngineQueue;
        overcommit = {queue, m_settings.memoryOvercommit, call.returning};
    }
    const std::optional<EnginePlan> plan = m_planner.plan(query, profile, engines, now, overcommit);
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
        // Upstreams of the own failure domain win ties, since traffic between domains costs money and time.
        const double open = calls == m_plainCalls.end() ? 0.0 : static_cast<double>(calls->second);
        const double share = m_pace.share(runKey(member->record));
        // An open call at an upstream that may use half of its concurrency weighs as much as two elsewhere.
        return std::pair(share < 1.0 ? (open + 1.0) / share - 1.0 : open, member->record.domain != m_settings.domain);
    };
    const auto best = std::ranges::min_element(upstreams, {}, cost);
    return AttemptPlan {(*best)->record, {}, {}, {}};
}

RetryBudget &RelayCore::budget(const ServiceName &service)
{
    // The additional allowance is divided by the number of entries: this one, the known others, and one more in case
    // the view of the members is incomplete.
    const double entries = static_cast<double>(m_members.otherCount()) + 2.0;
    const double allowance = std::max(MinRetries, m_settings.retryAllowance * m_settings.retryBudgetShare / entries);
    const RetryBudgetSettings settings {m_settings.retryRatio * m_settings.retryBudgetShare, allowance};
    RetryBudget &budget = m_budgets.try_emplace(service, settings).first->second;
    budget.setSettings(settings);
    return budget;
}

RankedCall RelayCore::rankedCall(const RelayCall &call) const
{
    const RelayService *target = service(call.service);
    const Duration prefillTime =
        target != nullptr && target->engine ? estimatePrefillTime(*target->engine, call.size.prompt) : Duration::zero();
    const int level = priorityLevel(m_routes->prioritiesOf(call.service), call.priority);
    return {level, call.arrived, call.route.objective, prefillTime, false};
}

std::optional<EngineRank> RelayCore::engineRank(const RelayCall &call, bool begun, TimePoint now) const
{
    const RelayService *target = service(call.service);
    if (target == nullptr || !target->engine) {
        return std::nullopt;
    }
    RankedCall ranked = rankedCall(call);
    ranked.begun = begun;
    return m_ranker.engineRank(ranked, m_routes->prioritiesOf(call.service), now);
}

bool RelayCore::takeRetry(const ServiceName &service, TimePoint now)
{
    return budget(service).take(now);
}

void RelayCore::attemptStarted(const RelayCall &call, const AttemptPlan &plan, TimePoint now)
{
    m_directory.noteDispatch(plan.upstream.id, now);
    const RelayService *target = service(call.service);
    const bool plain = target == nullptr || !target->engine || call.size.prompt.value() == 0;
    const UpstreamRunKey key = runKey(plan.upstream);
    if (m_rateLimits.noteSent(key, now)) {
        announceRate(key, plain || plan.upstream.domain != m_settings.domain, now);
    }
    noteSentToCold(plan.upstream, now + plan.delay, now);
    for (const AttemptHelper &helper : plan.helpers) {
        if (helper.reserved.value() > 0) {
            noteSentToCold(helper.upstream, now, now);
        }
    }
    if (m_settings.pace.enabled) {
        const Duration predicted = fromSeconds(toSeconds(plan.timeToFirstEvent) / m_pace.slowness(key, now));
        m_unanswered[call.number] = {
            plan.upstream.id, key, now, plain ? std::nullopt : std::optional<Duration>(predicted)};
    }
    if (plain) {
        ++m_plainCalls[plan.upstream.id];
        return;
    }
    const EngineProfile &profile = *target->engine;
    Placement placement;
    placement.id = {m_settings.self, CallNumber(++m_lastPlacement)};
    placement.decodingEngine = plan.upstream.id;
    placement.pauseTarget = call.route.pauseTarget;
    placement.memory = typicalMemory(call, profile);
    placement.expected = expectedTime(call, profile, plan);
    if (m_settings.shares.enabled) {
        m_shares.noteSent(call.service, call.customer, predictedWork(call, profile), now);
    }
    placement.prefills.push_back({plan.upstream.id, plan.prefillTime, Tokens()});
    for (const AttemptHelper &helper : plan.helpers) {
        placement.prefills.push_back({helper.upstream.id, plan.prefillTime, helper.reserved});
        placement.memory -= helper.reserved;
    }
    AnnouncedPlacement announced {placement.id.call, remoteDomains(plan)};
    for (const FailureDomain &domain : announced.domains) {
        m_remoteUpdates[domain].placed.push_back(placement);
    }
    m_placements[call.number] = std::move(announced);
    m_loads.place(placement, now);
    m_reserve.noteCalls(1, now);
    m_pendingUpdate.placed.push_back(std::move(placement));
}

Duration RelayCore::expectedTime(const RelayCall &call, const EngineProfile &profile, const AttemptPlan &plan)
{
    const double passes = profile.typicalOutputTokens / static_cast<double>(profile.tokensPerPass);
    const Duration pass = estimateDecodePass(profile, 1, typicalMemory(call, profile));
    return plan.timeToFirstEvent + fromSeconds(passes * toSeconds(pass));
}

std::set<FailureDomain> RelayCore::remoteDomains(const AttemptPlan &plan) const
{
    std::set<FailureDomain> domains;
    if (m_inCell) {
        domains.insert(plan.upstream.domain);
        for (const AttemptHelper &helper : plan.helpers) {
            domains.insert(helper.upstream.domain);
        }
        domains.erase(m_settings.domain);
    }
    return domains;
}

void RelayCore::firstEventReceived(const RelayCall &call, TimePoint now)
{
    if (const auto found = m_unanswered.find(call.number); found != m_unanswered.end()) {
        const UnansweredAttempt attempt = found->second;
        m_unanswered.erase(found);
        const Duration observed = now - attempt.started;
        const bool changed = attempt.predicted ? m_pace.noteFirstEvent(attempt.key, *attempt.predicted, observed, now)
                                               : m_pace.noteResponse(attempt.key, call.service, observed, now);
        if (changed) {
            announcePace(attempt.upstream, attempt.key, "answered", now);
        }
    }
    const auto placement = m_placements.find(call.number);
    if (placement != m_placements.end()) {
        const auto &[number, domains] = placement->second;
        m_loads.notePrefillDone({m_settings.self, number}, now);
        m_pendingUpdate.prefillsDone.push_back(number);
        for (const FailureDomain &domain : domains) {
            m_remoteUpdates[domain].prefillsDone.push_back(number);
        }
    }
}

void RelayCore::attemptEnded(const RelayCall &call, const AttemptPlan &plan, TimePoint now)
{
    m_roomChanged = true;
    m_unanswered.erase(call.number);
    const auto placement = m_placements.find(call.number);
    if (placement != m_placements.end()) {
        const auto &[number, domains] = placement->second;
        m_loads.end({m_settings.self, number}, now);
        m_pendingUpdate.ended.push_back(number);
        for (const FailureDomain &domain : domains) {
            m_remoteUpdates[domain].ended.push_back(number);
        }
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
        recordRefusal(call.fingerprint, now);
        m_reserve.noteCalls(1, now);
        m_pendingUpdate.refused.push_back(call.fingerprint);
    }
}

void RelayCore::recordRefusal(std::uint64_t fingerprint, TimePoint now)
{
    if (m_refused.size() < m_settings.maxRefusals) {
        m_refused[fingerprint] = now + m_settings.refusalRetention;
    }
}

std::int64_t RelayCore::heldBytes() const
{
    std::int64_t held = m_bufferedBytes + m_unsentBytes;
    for (const CallNumber &call : m_overLimit) {
        held -= m_buffered.at(call);
    }
    return held;
}

std::optional<CallNumber> RelayCore::largestBuffer() const
{
    const auto size = [this](const auto &buffer) {
        return m_overLimit.contains(buffer.first) ? 0 : buffer.second;
    };
    const auto largest = std::ranges::max_element(m_buffered, {}, size);
    if (largest == m_buffered.end() || size(*largest) <= m_settings.guaranteedBufferBytes) {
        return std::nullopt;
    }
    return largest->first;
}

bool RelayCore::changeBuffered(const RelayCall &call, std::int64_t change)
{
    std::int64_t &own = m_buffered[call.number];
    own += change;
    m_bufferedBytes += change;
    while (change > 0 && heldBytes() > m_settings.maxBufferedBytes) {
        const std::optional<CallNumber> largest = largestBuffer();
        if (!largest) {
            break;
        }
        if (*largest == call.number) {
            own -= change;
            m_bufferedBytes -= change;
            return false;
        }
        m_overLimit.insert(*largest);
    }
    if (own == 0) {
        m_buffered.erase(call.number);
    }
    return true;
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

void RelayCore::upstreamSucceeded(const InstanceId &upstream)
{
    m_directory.noteSuccess(upstream);
}

void RelayCore::upstreamFailed(const InstanceId &upstream, UpstreamFault fault, TimePoint now)
{
    m_directory.noteFailure(upstream, now);
    if (const UpstreamDirectory::Member *member = m_directory.find(upstream)) {
        if (fault == UpstreamFault::Connection) {
            m_cold.noteFailure(*member, now);
        }
        if (const UpstreamRunKey key = runKey(member->record); m_pace.noteFailure(key, now)) {
            announcePace(upstream, key, "failed", now);
        }
    }
}

void RelayCore::upstreamDeclined(const InstanceId &upstream, TimePoint now)
{
    m_directory.noteDeclined(upstream, now);
    if (const UpstreamDirectory::Member *member = m_directory.find(upstream)) {
        if (const UpstreamRunKey key = runKey(member->record); m_pace.noteDeclined(key, now)) {
            announcePace(upstream, key, "declined", now);
        }
    }
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
