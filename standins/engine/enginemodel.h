#pragma once

#include "ibismast/core/seededrandom.h"
#include "ibismast/core/upstreammessages.h"
#include "standins/engine/answertext.h"
#include "standins/engine/prefixcache.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace ibismast
{

/// Speed, memory and faults of an `EngineModel`.
struct EngineModelSettings
{
    /// Prefix of the handles of exported KV segments; unique among the engines of a test.
    std::string name = "engine";
    std::vector<ModelName> models {ModelName("model")};
    /// KV memory.
    Tokens memoryCapacity {400'000};
    /// Part of the KV memory that cached prefixes may take while attempts do not need it.
    Tokens cacheCapacity {100'000};
    /// Largest number of tokens in one step, prefill and decode together.
    std::int64_t tokensPerStep = 1'024;
    /// Time of a step without tokens.
    Duration stepTime {10'000};
    /// Additional time of a step for each token.
    Duration timePerToken {20};
    /// Largest number of attempts that hold memory at once.
    std::size_t maxRunning = 256;
    /// False for an engine that runs attempts in order of arrival.
    bool honourPriorities = true;
    /// False for an engine that carries out orders with old fencing tokens.
    bool checkFencingTokens = true;
    /// Interval of load reports and their age when they arrive.
    Duration loadInterval {250'000};
    Duration loadLag {500'000};
    /// Largest delay of cache events and the fraction of them that is lost.
    Duration cacheEventLag {1'000'000};
    double cacheEventLoss = 0.0;
    /// Time to load a model.
    Duration modelLoadTime {2'000'000};
};

/// KV segment of a group member as it passes between engines.
struct KvSegment
{
    /// Prompt tokens from the start of the prompt to the end of the segment.
    Tokens end;

    bool operator==(const KvSegment &) const = default;
};

/// Events in the order in which they occurred.
using EngineEvents = std::vector<EngineEvent>;

/// Deterministic model of an engine with continuous batching.
///
/// The caller passes the time: `handle` for a command, `advance` when `nextEvent` is due. Each step serves one token of
/// every decoding attempt and prefills with the rest of the step's tokens, in order of priority and arrival.
class EngineModel
{
public:
    /// Fetches the segment of a handle from the engine that exported it.
    using SegmentSource = std::function<std::optional<KvSegment>(const std::string &handle)>;

    /// Receives the tokens that the engine has computed for an attempt at the end of a step.
    using WorkObserver = std::function<void(const AttemptId &attempt, std::int64_t tokens)>;

    EngineModel(EngineModelSettings settings, std::uint64_t seed);

    /// Carries out @p command at @p now.
    void handle(const EngineCommand &command, TimePoint now, EngineEvents &out);
    /// Does what is due until @p now.
    void advance(TimePoint now, EngineEvents &out);
    /// Time at which `advance` has something to do.
    [[nodiscard]] TimePoint nextEvent() const;

    /// Ends the engine: everything it holds is lost and commands fail until `restart`.
    void die(EngineEvents &out);
    /// Starts a dead engine without any state, or replaces a live one at once by an empty one.
    void restart(TimePoint now, EngineEvents &out);
    /// Freezes the engine until @p until: it accepts commands and answers nothing.
    void stall(TimePoint until);

    /// Returns the exported segment with @p handle.
    [[nodiscard]] std::optional<KvSegment> exportedSegment(const std::string &handle) const;
    /// Stores a segment that another engine exported under @p handle.
    void importSegment(const std::string &handle, const KvSegment &segment);
    /// Sets where segments that were not imported before a submit are fetched from.
    void setSegmentSource(SegmentSource source);
    /// Sets who is told of the work done, for measurements.
    void setWorkObserver(WorkObserver observer);

    /// KV memory held by attempts.
    [[nodiscard]] Tokens usedMemory() const;
    /// Attempts that hold memory or wait for it.
    [[nodiscard]] std::size_t openAttempts() const;
    /// Prompt tokens prefilled since the start, cache hits excluded.
    [[nodiscard]] std::uint64_t prefilledTokens() const;
    /// Orders carried out, for the check that a stale one was not.
    [[nodiscard]] const std::vector<UpstreamOrder> &executedOrders() const;

private:
    struct Attempt
    {
        EngineSubmit submit;
        AnswerText answer;
        std::uint64_t arrival = 0;
        std::int64_t memory = 0;
        /// Tokens still to prefill.
        std::int64_t prefill = 0;
        /// Position of the next token of the answer.
        std::uint64_t position = 0;
        bool running = false;
        /// True once the segment of a group member is exported; the memory stays held until the cancel.
        bool exported = false;
    };
    using Attempts = std::map<AttemptId, Attempt>;

    void submit(const EngineSubmit &command, TimePoint now, EngineEvents &out);
    void cancel(const AttemptId &id, EngineEvents &out);
    void order(const UpstreamOrder &order, TimePoint now, EngineEvents &out);
    /// Carries out commands that arrived during a stall.
    void handleNow(const EngineCommand &command, TimePoint now, EngineEvents &out);
    /// Running and waiting attempts in the order in which a step serves them.
    [[nodiscard]] std::vector<Attempt *> inServiceOrder();
    void admitWaiting(TimePoint now);
    void startStep(TimePoint now);
    void finishStep(TimePoint now, EngineEvents &out);
    void finishPrefill(Attempt &attempt, TimePoint now, EngineEvents &out);
    void generate(Attempt &attempt, EngineEvents &out);
    void publishLoad(TimePoint now);
    void publishCacheChange(std::vector<std::uint64_t> added, std::vector<std::uint64_t> removed, TimePoint now);
    void clear();

    EngineModelSettings m_settings;
    SeededRandom m_random;
    SegmentSource m_segmentSource;
    WorkObserver m_workObserver;
    Attempts m_attempts;
    std::uint64_t m_arrivals = 0;
    std::int64_t m_usedMemory = 0;
    std::uint64_t m_prefilled = 0;
    PrefixCache m_cache;
    std::uint64_t m_cacheEvents = 0;
    std::map<std::string, KvSegment> m_segments;
    std::map<std::string, FencingToken> m_fencing;
    std::set<ModelName> m_models;
    std::vector<UpstreamOrder> m_executed;
    /// Events that are on their way, by time of arrival.
    std::multimap<TimePoint, EngineEvent> m_delayed;
    /// Commands that wait for the end of a stall.
    std::vector<EngineCommand> m_stalledCommands;
    std::optional<TimePoint> m_stepEnd;
    /// Prefill tokens of each attempt and attempts that decode in the current step.
    std::vector<std::pair<AttemptId, std::int64_t>> m_stepPrefill;
    std::vector<AttemptId> m_stepDecode;
    TimePoint m_nextLoad {};
    TimePoint m_stalledUntil {};
    bool m_dead = false;
};

} // namespace ibismast
