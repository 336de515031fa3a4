#pragma once

#include "ibismast/relay/engineload.h"
#include "ibismast/relay/upstreamdirectory.h"

namespace ibismast
{

/// Sizes that a caller gives of a generation.
struct GenerationSize
{
    Tokens prompt;
    /// Largest number of output tokens; 0 if it is not given.
    Tokens maxOutput;
};

/// What the planner needs to know of a call of a model engine.
struct GenerationQuery
{
    GenerationSize size;
    /// Time to the first event that counts as on time.
    Duration objective {};
    Duration pauseTarget {};
    /// Position in the list of engines from which equal ones are taken. It must differ between entries: those that take
    /// the same one at the same time queue there. One entry keeps to its position, which leaves other engines idle.
    std::size_t firstChoice = 0;
};

/// Engine that reads a part of a prompt for another one.
struct EngineHelper
{
    const UpstreamDirectory::Member *engine = nullptr;
    /// KV memory to reserve there for the prompt; 0 if the writer's own memory holds all.
    Tokens reserved;
};

/// Work that engines may get beyond what the estimates leave room for: they queue some calls, and the estimates lag
/// behind the ends of others.
struct EngineOvercommit
{
    int slots = 0;
    /// Multiple of the memory that may be planned for. A prompt that is larger than the memory itself gains nothing.
    double memory = 1.0;
    /// True for a call that comes back after a refusal: it is placed beside other work if no engine is free of it.
    bool insists = false;
};

/// Where a generation runs.
struct EnginePlan
{
    /// Engine that gets the call and writes the stream.
    const UpstreamDirectory::Member *decodingEngine = nullptr;
    /// Engines that read parts of the prompt for it, those that also hold a part in front.
    std::vector<EngineHelper> helpers;
    /// Time that each of them needs for its part.
    Duration partTime {};
    /// Predicted time to the first event.
    Duration firstEvent {};
    /// Time until the engines have done the reading in front. An engine reads all that waits in one pass, so a call
    /// that arrives earlier delays the prompts that wait there.
    Duration delay {};
};

/// Settings of an `EnginePlanner`.
struct EnginePlannerSettings
{
    /// Largest number of helpers that an engine accepts for one call.
    std::size_t maxHelpers = 16;
    /// Smallest part that is worth a helper; below it the waits for passes outweigh the reading that is saved.
    Duration leastPart = std::chrono::milliseconds(25);
    /// Share of a stream's longest pause that the reading beside it may take; the rest is writing and delivery.
    double pauseShare = 0.5;
    /// Cost of reading that delays one stream past its longest pause.
    Duration delayedStream = std::chrono::milliseconds(150);
    /// Cost of putting the first short stream on an engine, which is then lost for undisturbed long reads: a fixed
    /// part, and one for a fleet that long reads keep entirely busy.
    Duration openedEngine = std::chrono::milliseconds(80);
    Duration openedBusyEngine = std::chrono::milliseconds(600);
    /// Streams up to this number attract further ones, so that engines become free of streams when demand falls.
    std::size_t gatheredStreams = 10;
    /// Gain of each such stream, and cost of each further one: all of them take longer.
    Duration gatheredStream = std::chrono::milliseconds(3);
    Duration crowdedStream = std::chrono::milliseconds(8);
    /// Share of the objective that the prediction for a short prompt may use, and the cost of each ms beyond it: an
    /// answer that is late loses most of its worth.
    double shortContentShare = 0.6;
    double lateCost = 6.0;
    /// Share of the objective within which a long prompt is content with the engines that have no short streams.
    double contentShare = 0.6;
    /// Pauses below this make a stream sensitive to long reads beside it.
    Duration tightPause = std::chrono::milliseconds(400);
    /// A prompt whose reading takes this long costs several prompts of usual length their objective, since the pairs of
    /// its tokens grow with the square. While long prompts keep more than this share of the fleet busy, it is read by
    /// few engines and ends within this multiple of its objective, well before callers give up at four times.
    Duration modestReading = std::chrono::seconds(6);
    double modestBusy = 0.0;
    double modestEnd = 2.6;
    /// Share of the predicted wait for other reading that a long prompt spends at the entry. The rest covers
    /// predictions that are too long.
    double delayShare = 0.8;
    /// Share of an engine's KV memory that may be planned for, since the outputs' lengths are estimates.
    double memoryShare = 0.92;
    /// Share of an engine's free memory that one reservation may take; other prompts need the rest.
    double reservedShare = 0.8;
    /// Largest number of engines that hold parts of one prompt.
    std::size_t maxHolders = 6;
};

/// Chooses engines for generations by predicted reading and pauses.
///
/// A pass of an engine reads what waits and then writes one event of every stream, so a long read delays all streams
/// beside it. Short streams are therefore gathered on as few engines as bear them, and long prompts are read in even
/// parts by many engines, those without short streams first.
class EnginePlanner
{
public:
    EnginePlanner(const EnginePlannerSettings &settings, const EngineLoadTable &loads);

