#include "ibismast/relay/engineplanner.h"

#include <algorithm>

namespace ibismast
{

EnginePlanner::EnginePlanner(const EnginePlannerSettings &settings,
                             const EngineLoadTable &loads,
                             const UpstreamPace *pace)
    : m_settings(settings), m_loads(&loads), m_pace(pace)
{
}

std::size_t EnginePlanner::allowedStreams(const UpstreamDirectory::Member &engine,
                                          const EngineProfile &profile,
                                          const EngineOvercommit &overcommit) const
{
    const double share = m_pace == nullptr ? 1.0 : m_pace->share(runKey(engine.record));
    if (share >= 1.0) {
        return static_cast<std::size_t>(profile.slots) + static_cast<std::size_t>(overcommit.slots);
    }
    if (overcommit.slots > 0) {
        // No engine has room within its share, and a refusal costs a caller more than a late response.
        return static_cast<std::size_t>(profile.slots);
    }
    // One stream shows how the engine does.
    return std::max<std::size_t>(1, static_cast<std::size_t>(share * profile.slots));
}

double EnginePlanner::slowness(const UpstreamDirectory::Member &engine, TimePoint now) const
{
    return m_pace == nullptr ? 1.0 : m_pace->slowness(runKey(engine.record), now);
}

std::optional<EnginePlan> EnginePlanner::plan(const GenerationQuery &query,
                                              const EngineProfile &profile,
                                              const std::vector<const UpstreamDirectory::Member *> &engines,
                                              TimePoint now,
                                              const EngineOvercommit &overcommit) const
{
    const Duration prefillTime = estimatePrefillTime(profile, query.size.prompt);
    if (prefillTime < m_settings.minPartTime * 2 || engines.size() < 2) {
        return planWhole(query, profile, engines, now, overcommit);
    }
    return planSplit(query, profile, engines, now, overcommit);
}

Tokens EnginePlanner::memoryOf(const GenerationQuery &query, const EngineProfile &profile) const
{
    const auto usual = static_cast<std::int64_t>(profile.typicalOutputTokens);
    const std::int64_t output =
        query.size.maxOutput.value() > 0 ? std::min(query.size.maxOutput.value(), usual * 2) : usual;
    return query.size.prompt + Tokens(output);
}

bool EnginePlanner::hasRoom(const UpstreamDirectory::Member &engine,
                            const EngineWorkload &load,
                            Tokens memory,
                            const EngineProfile &profile,
                            const EngineOvercommit &overcommit) const
{
    const double usable = static_cast<double>(usableMemory(profile).value()) * overcommit.memory;
    const bool fits = static_cast<double>((load.memory() + memory).value()) <= usable;
    return fits && load.streams() < allowedStreams(engine, profile, overcommit);
}

Duration EnginePlanner::slotWait(const EngineWorkload &load, const EngineProfile &profile)
{
    const auto slots = static_cast<std::size_t>(profile.slots);
    if (load.streams() < slots) {
        return Duration::zero();
    }
    const double passes = profile.typicalOutputTokens / static_cast<double>(profile.tokensPerPass);
    const double stream = passes * toSeconds(estimateDecodePass(profile, slots, load.memory()));
    return fromSeconds(stream * static_cast<double>(load.streams() - slots + 1) / static_cast<double>(slots));
}

Duration EnginePlanner::lastSlotCost(const EngineWorkload &load, const EngineProfile &profile) const
{
    const auto slots = static_cast<std::size_t>(profile.slots);
    const std::size_t used = load.streams() + m_settings.lastSlots + 1;
    return used > slots ? m_settings.lastSlotCost * static_cast<int>(used - slots) : Duration::zero();
}

Duration EnginePlanner::prefillBudget(Duration pauseTarget) const
{
    return fromSeconds(toSeconds(pauseTarget) * m_settings.prefillPauseShare);
}

bool EnginePlanner::keepsPauseTargets(const EngineWorkload &load, Duration prefillTime, TimePoint now) const
{
    const Duration shortest = load.shortestPauseTarget();
    return shortest == Duration::max() || load.backlog(now) + prefillTime <= prefillBudget(shortest);
}

bool EnginePlanner::hasSensitiveStreams(const EngineWorkload &load) const
{
    return load.streamsBelowPauseTarget(m_settings.sensitivePauseLimit) > 0;
}

Duration EnginePlanner::firstEventLimit(const GenerationQuery &query, Duration idleTime)
{
    return idleTime > query.firstEventLimit ? Duration::max() : query.firstEventLimit;
}

std::optional<EnginePlan> EnginePlanner::planWhole(const GenerationQuery &query,
                                                   const EngineProfile &profile,
                                                   const std::vector<const UpstreamDirectory::Member *> &engines,
                                                   TimePoint now,
                                                   const EngineOvercommit &overcommit) const
{
    const Duration prefillTime = estimatePrefillTime(profile, query.size.prompt);
    const Tokens memory = memoryOf(query, profile);
    const Duration allowed = prefillBudget(query.pauseTarget);
    const double busy = std::min(1.0, m_loads->longPromptDemand(now) / static_cast<double>(engines.size()));
    const Duration openingCost =
        m_settings.openedEngineCost + fromSeconds(toSeconds(m_settings.openedBusyEngineCost) * busy);
    const Duration limit = firstEventLimit(query, prefillTime + estimateDecodePass(profile, 1, query.size.prompt));
    std::optional<EnginePlan> best;
    Duration bestCost = Duration::max();
    for (const auto *engine : engines) {
        const EngineWorkload &load = m_loads->load(engine->record.id);
        if (!hasRoom(*engine, load, memory, profile, overcommit)) {
            continue;
        }
        const double slow = slowness(*engine, now);
        const Duration wait = fromSeconds(toSeconds(load.backlog(now) + slotWait(load, profile)) * slow);
        const std::size_t sensitive = load.streamsBelowPauseTarget(m_settings.sensitivePauseLimit);
        const std::size_t packed = std::min(load.streams(), m_settings.packedStreamLimit);
        Duration cost = wait - m_settings.packedStreamGain * static_cast<int>(packed)
            + m_settings.excessStreamCost * static_cast<int>(load.streams() - packed) + lastSlotCost(load, profile);
        if (wait + prefillTime > allowed) {
            cost += m_settings.delayedStreamCost * static_cast<int>(sensitive + 1);
        }
        if (sensitive == 0) {
            cost += openingCost;
        }
        const Duration own = prefillTime + estimateDecodePass(profile, load.streams() + 1, load.memory());
        const Duration firstEvent = wait + fromSeconds(toSeconds(own) * slow);
        if (firstEvent > limit) {
            continue;
        }
        const double late = toSeconds(firstEvent) - toSeconds(query.objective) * m_settings.shortObjectiveShare;
        if (late > 0.0) {
            cost += fromSeconds(late * m_settings.lateCostFactor);
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = EnginePlan {engine, {}, prefillTime, firstEvent};
        }
    }
    return best;
}

template<typename Filter>
std::vector<EnginePlanner::Candidate>
EnginePlanner::ranked(const std::vector<const UpstreamDirectory::Member *> &engines,
                      std::size_t firstChoice,
                      TimePoint now,
                      const Filter &accepts) const
{
    std::vector<Candidate> candidates;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const auto *engine = engines[(firstChoice + index) % engines.size()];
        const EngineWorkload &load = m_loads->load(engine->record.id);
        if (accepts(load)) {
            candidates.push_back({engine, &load, fromSeconds(toSeconds(load.backlog(now)) * slowness(*engine, now))});
        }
    }
    std::ranges::stable_sort(candidates, {}, [](const Candidate &candidate) {
        return candidate.start;
    });
    return candidates;
}

