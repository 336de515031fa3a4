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
    /// Time after which a claim is refused as `StoreUnavailable`.
    Duration timeout = std::chrono::milliseconds(1'800);
    /// Time after which an unanswered or failed read is repeated.
    Duration readTimeout = std::chrono::milliseconds(500);
    /// Largest value of a shard in bytes. The store takes 1 MB.
    std::size_t largestValue = 900'000;
    /// Length of a generation. Claims are kept for at least `keptGenerations - 1` of them.
    Duration generationLength = std::chrono::minutes(10);
    std::uint64_t keptGenerations = 7;
    /// Largest number of claims that wait for the store.
    std::size_t maxWaiting = 10'000;
};

/// Outcome of one claim: the operation that the key is bound to.
struct ClaimResult
{
    RequestId request;
    Result<OperationId> operation;
};

/// Binds idempotency keys to operation ids. The claims of a shard go into one CAS on the shard's value, so the writes
/// are bounded by shards and time rather than by requests.
class ClaimBatcher
{
public:
    /// @p callRange separates the ids of its calls from those of the process's other state machines.
    ClaimBatcher(const ClaimBatcherSettings &settings, std::uint16_t callRange);

    /// Binds @p key to @p proposed unless it is bound already. The outcome appears in `takeResults`.
    void submit(const RequestId &request, ClaimKey key, OperationId proposed, TimePoint now, StoreCalls &out);
    /// The outcome of the claim is not needed any more.
    void cancel(const RequestId &request);
    /// Handles an answer of the store; returns false if it belongs to another state machine.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    /// Does what is due: batches, repeated reads, refusals.
    void tick(TimePoint now, StoreCalls &out);
    /// Returns the outcomes that are known since the last call.
    [[nodiscard]] std::vector<ClaimResult> takeResults();

private:
    struct Waiting
    {
        ClaimKey key;
        OperationId proposed;
        TimePoint deadline;
    };
    struct Shard
    {
        std::map<RequestId, Waiting> waiting;
        /// Claims of the write under way with the operations that it binds.
        std::map<RequestId, OperationId> writing;
        std::optional<StoreCallId> read;
        std::optional<StoreTransaction> write;
        TimePoint nextBatch = TimePoint::min();
        TimePoint readUntil;
        /// Generation seen last and when it was seen first.
        std::uint64_t generation = 0;
        TimePoint generationSeen;
    };

    void startBatch(std::uint64_t index, TimePoint now, StoreCalls &out);
    /// Resolves the claims that the value holds and writes the others.
    void merge(std::uint64_t index, const StoreEntry &entry, TimePoint now, StoreCalls &out);
    void startWrite(std::uint64_t index, const StoreEntry &entry, const ClaimShard &content, StoreCalls &out);
    void checkWrite(std::uint64_t index, TimePoint now, StoreCalls &out);
    void expire(Shard &shard, TimePoint now);
    void resolve(Shard &shard, const RequestId &request, Result<OperationId> operation);
    /// Notes which shard the calls behind @p firstNew belong to.
    void noteCalls(std::uint64_t index, const StoreCalls &out, std::size_t firstNew);

    ClaimBatcherSettings m_settings;
    StoreCallIds m_ids;
    std::map<std::uint64_t, Shard> m_shards;
    std::map<RequestId, std::uint64_t> m_shardOf;
    std::map<StoreCallId, std::uint64_t> m_calls;
    std::set<std::uint64_t> m_active;
    std::vector<ClaimResult> m_results;
};

} // namespace ibismast
