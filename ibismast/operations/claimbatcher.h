#pragma once

#include "ibismast/core/result.h"
#include "ibismast/operations/claimshard.h"
#include "ibismast/store/storetransaction.h"

#include <set>

namespace ibismast
{

/// Settings of a `ClaimBatcher`.
struct ClaimBatcherSettings
{
    /// Time between the starts of two batches of one shard.
    Duration batchInterval = std::chrono::milliseconds(50);
    /// Time after which an unresolved claim fails with `StoreUnavailable`.
    Duration timeout = std::chrono::milliseconds(1'800);
    /// Time after which an unanswered read is repeated. A failed read is repeated after half of it.
    Duration readTimeout = std::chrono::milliseconds(500);
    /// Maximum encoded size of a shard in bytes. The store accepts values of up to 1 MB.
    std::size_t largestValue = 900'000;
    /// Minimum length of a generation. Claims are kept for at least `keptGenerations - 1` generation lengths.
    Duration generationLength = std::chrono::minutes(10);
    std::uint64_t keptGenerations = 7;
    /// Maximum number of unresolved claims; further ones fail with `QueueFull`.
    std::size_t maxWaiting = 10'000;
};

/// Outcome of one claim: the operation that the key is bound to, or an error.
struct ClaimResult
{
    RequestId request;
    Result<OperationId> operation;
};

/// Binds idempotency keys to operation ids. All pending claims of a shard are written by one compare-and-swap on the
/// shard's value, so the write rate is limited by the number of shards and the batch interval instead of the request
/// rate.
class ClaimBatcher
{
public:
    /// @p callRange keeps the ids of its store calls distinct from those of the other state machines of the process.
    ClaimBatcher(const ClaimBatcherSettings &settings, std::uint16_t callRange);

    /// Binds @p key to @p proposed unless it is already bound. The outcome is returned by `takeResults`.
    void submit(const RequestId &request, ClaimKey key, OperationId proposed, TimePoint now, StoreCalls &out);
    /// Discards the outcome of the claim. A write in flight may still bind its key.
    void cancel(const RequestId &request);
    /// Handles an answer of the store. Returns false if it belongs to another state machine.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    /// Starts due batches, repeats reads that timed out and fails expired claims.
    void tick(TimePoint now, StoreCalls &out);
    /// Returns the outcomes that became known since the last call.
    [[nodiscard]] std::vector<ClaimResult> takeResults();

private:
    struct PendingClaim
    {
        ClaimKey key;
        OperationId proposed;
        TimePoint deadline;
    };
    struct Shard
    {
        std::map<RequestId, PendingClaim> pending;
        /// Claims of the write in flight with the operations that it binds them to.
        std::map<RequestId, OperationId> inFlight;
        std::optional<StoreCallId> read;
        std::optional<StoreTransaction> write;
        TimePoint nextBatch = TimePoint::min();
        TimePoint readDeadline;
        /// Last generation read from the store, and the time at which this process first read it.
        std::uint64_t generation = 0;
        TimePoint generationFirstSeen;
    };

    void startBatch(std::uint64_t index, TimePoint now, StoreCalls &out);
    /// Resolves the pending claims whose keys are bound in the stored value, and starts a write for the others.
    void resolveOrWrite(std::uint64_t index, const StoreEntry &entry, TimePoint now, StoreCalls &out);
    void startWrite(std::uint64_t index, const StoreEntry &entry, const ClaimShard &claimShard, StoreCalls &out);
    void checkWrite(std::uint64_t index, TimePoint now, StoreCalls &out);
    void expire(Shard &shard, TimePoint now);
    void resolve(Shard &shard, const RequestId &request, Result<OperationId> operation);
    /// Records that the calls in @p out from index @p firstNew on belong to the shard @p index.
    void registerCalls(std::uint64_t index, const StoreCalls &out, std::size_t firstNew);

    ClaimBatcherSettings m_settings;
    StoreCallIds m_ids;
    std::map<std::uint64_t, Shard> m_shards;
    std::map<RequestId, std::uint64_t> m_shardOf;
    std::map<StoreCallId, std::uint64_t> m_calls;
    /// Shards with pending claims or calls in flight.
    std::set<std::uint64_t> m_active;
    std::vector<ClaimResult> m_results;
};

} // namespace ibismast
