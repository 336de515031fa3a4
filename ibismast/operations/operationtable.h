#pragma once

#include "ibismast/core/messages.h"

#include <map>

namespace ibismast
{

/// Settings of an `OperationTable`.
struct OperationTableSettings
{
    /// Time for which the answer of an operation is kept after its end.
    Duration resultLifetime {3'600'000'000};
    /// Largest sum of the kept answers; the oldest go first.
    Bytes maxResultBytes {64'000'000};
    /// Largest number of operations that run at once.
    std::size_t maxRunning = 256;
    /// Largest block of ids issued at once.
    std::uint32_t maxBlock = 10'000;

    /// Names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// One delivery of a call that waits for the operation's end.
struct OperationWaiter
{
    InstanceId entry;
    RequestId request;
    /// Time at which the waiter is told that the operation is still running.
    TimePoint deadline;
};

/// Message to a waiter.
struct OperationAnswer
{
    InstanceId entry;
    OperationResult result;
};

/// Operations of one agent incarnation: each runs at most once unless it is idempotent.
///
/// A bit for every issued id says whether the operation was ever started or forbidden. It outlives the kept answer, so
/// that an operation whose answer was dropped is reported as unknown and never started again.
class OperationTable
{
public:
    OperationTable(InstanceId agent, Incarnation incarnation, const OperationTableSettings &settings);

    /// Issues at most @p count ids; returns the first and the number issued.
    [[nodiscard]] std::pair<std::uint64_t, std::uint32_t> issue(std::uint32_t count);
    /// Handles a call of @p entry. Returns true if the caller must invoke the service now; otherwise appends the
    /// answer to @p out, or keeps the delivery waiting for the running operation.
    [[nodiscard]] bool
    call(const InstanceId &entry, const OperationCall &call, TimePoint now, std::vector<OperationAnswer> &out);
    /// Handles the answer of the service.
    void completed(const OperationId &operation,
                   int httpStatus,
                   const std::string &contentType,
                   const SharedBody &body,
                   TimePoint now,
                   std::vector<OperationAnswer> &out);
    /// Handles the failure of an invocation; @p mayHaveRun is false only if it never left this process.
    void failed(const OperationId &operation,
                const Error &error,
                bool mayHaveRun,
                TimePoint now,
                std::vector<OperationAnswer> &out);
    /// Makes sure that an operation that has not started never starts; returns what is known of it.
    [[nodiscard]] OperationResult cancel(const CancelOperation &message, TimePoint now);
    /// Answers waiters whose time is up and drops old answers.
    void tick(TimePoint now, std::vector<OperationAnswer> &out);
    /// Refuses operations that have not started from now on.
    void setLeaving();
    /// Number of operations that run.
    [[nodiscard]] std::size_t running() const;

private:
    enum class State : std::uint8_t {
        Running,
        Completed,
        /// The service gave no answer; the operation may have run.
        Failed,
        /// Forbidden before it started.
        Tombstone,
    };
    struct Record
    {
        State state = State::Running;
        /// What was called, to detect an id that is used for two calls.
        std::size_t fingerprint = 0;
        std::vector<OperationWaiter> waiters;
        OperationResult result;
        TimePoint endedAt;
    };

    [[nodiscard]] OperationResult answer(const OperationId &operation,
                                         const RequestId &request,
                                         OperationOutcome outcome,
                                         ResultCode code,
                                         std::string text) const;
    [[nodiscard]] OperationResult resultOf(const Record &record, const RequestId &request) const;
    /// Returns an answer if @p operation cannot be one of this table's.
    [[nodiscard]] std::optional<OperationResult> checkId(const OperationId &operation, const RequestId &request) const;
    void end(Record &record, State state, OperationResult result, TimePoint now, std::vector<OperationAnswer> &out);
    void dropOldest();

    InstanceId m_agent;
    Incarnation m_incarnation;
    OperationTableSettings m_settings;
    std::map<std::uint64_t, Record> m_records;
    /// Started or forbidden, by number.
    std::vector<bool> m_used;
    /// Ended operations, oldest first.
    std::multimap<TimePoint, std::uint64_t> m_ended;
    std::int64_t m_resultBytes = 0;
    std::size_t m_running = 0;
    bool m_leaving = false;
};

} // namespace ibismast
