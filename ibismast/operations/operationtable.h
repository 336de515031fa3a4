#pragma once

#include "ibismast/core/messages.h"

#include <map>

namespace ibismast
{

/// Settings of an `OperationTable`.
struct OperationTableSettings
{
    /// Time for which the result of an operation is kept after its end.
    Duration resultLifetime {3'600'000'000};
    /// Maximum total size of the kept response bodies. If it is exceeded, the oldest results are dropped first.
    Bytes maxResultBytes {64'000'000};
    /// Maximum number of operations that run at the same time.
    std::size_t maxRunning = 256;
    /// Maximum number of ids issued by one call of `issue`.
    std::uint32_t maxBlock = 10'000;

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Delivery of a call that waits for the operation to end. Retries of a call are separate deliveries.
struct OperationWaiter
{
    InstanceId entry;
    RequestId request;
    /// Time at which the waiter is answered with `OperationInProgress` if the operation is still running.
    TimePoint deadline;
};

/// Result of an operation, addressed to the entry that waits for it.
struct OperationAnswer
{
    InstanceId entry;
    OperationResult result;
};

/// Operations of one agent incarnation. Each runs at most once unless it is idempotent.
///
/// A bit for every issued id records whether the operation was started or cancelled. It is kept after the result has
/// been dropped, so that an operation whose result was dropped is reported as unknown instead of being run again. Only
/// a call marked as idempotent may run again.
class OperationTable
{
public:
    OperationTable(InstanceId agent, Incarnation incarnation, const OperationTableSettings &settings);

    /// Issues up to @p count consecutive ids. Returns the first one and the number issued.
    [[nodiscard]] std::pair<std::uint64_t, std::uint32_t> issue(std::uint32_t count);
    /// Handles a call received from @p entry. Returns true if the service must be invoked now. Otherwise either appends
    /// the answer to @p out or adds the delivery to the waiters of the running operation.
    [[nodiscard]] bool
    call(const InstanceId &entry, const OperationCall &call, TimePoint now, std::vector<OperationAnswer> &out);
    /// Handles the response of the service and answers all waiters.
    void completed(const OperationId &operation,
                   int httpStatus,
                   const std::string &contentType,
                   const SharedBody &body,
                   TimePoint now,
                   std::vector<OperationAnswer> &out);
    /// Handles the failure of an invocation and answers all waiters. @p mayHaveRun is false only if the request was
    /// never sent to the service; the id can then be used again.
    void failed(const OperationId &operation,
                const Error &error,
                bool mayHaveRun,
                TimePoint now,
                std::vector<OperationAnswer> &out);
    /// Cancels an operation that has not started, so that later calls with its id do not run. Returns the result or
    /// state of the operation; a started operation is not affected. The cancellation is dropped like any other result;
    /// after that an idempotent call with the id can start.
    [[nodiscard]] OperationResult cancel(const CancelOperation &message, TimePoint now);
    /// Answers waiters whose deadline has passed and drops expired results.
    void tick(TimePoint now, std::vector<OperationAnswer> &out);
    /// Refuses to start operations from now on.
    void setLeaving();
    /// Returns the number of running operations.
    [[nodiscard]] std::size_t running() const;

private:
    enum class State : std::uint8_t {
        Running,
        Completed,
        /// The invocation failed; the operation may have run.
        Failed,
        /// Cancelled before it started.
        Tombstone,
    };
    struct Record
    {
        State state = State::Running;
        /// Hash of the call, to detect an id that is used for two different calls.
        std::size_t fingerprint = 0;
        std::vector<OperationWaiter> waiters;
        OperationResult result;
        TimePoint endedAt;
    };

    [[nodiscard]] OperationResult makeErrorResult(const OperationId &operation,
                                                  const RequestId &request,
                                                  OperationOutcome outcome,
                                                  ResultCode code,
                                                  std::string text) const;
    [[nodiscard]] OperationResult resultOf(const Record &record, const RequestId &request) const;
    /// Returns an error result if this table did not issue @p operation.
    [[nodiscard]] std::optional<OperationResult> checkId(const OperationId &operation, const RequestId &request) const;
    void end(Record &record, State state, OperationResult result, TimePoint now, std::vector<OperationAnswer> &out);
    void dropOldest();

    InstanceId m_agent;
    Incarnation m_incarnation;
    OperationTableSettings m_settings;
    std::map<std::uint64_t, Record> m_records;
    /// Whether each issued id was started or cancelled, indexed by its number.
    std::vector<bool> m_used;
    /// Numbers of the ended operations by the time of their end.
    std::multimap<TimePoint, std::uint64_t> m_ended;
    std::int64_t m_resultBytes = 0;
    std::size_t m_running = 0;
    bool m_leaving = false;
};

} // namespace ibismast
