#pragma once

#include "ibismast/relay/engineload.h"
#include "ibismast/relay/upstreamdirectory.h"
#include "ibismast/relay/upstreampace.h"

namespace ibismast
{

/// Size of a generation request, as given by the caller.
struct GenerationSize
{
    Tokens prompt;
    /// Maximum number of output tokens; 0 if the caller sets none.
    Tokens maxOutput;
    /// Number of output tokens that the caller expects; 0 if it names none. Right at the median, but often far off.
    Tokens expectedOutput {};
};

/// Properties of a generation request that determine its placement.
struct GenerationQuery
{
    GenerationSize size;
    /// Latency objective: longest time to the first event.
    Duration objective {};
    /// Longest acceptable pause between two events of the stream.
    Duration pauseTarget {};
    /// Index of the engine that is preferred among those with equal backlog, followed by the ones after it. It must
    /// differ between entries, because entries that choose the same engine at the same time queue there. An entry keeps
    /// its index, so that its requests concentrate on few engines and leave others idle.
    std::size_t firstChoice = 0;
    /// Longest predicted time to the first event. A longer one counts as no plan, unless idle engines would need longer
    /// too.
    Duration firstEventLimit = Duration::max();
};

/// Engine that executes a part of the prefill for the decoding engine.
struct EngineHelper
{
    const UpstreamDirectory::Member *engine = nullptr;
    /// KV cache of the prompt to reserve on this engine; 0 if the decoding engine holds all of it.
    Tokens reserved;
};

/// Work that engines may receive beyond their estimated capacity. Engines queue some calls, and the estimates take
/// calls into account that have already ended.
struct EngineOvercommit
{
    /// Additional streams per engine.
    int slots = 0;
    /// Multiple of the usable KV memory that may be planned for. Has no effect on a prompt that exceeds the memory of
    /// one engine.
    double memory = 1.0;
    /// True for a call that is retried after a refusal. A prompt that exceeds the memory of one engine is then placed
    /// on engines with other work if no idle ones can take it.
    bool returning = false;
};

/// Engines and predicted times of a generation request.
struct EnginePlan
{
    /// Engine that receives the call and decodes the output.
    const UpstreamDirectory::Member *decodingEngine = nullptr;
    /// Engines that execute parts of the prefill, those that also hold a part of the KV cache first.
    std::vector<EngineHelper> helpers;
    /// Prefill time of the part of each engine.
    Duration partTime {};
    /// Predicted time to the first event.
    Duration firstEvent {};
    /// Time to hold the call at the entry while the engines complete most of the earlier prefill. An engine batches all
    /// waiting prompts into one pass, so a call that arrives earlier delays the prompts that already wait there.
    Duration delay {};
};

/// Settings of an `EnginePlanner`.
struct EnginePlannerSettings
{
    /// Maximum number of helpers that an engine accepts for one call.
    std::size_t maxHelpers = 16;
    /// Shortest prefill part worth assigning to a helper. Below it, waiting for passes of the helper costs more time
    /// than the split saves.
    Duration minPartTime = std::chrono::milliseconds(25);
    /// Share of a stream's pause target that prefill on the same engine may take; the rest is left for decode and
    /// delivery.
    double prefillPauseShare = 0.5;
    /// Cost of prefill for each stream that it delays beyond its pause target.
    Duration delayedStreamCost = std::chrono::milliseconds(150);
    /// Cost of placing the first latency-sensitive stream on an engine, which is then no longer available for long
    /// prefill that disturbs no stream: a fixed part, and a part for a fleet fully busy with long prefill, which is
    /// scaled by the busy share of the fleet.
    Duration openedEngineCost = std::chrono::milliseconds(80);
    Duration openedBusyEngineCost = std::chrono::milliseconds(600);
    /// Up to this number of streams, an engine is preferred the more streams it has, so that other engines become free
    /// of streams when demand falls.
    std::size_t packedStreamLimit = 10;
    /// Gain of each such stream, and cost of each stream above the limit, since a larger batch slows all streams down.
    Duration packedStreamGain = std::chrono::milliseconds(3);
    Duration excessStreamCost = std::chrono::milliseconds(8);
    /// Slots of an engine that are used last, and the cost of each of them that is in use. Entries place calls at the
    /// same time, so an engine whose last slots seem to be free may be full, and the stream would wait in its queue.
    std::size_t lastSlots = 2;
    Duration lastSlotCost = std::chrono::milliseconds(250);
    /// Share of the objective that the predicted time to the first event of a short prompt may use, and the cost of
    /// each ms beyond it in ms: a late response loses most of its value.
    double shortObjectiveShare = 0.6;
    double lateCostFactor = 6.0;
    /// A long prompt uses only engines without latency-sensitive streams if its prefill then ends within this share of
    /// its objective.
    double longObjectiveShare = 0.6;
    /// A stream with a pause target below this is latency-sensitive: long prefill on its engine delays it too much.
    Duration sensitivePauseLimit = std::chrono::milliseconds(400);
    /// Prefill time above which a prompt is very long. Its cost grows with the square of its length, so that it makes
    /// several prompts of usual length miss their objective. While long prompts keep more than `veryLongBusyShare` of
    /// the fleet busy, it gets only as many engines as it needs to end within `longObjectiveShare` of its objective,
    /// idle ones if there are enough.
    Duration veryLongPrefill = std::chrono::seconds(6);
    double veryLongBusyShare = 0.0;
    /// A very long prompt is outsized if its prefill takes more than this share of the time that all engines together
    /// have within its objective. It gets only as many engines as it needs to end within `outsizedObjectiveFactor`
    /// times its objective, well before callers give up at four times.
    double outsizedFleetShare = 0.1;
    double outsizedObjectiveFactor = 2.6;
    /// Share of the engines that may have a backlog of more than `outsizedBacklog` once an outsized prompt is placed,
    /// for a new call and for one that is retried after a refusal. Such engines decode no streams in time, and may be
    /// needed for a burst of short prompts before the prefill ends.
    double outsizedEngineShare = 0.2;
    double outsizedReturningShare = 0.3;
    Duration outsizedBacklog = std::chrono::seconds(2);
    /// Share of the predicted wait for earlier prefill that a long prompt spends at the entry. The rest allows for
    /// predictions that are too long.
    double delayShare = 0.8;
    /// Share of an engine's KV memory that may be planned for; the rest allows for outputs longer than estimated.
    double memoryShare = 0.92;
    /// Share of an engine's free KV memory that one reservation may take, so that other prompts still fit.
    double reservedShare = 0.8;
    /// Maximum number of helpers that hold parts of the KV cache of one prompt.
    std::size_t maxHolders = 6;
};

/// Chooses the engines for generation requests by the predicted prefill times and pauses.
///
/// In one pass an engine executes all waiting prefill and then decodes one event of every stream, so a long prefill
/// delays all streams on the same engine. Latency-sensitive streams are therefore packed onto as few engines as meet
/// their pause targets, and the prefill of long prompts is split evenly over many engines, preferably those without
/// latency-sensitive streams.
class EnginePlanner
{
public:
    /// The tables must outlive the object. Without @p pace all engines may use all of their slots.
    EnginePlanner(const EnginePlannerSettings &settings,
                  const EngineLoadTable &loads,
                  const UpstreamPace *pace = nullptr);