    /// Returns a plan for @p query on @p engines, or nothing if no engine has room. @p engines must not be empty.
    [[nodiscard]] std::optional<EnginePlan> plan(const GenerationQuery &query,
                                                 const EngineProfile &profile,
                                                 const std::vector<const UpstreamDirectory::Member *> &engines,
                                                 TimePoint now,
                                                 const EngineOvercommit &over = {}) const;

private:
    struct Candidate
    {
        const UpstreamDirectory::Member *engine = nullptr;
        const EngineWorkload *load = nullptr;
        /// Time after which a part of a long read can begin.
        Duration start {};
    };
    /// Number of parts and the time until the last one is read.
    struct Split
    {
        std::size_t parts = 0;
        Duration end = Duration::max();
    };

    [[nodiscard]] Tokens memoryOf(const GenerationQuery &query, const EngineProfile &profile) const;
    [[nodiscard]] bool hasRoom(const EngineWorkload &load,
                               Tokens memory,
                               const EngineProfile &profile,
                               const EngineOvercommit &over) const;
    [[nodiscard]] Duration allowedReading(Duration pauseTarget) const;
    /// True if @p reading more on an engine keeps the pauses of all its streams.
    [[nodiscard]] bool bears(const EngineWorkload &load, Duration reading, TimePoint now) const;
    [[nodiscard]] bool hasShortStreams(const EngineWorkload &load) const;
    [[nodiscard]] std::optional<EnginePlan> planWhole(const GenerationQuery &query,
                                                      const EngineProfile &profile,
                                                      const std::vector<const UpstreamDirectory::Member *> &engines,
                                                      TimePoint now,
                                                      const EngineOvercommit &over) const;
    [[nodiscard]] std::optional<EnginePlan> planSplit(const GenerationQuery &query,
                                                      const EngineProfile &profile,
                                                      const std::vector<const UpstreamDirectory::Member *> &engines,
                                                      TimePoint now,
                                                      const EngineOvercommit &over) const;
    /// Returns the engines for which @p accepts holds, those that can begin first in front.
    template<typename Filter>
    [[nodiscard]] std::vector<Candidate> ranked(const std::vector<const UpstreamDirectory::Member *> &engines,
                                                std::size_t firstChoice,
                                                TimePoint now,
                                                const Filter &accepts) const;
    /// Memory of an engine that a prompt which is larger than the engine's memory may take.
    [[nodiscard]] std::int64_t reservable(const EngineWorkload &load, const EngineProfile &profile) const;
    /// Returns how many of the first candidates hold @p memory together; 0 if too few do.
    [[nodiscard]] std::size_t
    holdersFor(const std::vector<Candidate> &candidates, Tokens memory, const EngineProfile &profile) const;
    /// Spreads a prompt that is larger than an engine's memory over the readers; returns false if it does not fit.
    [[nodiscard]] bool
    reserve(EnginePlan &plan, const std::vector<Candidate> &readers, Tokens memory, const EngineProfile &profile) const;
    [[nodiscard]] Tokens usableMemory(const EngineProfile &profile) const;
    [[nodiscard]] Split bestSplit(const std::vector<Candidate> &candidates, Duration reading) const;
    /// Returns the split into fewest parts that ends within @p limit, else the best one.
    [[nodiscard]] Split modestSplit(const std::vector<Candidate> &candidates, Duration reading, Duration limit) const;
    /// True if a prompt would keep too much of the fleet from others to be read by as many engines as possible.
    [[nodiscard]] bool isModest(Duration reading, std::size_t engines, TimePoint now) const;

    EnginePlannerSettings m_settings;
    const EngineLoadTable *m_loads;
};

} // namespace ibismast
