#pragma once

#include "ibismast/relay/relayconfig.h"

#include <map>

namespace ibismast
{

/// Number of a call within one entry; with the entry's id it names a call in the fleet.
using CallNumber = StrongInteger<struct CallNumberTag, std::uint64_t>;

/// Names one call in the fleet.
struct PlacedCallId
{
    InstanceId entry;
    CallNumber call;

    auto operator<=>(const PlacedCallId &) const = default;
};

/// Reading that a call has put on one engine.
struct PrefillShare
{
    InstanceId engine;
    /// Time that the engine needs for the share alone.
    Duration prefillTime {};
    /// KV memory of the prompt that is reserved on the engine for the writer.
    Tokens memory;

    bool operator==(const PrefillShare &) const = default;
};

/// Work that an entry has sent to engines for one call. Entries tell each other about it.
struct Placement
{
    PlacedCallId id;
    /// Engine that writes the stream.
    InstanceId decodingEngine;
    /// Longest pause between events that the stream bears.
    Duration pauseTarget {};
    /// Prompt and expected output, without what other engines hold.
    Tokens memory;
    /// Expected time from the placement to the end of the stream.
    Duration expected {};
    /// Shares of the reading, that of the writer included.
    std::vector<PrefillShare> prefills;

    bool operator==(const Placement &) const = default;
};

/// Returns the time that one engine alone needs to read a prompt of @p prompt tokens.
[[nodiscard]] Duration estimatePrefillTime(const EngineProfile &profile, Tokens prompt);
/// Returns the time of one pass that writes @p streams streams with @p context tokens together, without reading.
[[nodiscard]] Duration estimateDecodePass(const EngineProfile &profile, std::size_t streams, Tokens context);

/// Work on one engine, as far as this entry knows.
class EngineWorkload
{
public:
    /// Reading that has been placed and has not been done at @p now, in time of the engine.
    [[nodiscard]] Duration backlog(TimePoint now) const;
    /// Streams that the engine writes or is about to write.
    [[nodiscard]] std::size_t streams() const
    {
        return m_streams.size();
    }
    /// Streams whose pauses must stay below @p limit.
    [[nodiscard]] std::size_t streamsTighterThan(Duration limit) const;
    /// Shortest pause that a stream on the engine bears; the largest duration if there is none.
    [[nodiscard]] Duration shortestPause() const;
    /// KV memory of the streams and of reservations for other engines' streams.
    [[nodiscard]] Tokens memory() const
    {
        return m_memory;
    }

private:
    friend class EngineLoadTable;

    struct Stream
    {
        Duration pauseTarget {};
        Tokens memory;
    };

    TimePoint m_readUntil = TimePoint::min();
    std::map<PlacedCallId, Stream> m_streams;
    Tokens m_memory;
};

/// Settings of an `EngineLoadTable`.
struct EngineLoadSettings
{
    /// A placement of another entry whose end was not heard of is dropped after this multiple of its expected time.
    double expiryFactor = 2.5;
    Duration leastExpiry = std::chrono::seconds(2);
    /// Prompts whose reading takes longer than this count as long.
    Duration longReading = std::chrono::milliseconds(150);
    /// Time over which the demand of long prompts is averaged.
    Duration demandWindow = std::chrono::seconds(4);
};

/// Work on all engines: that of this entry and that which other entries have told of.
class EngineLoadTable
{
public:
    explicit EngineLoadTable(const EngineLoadSettings &settings);

    /// Enters @p placement; one that is known already is ignored.
    void place(const Placement &placement, TimePoint now);
    /// The call's first event has arrived at @p now: its prompt has been read on all its engines.
    void notePrefillDone(const PlacedCallId &id, TimePoint now);
    /// The call has ended or moved away; unknown ones are ignored. Reading that was still to come falls away.
    void end(const PlacedCallId &id, TimePoint now);
    /// Returns the calls of @p entry with the reading that is still to come.
    [[nodiscard]] std::vector<Placement> placementsOf(const InstanceId &entry, TimePoint now) const;
    /// Ends all calls of an entry that has gone.
    void endAllOf(const InstanceId &entry, TimePoint now);
    /// Drops what has outlived its time.
    void expire(TimePoint now);

    /// Returns the load of @p engine; an unknown one has none.
    [[nodiscard]] const EngineWorkload &load(const InstanceId &engine) const;
    /// Engines that the reading of long prompts has kept busy lately, as a number of whole engines.
    [[nodiscard]] double longDemand(TimePoint now) const;
    [[nodiscard]] std::size_t calls() const
    {
        return m_calls.size();
    }

private:
    /// Reading that an engine has been given, until its expected end.
    struct PendingPrefill
    {
        InstanceId engine;
        Duration prefillTime {};
        TimePoint until;
        Tokens memory;
    };
    struct Call
    {
        InstanceId decodingEngine;
        TimePoint expiry;
        std::vector<PendingPrefill> prefills;
    };

    EngineLoadSettings m_settings;
    std::map<InstanceId, EngineWorkload> m_loads;
    std::map<PlacedCallId, Call> m_calls;
    EngineWorkload m_none;
    /// Reading of long prompts in seconds of engine time, decayed to `m_longReadingTime`.
    double m_longReading = 0.0;
    TimePoint m_longReadingTime;
};

} // namespace ibismast