    /// Returns a plan for @p query on @p engines, or nothing if no engine has room. @p engines must not be empty.
    [[nodiscard]] std::optional<EnginePlan> plan(const GenerationQuery &query,
                                                 const EngineProfile &profile,
                                                 const std::vector<const UpstreamDirectory::Member *> &engines,
                                                 TimePoint now,
                                                 const EngineOvercommit &overcommit = {}) const;

private:
    struct Candidate
    {
        const UpstreamDirectory::Member *engine = nullptr;
        const EngineWorkload *load = nullptr;
        /// Time until the engine has completed its backlog and can begin a part of the prefill.
        Duration start {};
    };
    /// Number of parts and the time until the prefill of the last one ends.
    struct Split
    {
        std::size_t parts = 0;
        Duration end = Duration::max();
    };

    /// Returns the KV memory of the prompt and the expected output.
    [[nodiscard]] Tokens memoryOf(const GenerationQuery &query, const EngineProfile &profile) const;
    /// Returns the streams that may be on @p engine.
    [[nodiscard]] std::size_t allowedStreams(const UpstreamDirectory::Member &engine,
                                             const EngineProfile &profile,
                                             const EngineOvercommit &overcommit) const;
    /// Returns the factor by which @p engine is slower than predicted.
    [[nodiscard]] double slowness(const UpstreamDirectory::Member &engine, TimePoint now) const;
    [[nodiscard]] bool hasRoom(const UpstreamDirectory::Member &engine,
                               const EngineWorkload &load,
                               Tokens memory,
                               const EngineProfile &profile,
                               const EngineOvercommit &overcommit) const;
    /// Returns the time for which the next stream waits until one of the streams on the engine ends; zero if a slot is
    /// free.
    [[nodiscard]] static Duration slotWait(const EngineWorkload &load, const EngineProfile &profile);
    /// Returns the cost of placing the next stream in one of the last slots of an engine.
    [[nodiscard]] Duration lastSlotCost(const EngineWorkload &load, const EngineProfile &profile) const;
    /// Returns the prefill time on one engine that a stream with @p pauseTarget tolerates.
    [[nodiscard]] Duration prefillBudget(Duration pauseTarget) const;
    /// True if all streams of an engine still meet their pause targets with @p prefillTime added to its backlog.
    [[nodiscard]] bool keepsPauseTargets(const EngineWorkload &load, Duration prefillTime, TimePoint now) const;
    [[nodiscard]] bool hasSensitiveStreams(const EngineWorkload &load) const;
    /// Plans a request on a single engine.
    [[nodiscard]] std::optional<EnginePlan> planWhole(const GenerationQuery &query,
                                                      const EngineProfile &profile,
                                                      const std::vector<const UpstreamDirectory::Member *> &engines,
                                                      TimePoint now,
                                                      const EngineOvercommit &overcommit) const;
    /// Plans a request whose prefill is split over several engines.
    [[nodiscard]] std::optional<EnginePlan> planSplit(const GenerationQuery &query,
                                                      const EngineProfile &profile,
                                                      const std::vector<const UpstreamDirectory::Member *> &engines,
                                                      TimePoint now,
                                                      const EngineOvercommit &overcommit) const;
    /// Returns the engines whose load @p accepts, ordered by the time at which they can begin.
    template<typename Filter>
    [[nodiscard]] std::vector<Candidate> ranked(const std::vector<const UpstreamDirectory::Member *> &engines,
                                                std::size_t firstChoice,
                                                TimePoint now,
                                                const Filter &accepts) const;
    /// Returns the KV memory of an engine, in tokens, that a prompt exceeding the memory of one engine may take.
    [[nodiscard]] std::int64_t reservable(const EngineWorkload &load, const EngineProfile &profile) const;
    /// Returns how many of the first candidates are needed to hold @p memory; 0 if the allowed number of holders is not
    /// enough.
    [[nodiscard]] std::size_t
    holdersFor(const std::vector<Candidate> &candidates, Tokens memory, const EngineProfile &profile) const;
    /// Distributes the KV cache of a prompt that exceeds the memory of one engine over the chosen engines; returns
    /// false if it does not fit.
    [[nodiscard]] bool
    reserve(EnginePlan &plan, const std::vector<Candidate> &chosen, Tokens memory, const EngineProfile &profile) const;
    /// Returns the share of an engine's KV memory that may be planned for.
    [[nodiscard]] Tokens usableMemory(const EngineProfile &profile) const;
    /// Returns the split that ends first.
    [[nodiscard]] Split bestSplit(const std::vector<Candidate> &candidates, Duration prefillTime) const;
    /// Returns the split with the fewest parts that ends within @p limit, or the best split if none does.
    [[nodiscard]] Split
    smallestSplit(const std::vector<Candidate> &candidates, Duration prefillTime, Duration limit) const;
    /// True if too many engines would be busy for long with an outsized prompt on @p parts more of them.
    [[nodiscard]] bool exceedsOutsizedShare(const std::vector<const UpstreamDirectory::Member *> &engines,
                                            std::size_t parts,
                                            bool returning,
                                            TimePoint now) const;
    /// True if a prompt is so long that, split over as many engines as possible, it would delay too many other prompts.
    [[nodiscard]] bool needsFewEngines(Duration prefillTime, std::size_t engines, TimePoint now) const;
    /// Returns the limit of the predicted time to the first event; the maximum duration if @p idleTime, the time that
    /// idle engines need, exceeds it.
    [[nodiscard]] static Duration firstEventLimit(const GenerationQuery &query, Duration idleTime);

    EnginePlannerSettings m_settings;
    const EngineLoadTable *m_loads;
    const UpstreamPace *m_pace;
};

} // namespace ibismast
