#include "ibismast/relay/engineplanner.h"

#include <algorithm>

namespace ibismast
{

namespace
{

std::size_t slotsOf(const EngineProfile &profile, const EngineOvercommit &over)
{
    return static_cast<std::size_t>(profile.slots) + static_cast<std::size_t>(over.slots);
}

} // namespace

EnginePlanner::EnginePlanner(const EnginePlannerSettings &settings, const EngineLoadTable &loads)
    : m_settings(settings), m_loads(&loads)
{
}

std::optional<EnginePlan> EnginePlanner::plan(const GenerationQuery &query,
                                              const EngineProfile &profile,
                                              const std::vector<const UpstreamDirectory::Member *> &engines,
                                              TimePoint now,
                                              const EngineOvercommit &over) const
{
    const Duration reading = estimatePrefillTime(profile, query.size.prompt);
    if (reading < m_settings.leastPart * 2 || engines.size() < 2) {
        return planWhole(query, profile, engines, now, over);
    }
    return planSplit(query, profile, engines, now, over);
}

Tokens EnginePlanner::memoryOf(const GenerationQuery &query, const EngineProfile &profile) const
{
    const auto usual = static_cast<std::int64_t>(profile.usualAnswer);
    const std::int64_t output =
        query.size.maxOutput.value() > 0 ? std::min(query.size.maxOutput.value(), usual * 2) : usual;
    return query.size.prompt + Tokens(output);
}

bool EnginePlanner::hasRoom(const EngineWorkload &load,
                            Tokens memory,
                            const EngineProfile &profile,
                            const EngineOvercommit &over) const
{
    const double usable = static_cast<double>(usableMemory(profile).value()) * over.memory;
    const bool fits = static_cast<double>((load.memory() + memory).value()) <= usable;
    return fits && load.streams() < slotsOf(profile, over);
}

Duration EnginePlanner::allowedReading(Duration pauseTarget) const
{
    return fromSeconds(toSeconds(pauseTarget) * m_settings.pauseShare);
}

bool EnginePlanner::bears(const EngineWorkload &load, Duration reading, TimePoint now) const
{
    const Duration shortest = load.shortestPause();
    return shortest == Duration::max() || load.backlog(now) + reading <= allowedReading(shortest);
}

bool EnginePlanner::hasShortStreams(const EngineWorkload &load) const
{
    return load.streamsTighterThan(m_settings.tightPause) > 0;
}

std::optional<EnginePlan> EnginePlanner::planWhole(const GenerationQuery &query,
                                                   const EngineProfile &profile,
                                                   const std::vector<const UpstreamDirectory::Member *> &engines,
                                                   TimePoint now,
                                                   const EngineOvercommit &over) const
{
    const Duration reading = estimatePrefillTime(profile, query.size.prompt);
    const Tokens memory = memoryOf(query, profile);
    const Duration allowed = allowedReading(query.pauseTarget);
    const double busy = std::min(1.0, m_loads->longDemand(now) / static_cast<double>(engines.size()));
    const Duration opening = m_settings.openedEngine + fromSeconds(toSeconds(m_settings.openedBusyEngine) * busy);
    std::optional<EnginePlan> best;
    Duration bestCost = Duration::max();
    for (const auto *engine : engines) {
        const EngineWorkload &load = m_loads->load(engine->record.id);
        if (!hasRoom(load, memory, profile, over)) {
            continue;
        }
        const Duration wait = load.backlog(now);
        const std::size_t tight = load.streamsTighterThan(m_settings.tightPause);
        const std::size_t gathered = std::min(load.streams(), m_settings.gatheredStreams);
        Duration cost = wait - m_settings.gatheredStream * static_cast<int>(gathered)
            + m_settings.crowdedStream * static_cast<int>(load.streams() - gathered);
        if (wait + reading > allowed) {
            cost += m_settings.delayedStream * static_cast<int>(tight + 1);
        }
        if (tight == 0) {
            cost += opening;
        }
        const Duration firstEvent = wait + reading + estimateDecodePass(profile, load.streams() + 1, load.memory());
        const double late = toSeconds(firstEvent) - toSeconds(query.objective) * m_settings.shortContentShare;
        if (late > 0.0) {
            cost += fromSeconds(late * m_settings.lateCost);
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = EnginePlan {engine, {}, reading, firstEvent};
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
            candidates.push_back({engine, &load, load.backlog(now)});
        }
    }
    std::ranges::stable_sort(candidates, {}, [](const Candidate &candidate) {
        return candidate.start;
    });
    return candidates;
}

EnginePlanner::Split EnginePlanner::bestSplit(const std::vector<Candidate> &candidates, Duration reading) const
{
    const std::size_t most =
        std::min({candidates.size(),
                  m_settings.maxHelpers + 1,
                  std::max<std::size_t>(1, static_cast<std::size_t>(reading / m_settings.leastPart))});
    // More parts end sooner until the next engine's backlog outweighs the smaller part.
    Split best;
    for (std::size_t count = 1; count <= most; ++count) {
        const Duration end = candidates[count - 1].start + reading / static_cast<int>(count);
        if (end < best.end) {
            best = Split {count, end};
        }
    }
    return best;
}

EnginePlanner::Split
EnginePlanner::modestSplit(const std::vector<Candidate> &candidates, Duration reading, Duration limit) const
{
    const std::size_t most = std::min(candidates.size(), m_settings.maxHelpers + 1);
    for (std::size_t count = 1; count <= most; ++count) {
        const Duration end = candidates[count - 1].start + reading / static_cast<int>(count);
        if (end <= limit) {
            return {count, end};
        }
    }
    return bestSplit(candidates, reading);
}

bool EnginePlanner::isModest(Duration reading, std::size_t engines, TimePoint now) const
{
    return reading > m_settings.modestReading
        && m_loads->longDemand(now) > m_settings.modestBusy * static_cast<double>(engines);
}

std::optional<EnginePlan> EnginePlanner::planSplit(const GenerationQuery &query,
                                                   const EngineProfile &profile,
                                                   const std::vector<const UpstreamDirectory::Member *> &engines,
                                                   TimePoint now,
                                                   const EngineOvercommit &over) const
{
    const Duration reading = estimatePrefillTime(profile, query.size.prompt);
    const Tokens memory = memoryOf(query, profile);
    const bool modest = isModest(reading, engines.size(), now);
    const Duration contentEnd =
        fromSeconds(toSeconds(query.objective) * (modest ? m_settings.modestEnd : m_settings.contentShare));
    const Duration part = reading / static_cast<int>(std::min(engines.size(), m_settings.maxHelpers + 1));
    const bool held = memory > usableMemory(profile);
    const auto split = [&](const std::vector<Candidate> &candidates) {
        Split result = modest ? modestSplit(candidates, reading, contentEnd) : bestSplit(candidates, reading);
        if (held) {
            const std::size_t holders = holdersFor(candidates, memory, profile);
            if (holders == 0) {
                return Split {};
            }
            if (holders > result.parts) {
                result = {holders, candidates[holders - 1].start + reading / static_cast<int>(holders)};
            }
        }
        return result;
    };
    // Engines whose streams are not disturbed, then those without short streams as well, then all.
    std::vector<Candidate> candidates = ranked(engines, query.firstChoice, now, [&](const EngineWorkload &load) {
        // All reads of a pass end with it, so a very long part must not share one with others.
        return modest ? load.streams() == 0 && load.backlog(now) == Duration::zero()
                      : !hasShortStreams(load) && bears(load, part, now);
    });
    Split best = split(candidates);
    for (const bool all : {false, true}) {
        // A very long prompt beside other work delays all of it, so a new one is refused and may come back.
        if ((held && !over.insists) || (best.parts > 0 && (all || best.end <= contentEnd))) {
            break;
        }
        std::vector<Candidate> wider = ranked(engines, query.firstChoice, now, [&](const EngineWorkload &load) {
            return all || !hasShortStreams(load) || bears(load, part, now);
        });
        const Split widerSplit = split(wider);
        if (widerSplit.end < best.end) {
            best = widerSplit;
            candidates = std::move(wider);
        }
    }
    // The readers with most free memory come first: the prompt stays in their memory.
    std::vector<Candidate> readers(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(best.parts));
    std::ranges::stable_sort(readers, {}, [](const Candidate &candidate) {
        return candidate.load->memory();
    });
    if (best.parts == 0) {
        return std::nullopt;
    }
    const auto writer = std::ranges::find_if(readers, [&](const Candidate &candidate) {
        return held ? candidate.load->streams() < slotsOf(profile, over)
                    : hasRoom(*candidate.load, memory, profile, over);
    });
    if (writer == readers.end()) {
        return std::nullopt;
    }
    std::rotate(readers.begin(), writer, std::next(writer));
    EnginePlan plan;
    plan.decodingEngine = readers.front().engine;
    plan.partTime = reading / static_cast<int>(best.parts);
    plan.delay = fromSeconds(toSeconds(candidates[best.parts - 1].start) * m_settings.delayShare);
    plan.firstEvent = best.end + estimateDecodePass(profile, readers.front().load->streams() + 1, memory);
    for (auto reader = std::next(readers.begin()); reader != readers.end(); ++reader) {
        plan.helpers.push_back({reader->engine, Tokens()});
    }
    if (held && !reserve(plan, readers, memory, profile)) {
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
    const std::size_t most = std::min(candidates.size(), m_settings.maxHolders + 1);
    for (std::size_t count = 1; count <= most; ++count) {
        left -= reservable(*candidates[count - 1].load, profile);
        if (left <= 0) {
            return count;
        }
    }
    return 0;
}

bool EnginePlanner::reserve(EnginePlan &plan,
                            const std::vector<Candidate> &readers,
                            Tokens memory,
                            const EngineProfile &profile) const
{
    // The writer holds the output and what the reservations leave.
    std::int64_t left = memory.value() - reservable(*readers.front().load, profile);
    for (std::size_t index = 0; index < plan.helpers.size() && index < m_settings.maxHolders && left > 0; ++index) {
        const std::int64_t reserved = std::min(left, reservable(*readers[index + 1].load, profile));
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
