#pragma once

#include "ibismast/core/messages.h"

#include <map>
#include <set>

namespace ibismast
{

/// State of an attempt that has not ended.
enum class AttemptState : std::uint8_t {
    /// In the agent's queue; not submitted to the engine yet.
    Queued,
    /// Submitted to the engine; no token received yet.
    Prefilling,
    /// The engine has returned at least one token.
    Decoding,
    /// Group member whose segment is exported; keeps its memory until its owner releases or cancels it, or until its
    /// deadline.
    Exported,
    /// Cancelled; keeps its memory until the engine confirms the cancel or has lost the attempt.
    Cancelling,
};

/// Attempt that has not ended.
struct Attempt
{
    DispatchRequest request;
    /// Entry that dispatched the attempt.
    InstanceId owner;
    TimePoint deadline;
    PriorityClass priorityClass = PriorityClass::Short;
    /// Tokens to prefill, without expected prefix cache hits.
    Tokens prefill;
    /// Maximum length of the answer in tokens, including those before `DispatchRequest::resumeFrom`; zero for a group
    /// member that only prefills.
    Tokens output;
    /// KV memory that the attempt needs.
    Tokens memory;
    AttemptState state = AttemptState::Queued;
    /// Position in the answer of the next token to relay to the owner.
    std::uint64_t nextSequence = 0;
    /// Priority that the engine was last told; larger values run first.
    int priority = 0;
    /// Time of the submission to the engine.
    TimePoint submittedAt;
    /// Time at which tokens were last relayed.
    TimePoint lastTokenAt;
    /// Time at which a cancel was last sent to the engine.
    TimePoint cancelSentAt;
};

/// Record of an attempt that is not live.
enum class AttemptRecord : std::uint8_t {
    /// The attempt never started and must not be started by a late dispatch.
    Tombstone,
    /// The attempt was executed, at least in part; a late dispatch of it is a duplicate.
    Ended,
};

/// Live attempts of an agent, and records of ended and cancelled ones that prevent a late dispatch from starting them
/// again.
class AttemptTable
{
public:
    /// @p recordLifetime is the time for which records are kept; must be longer than any message can be delayed.
    explicit AttemptTable(Duration recordLifetime);

    /// Adds a live attempt; @p id must not be live already.
    Attempt &add(const AttemptId &id, Attempt attempt);
    /// Returns the live attempt with this id, or null.
    [[nodiscard]] Attempt *find(const AttemptId &id);
    /// Removes a live attempt and stores @p record for it.
    void end(const AttemptId &id, AttemptRecord record, TimePoint now);
    /// Stores @p record for an attempt that is not live; an existing record is kept.
    void record(const AttemptId &id, AttemptRecord record, TimePoint now);
    /// Returns the record of an attempt, if there is one.
    [[nodiscard]] std::optional<AttemptRecord> recordOf(const AttemptId &id) const;
    /// Returns the ids of the live attempts of @p request in ascending order.
    [[nodiscard]] std::vector<AttemptId> attemptsOf(const RequestId &request) const;
    /// Returns whether an attempt of the same request with a higher number is live or recorded.
    [[nodiscard]] bool superseded(const AttemptId &id) const;
    /// Removes records that have expired at @p now.
    void expire(TimePoint now);

    /// Live attempts, ordered by id.
    [[nodiscard]] const std::map<AttemptId, Attempt> &live() const;
    [[nodiscard]] std::map<AttemptId, Attempt> &live();

private:
    Duration m_recordLifetime;
    std::map<AttemptId, Attempt> m_live;
    std::map<AttemptId, AttemptRecord> m_records;
    std::multimap<TimePoint, AttemptId> m_expiries;
};

} // namespace ibismast