EnginePlanner::Split EnginePlanner::bestSplit(const std::vector<Candidate> &candidates, Duration prefillTime) const
{
    const std::size_t maxCount =
        std::min({candidates.size(),
                  m_settings.maxHelpers + 1,
                  std::max<std::size_t>(1, static_cast<std::size_t>(prefillTime / m_settings.minPartTime))});
    // More parts end sooner until the wait for the next engine's backlog exceeds the time saved by smaller parts.
    Split best;
    for (std::size_t count = 1; count <= maxCount; ++count) {
        const Duration end = candidates[count - 1].start + prefillTime / static_cast<int>(count);
        if (end < best.end) {
            best = Split {count, end};
        }
    }
    return best;
}

EnginePlanner::Split
EnginePlanner::smallestSplit(const std::vector<Candidate> &candidates, Duration prefillTime, Duration limit) const
{
    const std::size_t maxCount = std::min(candidates.size(), m_settings.maxHelpers + 1);
    for (std::size_t count = 1; count <= maxCount; ++count) {
        const Duration end = candidates[count - 1].start + prefillTime / static_cast<int>(count);
        if (end <= limit) {
            return {count, end};
        }
    }
    return bestSplit(candidates, prefillTime);
}

bool EnginePlanner::needsFewEngines(Duration prefillTime, std::size_t engines, TimePoint now) const
{
    return prefillTime > m_settings.veryLongPrefill
        && m_loads->longPromptDemand(now) > m_settings.veryLongBusyShare * static_cast<double>(engines);
}

