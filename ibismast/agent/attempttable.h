#pragma once

#include "ibismast/core/messages.h"

#include <map>
#include <set>

namespace ibismast
{

/// Where an attempt of an agent is.
enum class AttemptState : std::uint8_t {
    /// In the agent's queue; the engine knows nothing of it.
    Queued,
    /// Submitted to the engine, no token yet.
    Prefilling,
    /// Generating.
    Decoding,
    /// Group member whose segment is exported; holds its memory until it is released.
    Exported,
    /// Cancelled; holds its memory until the engine confirms.
    Cancelling,
};

/// One attempt that has not ended.
struct Attempt
{
    DispatchRequest request;
    /// Entry that dispatched it.
    InstanceId owner;
    TimePoint deadline;
    PriorityClass priorityClass = PriorityClass::Short;
    /// Tokens to prefill, expected prefix hits left out.
    Tokens prefill;
    /// Bound of the whole answer that this attempt generates; zero for a group member that only prefills.
    Tokens output;
    /// KV memory.
    Tokens memory;
    AttemptState state = AttemptState::Queued;
    /// Position of the next token to relay.
    std::uint64_t nextSequence = 0;
    int priority = 0;
    TimePoint submittedAt;
    /// Time of the last relayed token.
    TimePoint lastToken;
    /// Time of the last cancel that was sent to the engine.
    TimePoint cancelSent;
};

/// What is kept of an attempt that is not live.
enum class AttemptRecord : std::uint8_t {
    /// It never started and must not start.
    Tombstone,
    /// It was run; a late dispatch of it is a duplicate.
    Ended,
};

/// Live attempts of an agent and the records that keep ended and cancelled ones from starting again.
class AttemptTable
{
public:
    /// @p recordLifetime is how long records are kept; longer than any message can be delayed.
    explicit AttemptTable(Duration recordLifetime);

    /// Adds a live attempt.
    Attempt &add(const AttemptId &id, Attempt attempt);
    /// Returns a live attempt or null.
    [[nodiscard]] Attempt *find(const AttemptId &id);
    /// Ends a live attempt and keeps @p record of it.
    void end(const AttemptId &id, AttemptRecord record, TimePoint now);
    /// Keeps @p record of an attempt that is not live.
    void record(const AttemptId &id, AttemptRecord record, TimePoint now);
    /// Returns the record of an attempt that is not live.
    [[nodiscard]] std::optional<AttemptRecord> recordOf(const AttemptId &id) const;
    /// Returns the live attempts of @p request.
    [[nodiscard]] std::vector<AttemptId> attemptsOf(const RequestId &request) const;
    /// Tells whether an attempt of the same request with a higher number is live or recorded.
    [[nodiscard]] bool superseded(const AttemptId &id) const;
    /// Drops records that have expired.
    void expire(TimePoint now);

    /// Live attempts in the order of their ids.
    [[nodiscard]] const std::map<AttemptId, Attempt> &live() const;
    [[nodiscard]] std::map<AttemptId, Attempt> &live();

private:
    Duration m_recordLifetime;
    std::map<AttemptId, Attempt> m_live;
    std::map<AttemptId, AttemptRecord> m_records;
    std::multimap<TimePoint, AttemptId> m_expiries;
};

} // namespace ibismast
