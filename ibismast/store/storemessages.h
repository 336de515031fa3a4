#pragma once

#include "ibismast/core/result.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Requests to and answers from the platform's key-value service. They follow the etcd v3 data model.
namespace ibismast
{

/// Identifies a call; its answers carry the same id.
using StoreCallId = StrongInteger<struct StoreCallIdTag, std::uint64_t>;
/// Revision of the store; it increases with each change to any key.
using StoreRevision = StrongInteger<struct StoreRevisionTag>;
/// Identifies a lease in the store; 0 means no lease.
using StoreLeaseId = StrongInteger<struct StoreLeaseIdTag>;

/// One key with its value, the revision of its last change and the lease that it is attached to.
struct StoreEntry
{
    std::string key;
    std::string value;
    StoreRevision modRevision;
    StoreLeaseId lease;

    bool operator==(const StoreEntry &) const = default;
};

/// Reads the keys in [`key`, `rangeEnd`), or the single `key` if `rangeEnd` is empty.
struct StoreRead
{
    std::string key;
    std::string rangeEnd;
    /// Largest number of entries to return; 0 means no limit.
    std::int64_t limit = 0;
};

/// Condition of a transaction: the last change of `key` has revision `modRevision`; 0 means that the key does not
/// exist.
struct StoreCompare
{
    std::string key;
    StoreRevision modRevision;
};

/// Write of one key. The key is attached to `lease`, if that is set, and is deleted when the lease ends.
struct StorePut
{
    std::string key;
    std::string value;
    StoreLeaseId lease;
};

/// Atomically applies all `puts` and `deletes` if every condition in `compares` holds; otherwise changes nothing.
struct StoreTransactionCall
{
    std::vector<StoreCompare> compares;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;
    /// Keys to read in the same transaction if a condition does not hold.
    std::vector<std::string> readOnFailure;
};

/// Creates a lease.
struct StoreLeaseGrant
{
    Duration timeToLive {};
};

/// Renews a lease: its remaining time is reset to its time to live.
struct StoreLeaseKeepAlive
{
    StoreLeaseId lease;
};

/// Revokes a lease and deletes the keys attached to it.
struct StoreLeaseRevoke
{
    StoreLeaseId lease;
};

/// Subscribes to changes of the keys in [`key`, `rangeEnd`) from `fromRevision` on. Answers arrive until the watch is
/// cancelled, fails or is ended by the store.
struct StoreWatch
{
    std::string key;
    std::string rangeEnd;
    StoreRevision fromRevision;
};

/// Cancels the watch that was started by the call with id `watch`.
struct StoreWatchCancel
{
    StoreCallId watch;
};

/// Request of a store call.
using StoreOperation = std::variant<StoreRead,
                                    StoreTransactionCall,
                                    StoreLeaseGrant,
                                    StoreLeaseKeepAlive,
                                    StoreLeaseRevoke,
                                    StoreWatch,
                                    StoreWatchCancel>;

/// Operation to be executed by the store, with the id that its answers carry.
struct StoreCall
{
    StoreCallId id;
    StoreOperation operation;
};

/// Result of `StoreRead`.
struct StoreReadResult
{
    std::vector<StoreEntry> entries;
    StoreRevision revision;
};

/// Result of `StoreTransactionCall`.
struct StoreTransactionResult
{
    bool succeeded = false;
    /// Revision of the store after the transaction.
    StoreRevision revision;
    /// Existing entries among `readOnFailure` if a condition did not hold.
    std::vector<StoreEntry> entries;
};

/// Result of a lease operation. A `timeToLive` of zero means that the lease no longer exists.
struct StoreLeaseResult
{
    StoreLeaseId lease;
    Duration timeToLive {};
};

/// Changes reported by a watch. An entry in `deletes` has an empty value, and its `modRevision` is the revision of the
/// deletion.
struct StoreWatchEvents
{
    std::vector<StoreEntry> puts;
    std::vector<StoreEntry> deletes;
    StoreRevision revision;
    /// True if the store has ended the watch, for example because its start revision was compacted.
    bool ended = false;
};

/// Result of a call that failed, timed out or was never sent.
struct StoreFailure
{
    std::string message;
    /// False only if the call certainly had no effect; true if it may have taken effect although no result arrived.
    bool mayHaveTakenEffect = true;
};

/// Result of a store call.
using StoreOutcome =
    std::variant<StoreReadResult, StoreTransactionResult, StoreLeaseResult, StoreWatchEvents, StoreFailure>;

/// Answer to the call with the same id.
struct StoreAnswer
{
    StoreCallId id;
    StoreOutcome outcome;
};

} // namespace ibismast