bool EnginePlanner::exceedsOutsizedShare(const std::vector<const UpstreamDirectory::Member *> &engines,
                                         std::size_t parts,
                                         bool returning,
                                         TimePoint now) const
{
    const auto busy = static_cast<std::size_t>(std::ranges::count_if(engines, [&](const auto *engine) {
        return m_loads->load(engine->record.id).backlog(now) > m_settings.outsizedBacklog;
    }));
    const double share = returning ? m_settings.outsizedReturningShare : m_settings.outsizedEngineShare;
    return busy > 0 && static_cast<double>(busy + parts) > share * static_cast<double>(engines.size());
}

std::optional<EnginePlan> EnginePlanner::planSplit(const GenerationQuery &query,
                                                   const EngineProfile &profile,
                                                   const std::vector<const UpstreamDirectory::Member *> &engines,
                                                   TimePoint now,
                                                   const EngineOvercommit &overcommit) const
{
    const Duration prefillTime = estimatePrefillTime(profile, query.size.prompt);
    const Tokens memory = memoryOf(query, profile);
    const bool fewEngines = needsFewEngines(prefillTime, engines.size(), now);
    const double fleetTime = toSeconds(query.objective) * static_cast<double>(engines.size());
    const bool outsized = fewEngines && toSeconds(prefillTime) > fleetTime * m_settings.outsizedFleetShare;
    const Duration targetEnd = fromSeconds(
        toSeconds(query.objective) * (outsized ? m_settings.outsizedObjectiveFactor : m_settings.longObjectiveShare));
    const Duration shortestPart = prefillTime / static_cast<int>(std::min(engines.size(), m_settings.maxHelpers + 1));
    const bool exceedsMemory = memory > usableMemory(profile);
    const auto split = [&](const std::vector<Candidate> &candidates) {
        Split result =
            fewEngines ? smallestSplit(candidates, prefillTime, targetEnd) : bestSplit(candidates, prefillTime);
        if (exceedsMemory) {
            const std::size_t holders = holdersFor(candidates, memory, profile);
            if (holders == 0) {
                return Split {};
            }
            if (holders > result.parts) {
                result = {holders, candidates[holders - 1].start + prefillTime / static_cast<int>(holders)};
            }
        }
        return result;
    };
    // Tries a growing set of engines: those without latency-sensitive streams whose pause targets are kept, then those
    // that satisfy at least one of these conditions, then all.
    std::vector<Candidate> candidates = ranked(engines, query.firstChoice, now, [&](const EngineWorkload &load) {
        // All prefill of a pass ends with the pass, so a very long part must not share a pass with other work.
        return fewEngines ? load.streams() == 0 && load.backlog(now) == Duration::zero()
                          : !hasSensitiveStreams(load) && keepsPauseTargets(load, shortestPart, now);
    });
    Split best = split(candidates);
    for (const bool all : {false, true}) {
        // A prompt that exceeds the memory of one engine delays all other work on its engines. Unless the call is
        // already a retry, it is refused instead, and the caller may retry it.
        if ((exceedsMemory && !overcommit.returning) || (best.parts > 0 && (all || best.end <= targetEnd))) {
            break;
        }
        std::vector<Candidate> wider = ranked(engines, query.firstChoice, now, [&](const EngineWorkload &load) {
            return all || !hasSensitiveStreams(load) || keepsPauseTargets(load, shortestPart, now);
        });
        const Split widerSplit = split(wider);
        if (widerSplit.end < best.end) {
            best = widerSplit;
            candidates = std::move(wider);
        }
    }
    // The engines with the most free memory come first, since they hold the KV cache of the prompt.
    std::vector<Candidate> chosen(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(best.parts));
    std::ranges::stable_sort(chosen, {}, [](const Candidate &candidate) {
        return candidate.load->memory();
    });
    if (best.parts == 0 || (outsized && exceedsOutsizedShare(engines, best.parts, overcommit.returning, now))) {
        return std::nullopt;
    }
    const auto decodingEngine = std::ranges::find_if(chosen, [&](const Candidate &candidate) {
        return exceedsMemory ? candidate.load->streams() < allowedStreams(*candidate.engine, profile, overcommit)
                             : hasRoom(*candidate.engine, *candidate.load, memory, profile, overcommit);
    });
    if (decodingEngine == chosen.end()) {
        return std::nullopt;
    }
    std::rotate(chosen.begin(), decodingEngine, std::next(decodingEngine));
    EnginePlan plan;
    plan.decodingEngine = chosen.front().engine;
    plan.partTime = prefillTime / static_cast<int>(best.parts);
    plan.delay = fromSeconds(toSeconds(candidates[best.parts - 1].start) * m_settings.delayShare);
    plan.firstEvent = best.end + estimateDecodePass(profile, chosen.front().load->streams() + 1, memory);
    const Duration idleTime = shortestPart + estimateDecodePass(profile, 1, memory);
    if (!outsized && plan.firstEvent > firstEventLimit(query, idleTime)) {
        return std::nullopt;
    }
    for (auto helper = std::next(chosen.begin()); helper != chosen.end(); ++helper) {
        plan.helpers.push_back({helper->engine, Tokens()});
    }
    if (exceedsMemory && !reserve(plan, chosen, memory, profile)) {
        return std::nullopt;
    }
    return plan;
}

