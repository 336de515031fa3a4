#pragma once

#include "ibismast/relay/relayconfig.h"

#include <map>

namespace ibismast
{

/// Number of a call within one entry. Together with the entry's id it identifies the call in the fleet.
using CallNumber = StrongInteger<struct CallNumberTag, std::uint64_t>;

/// Identifies a call in the fleet.
struct PlacedCallId
{
    InstanceId entry;
    CallNumber call;

    auto operator<=>(const PlacedCallId &) const = default;
};

/// The part of a call's prefill that is assigned to one engine.
struct PrefillShare
{
    InstanceId engine;
    /// Time that the engine needs for this share if it does nothing else.
    Duration prefillTime {};
    /// KV cache of the prompt that is reserved on this engine for the decoding engine.
    Tokens memory;

    bool operator==(const PrefillShare &) const = default;
};

/// Work that an entry has assigned to engines for one call. Entries inform each other of their placements.
struct Placement
{
    PlacedCallId id;
    /// Engine that decodes the output.
    InstanceId decodingEngine;
    /// Longest acceptable pause between two events of the stream.
    Duration pauseTarget {};
    /// KV cache of the prompt and the expected output, without the parts that other engines hold.
    Tokens memory;
    /// Expected time from the placement to the end of the stream.
    Duration expected {};
    /// Prefill shares of all engines, including the decoding engine.
    std::vector<PrefillShare> prefills;

    bool operator==(const Placement &) const = default;
};

/// Returns the estimated time that a single engine needs for the prefill of @p prompt tokens.
[[nodiscard]] Duration estimatePrefillTime(const EngineProfile &profile, Tokens prompt);
/// Returns the estimated time of one engine pass that decodes a batch of @p streams streams with a total context of
/// @p context tokens and includes no prefill.
[[nodiscard]] Duration estimateDecodePass(const EngineProfile &profile, std::size_t streams, Tokens context);

/// Estimated work on one engine, as far as it is known to this entry.
class EngineWorkload
{
public:
    /// Stream of the engine and the time at which it is expected to end.
    struct ExpectedEnd
    {
        TimePoint time;
        Tokens memory;
    };

    /// Time that the engine still needs at @p now for the prefill that has been placed on it.
    [[nodiscard]] Duration backlog(TimePoint now) const;
    /// Number of streams that the engine decodes or will decode after their prefill.
    [[nodiscard]] std::size_t streams() const
    {
        return m_streams.size();
    }
    /// Number of streams with a pause target below @p limit.
    [[nodiscard]] std::size_t streamsBelowPauseTarget(Duration limit) const;
    /// Shortest pause target of the streams on the engine; the maximum duration if there are none.
    [[nodiscard]] Duration shortestPauseTarget() const;
    /// KV cache of the streams and of reservations for other engines' streams.
    [[nodiscard]] Tokens memory() const
    {
        return m_memory;
    }
    [[nodiscard]] std::vector<ExpectedEnd> expectedEnds() const;

private:
    friend class EngineLoadTable;

    struct Stream
    {
        Duration pauseTarget {};
        Tokens memory;
        TimePoint expectedEnd;
    };

    /// Estimated time at which all placed prefill will be complete.
    TimePoint m_prefillEnd = TimePoint::min();
    std::map<PlacedCallId, Stream> m_streams;
    Tokens m_memory;
};

/// Settings of an `EngineLoadTable`.
struct EngineLoadSettings
{
    /// A placement whose end is not reported is dropped after this multiple of its expected time, and at the earliest
    /// after `minExpiry`.
    double expiryFactor = 2.5;
    Duration minExpiry = std::chrono::seconds(2);
    /// Prompts whose prefill takes longer than this count as long.
    Duration longPrefill = std::chrono::milliseconds(150);
    /// Time constant of the exponential average of the demand of long prompts.
    Duration demandWindow = std::chrono::seconds(4);
};

/// Estimated work on all engines: the placements of this entry and those announced by other entries.
class EngineLoadTable
{
public:
    explicit EngineLoadTable(const EngineLoadSettings &settings);

    /// Adds @p placement; ignored if its call is already known.
    void place(const Placement &placement, TimePoint now);
    /// Records that the call's first event has arrived at @p now, so the prefill is complete on all its engines.
    void notePrefillDone(const PlacedCallId &id, TimePoint now);
    /// Removes a call that has ended or moved to other engines, with its outstanding prefill; unknown ones are ignored.
    void end(const PlacedCallId &id, TimePoint now);
    /// Returns the placements of the calls of @p entry, reduced to the prefill that is outstanding at @p now.
    [[nodiscard]] std::vector<Placement> placementsOf(const InstanceId &entry, TimePoint now) const;
    /// Removes all calls of an entry that has left the fleet or restarted.
    void endAllOf(const InstanceId &entry, TimePoint now);
    /// Removes calls whose expiry time has passed.
    void expire(TimePoint now);

    /// Returns the load of @p engine; empty if the engine is unknown.
    [[nodiscard]] const EngineWorkload &load(const InstanceId &engine) const;
    /// Recent prefill demand of long prompts, as the average number of engines that it keeps busy.
    [[nodiscard]] double longPromptDemand(TimePoint now) const;
    [[nodiscard]] std::size_t calls() const
    {
        return m_calls.size();
    }

private:
    /// Prefill share of an engine and the estimated time of its completion.
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
    EngineWorkload m_noLoad;
    /// Prefill time of long prompts in engine seconds, decayed exponentially up to `m_longPrefillTime`.
    double m_longPrefill = 0.0;
    TimePoint m_longPrefillTime;
};

} // namespace ibismast
