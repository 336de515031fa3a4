#include "ibismast/relay/engineplanner.h"

#include <algorithm>

namespace ibismast
{

EnginePlanner::EnginePlanner(const EnginePlannerSettings &settings, const EngineLoadTable &loads)
    : m_settings(settings), m_loads(&loads)
{
}

std::optional<EnginePlan> EnginePlanner::plan(const GenerationQuery &query,
                                              const EngineProfile &profile,
                                              const std::vector<const UpstreamDirectory::Member *> &engines,
                                              TimePoint now) const
{
    const Duration reading = readingTime(profile, query.size.prompt);
    if (reading < m_settings.leastPart * 2 || engines.size() < 2) {
        return planWhole(query, profile, engines, now);
    }
    return planSplit(query, profile, engines, now);
}

Tokens EnginePlanner::memoryOf(const GenerationQuery &query, const EngineProfile &profile) const
{
    const auto usual = static_cast<std::int64_t>(profile.usualAnswer);
    const std::int64_t output =
        query.size.maxOutput.value() > 0 ? std::min(query.size.maxOutput.value(), usual * 2) : usual;
    return query.size.prompt + Tokens(output);
}

bool EnginePlanner::hasRoom(const EngineLoad &load, Tokens memory, const EngineProfile &profile) const
{
    const auto usable =
        static_cast<std::int64_t>(static_cast<double>(profile.memory.value()) * m_settings.memoryShare);
    // A call that exceeds the usable memory alone still gets an idle engine.
    const bool fits = load.streams() == 0 || load.memory().value() + memory.value() <= usable;
    return fits && load.streams() < static_cast<std::size_t>(profile.slots);
}

Duration EnginePlanner::allowedReading(Duration pauseTarget) const
{
    return fromSeconds(toSeconds(pauseTarget) * m_settings.pauseShare);
}

std::optional<EnginePlan> EnginePlanner::planWhole(const GenerationQuery &query,
                                                   const EngineProfile &profile,
                                                   const std::vector<const UpstreamDirectory::Member *> &engines,
                                                   TimePoint now) const
{
    const Duration reading = readingTime(profile, query.size.prompt);
    const Tokens memory = memoryOf(query, profile);
    const Duration allowed = allowedReading(query.pauseTarget);
    const double busy = std::min(1.0, m_loads->longDemand(now) / static_cast<double>(engines.size()));
    const Duration opening = m_settings.openedEngine + fromSeconds(toSeconds(m_settings.openedBusyEngine) * busy);
    std::optional<EnginePlan> best;
    Duration bestCost = Duration::max();
    for (const auto *engine : engines) {
        const EngineLoad &load = m_loads->load(engine->record.id);
        if (!hasRoom(load, memory, profile)) {
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
        const Duration firstEvent = wait + reading + writingPass(profile, load.streams() + 1, load.memory());
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
                      TimePoint now,
                      const Filter &accepts) const
{
    std::vector<Candidate> candidates;
    for (const auto *engine : engines) {
        const EngineLoad &load = m_loads->load(engine->record.id);
        if (accepts(load)) {
            candidates.push_back({engine, &load, load.backlog(now)});
        }
    }
    std::ranges::stable_sort(candidates, {}, &Candidate::start);
    return candidates;
}

EnginePlanner::Split EnginePlanner::bestSplit(const std::vector<Candidate> &candidates, Duration reading) const
{
    const std::size_t most = std::min({candidates.size(),
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

std::optional<EnginePlan> EnginePlanner::planSplit(const GenerationQuery &query,
                                                   const EngineProfile &profile,
                                                   const std::vector<const UpstreamDirectory::Member *> &engines,
                                                   TimePoint now) const
{
    const Duration reading = readingTime(profile, query.size.prompt);
    const Tokens memory = memoryOf(query, profile);
    std::vector<Candidate> candidates = ranked(engines, now, [this](const EngineLoad &load) {
        return load.streamsTighterThan(m_settings.tightPause) == 0;
    });
    Split split = bestSplit(candidates, reading);
    if (split.parts == 0 || toSeconds(split.end) > toSeconds(query.objective) * m_settings.contentShare) {
        // Engines with short streams take what these bear.
        const Duration part = reading / static_cast<int>(std::min(engines.size(), m_settings.maxHelpers + 1));
        const Duration allowed = allowedReading(m_settings.tightPause) / 2;
        std::vector<Candidate> all = ranked(engines, now, [&](const EngineLoad &load) {
            return load.streamsTighterThan(m_settings.tightPause) == 0 || load.backlog(now) + part <= allowed;
        });
        const Split wider = bestSplit(all, reading);
        if (wider.end < split.end) {
            split = wider;
            candidates = std::move(all);
        }
    }
    if (split.parts == 0) {
        candidates = ranked(engines, now, [](const EngineLoad & /*load*/) {
            return true;
        });
        split = bestSplit(candidates, reading);
    }
    // Of the readers the one with most free memory writes: the prompt stays in its memory.
    std::optional<std::size_t> writer;
    for (std::size_t index = 0; index < candidates.size() && (index < split.parts || !writer); ++index) {
        const EngineLoad &load = *candidates[index].load;
        if (hasRoom(load, memory, profile) && (!writer || load.memory() < candidates[*writer].load->memory())) {
            writer = index;
        }
    }
    if (!writer) {
        return std::nullopt;
    }
    EnginePlan plan;
    plan.writer = candidates[*writer].engine;
    plan.part = reading / static_cast<int>(split.parts);
    for (std::size_t index = 0; index < candidates.size() && plan.helpers.size() + 1 < split.parts; ++index) {
        if (index != *writer) {
            plan.helpers.push_back(candidates[index].engine);
        }
    }
    plan.firstEvent = split.end + writingPass(profile, candidates[*writer].load->streams() + 1, memory);
    return plan;
}

} // namespace ibismast