std::int64_t EnginePlanner::reservable(const EngineWorkload &load, const EngineProfile &profile) const
{
    const std::int64_t free = usableMemory(profile).value() - load.memory().value();
    return static_cast<std::int64_t>(static_cast<double>(std::max<std::int64_t>(0, free)) * m_settings.reservedShare);
}

std::size_t
EnginePlanner::holdersFor(const std::vector<Candidate> &candidates, Tokens memory, const EngineProfile &profile) const
{
    std::int64_t left = memory.value();
    const std::size_t maxCount = std::min(candidates.size(), m_settings.maxHolders + 1);
    for (std::size_t count = 1; count <= maxCount; ++count) {
        left -= reservable(*candidates[count - 1].load, profile);
        if (left <= 0) {
            return count;
        }
    }
    return 0;
}

bool EnginePlanner::reserve(EnginePlan &plan,
                            const std::vector<Candidate> &chosen,
                            Tokens memory,
                            const EngineProfile &profile) const
{
    // The decoding engine holds the output and the part of the prompt that is not reserved elsewhere.
    std::int64_t left = memory.value() - reservable(*chosen.front().load, profile);
    for (std::size_t index = 0; index < plan.helpers.size() && index < m_settings.maxHolders && left > 0; ++index) {
        const std::int64_t reserved = std::min(left, reservable(*chosen[index + 1].load, profile));
        plan.helpers[index].reserved = Tokens(reserved);
        left -= reserved;
    }
    return left <= 0;
}

Tokens EnginePlanner::usableMemory(const EngineProfile &profile) const
{
    return Tokens(static_cast<std::int64_t>(static_cast<double>(profile.memory.value()) * m_settings.memoryShare));
}

} // namespace ibismast
