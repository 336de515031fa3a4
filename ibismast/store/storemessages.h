#pragma once

#include "ibismast/core/result.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Calls of the platform's key-value service. They follow the etcd v3 data model.
namespace ibismast
{

/// Identifies a call between a state machine and the store adapter.
using StoreCallId = StrongInteger<struct StoreCallIdTag, std::uint64_t>;
/// Revision of the whole store.
using StoreRevision = StrongInteger<struct StoreRevisionTag>;
/// Identifies a lease in the store; 0 means none.
using StoreLeaseId = StrongInteger<struct StoreLeaseIdTag>;

/// One key with its value and the revision of its last change.
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

/// Condition of a transaction: the key's last change has this revision; 0 means that the key does not exist.
struct StoreCompare
{
    std::string key;
    StoreRevision modRevision;
};

/// Write of one key.
struct StorePut
{
    std::string key;
    std::string value;
    StoreLeaseId lease;
};

/// Writes all of `puts` and `deletes` if every compare holds, else nothing.
struct StoreTransactionCall
{
    std::vector<StoreCompare> compares;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;
    /// Keys to read if a compare does not hold.
    std::vector<std::string> readOnFailure;
};

/// Creates a lease.
struct StoreLeaseGrant
{
    Duration timeToLive {};
};

/// Extends a lease by its time to live.
struct StoreLeaseKeepAlive
{
    StoreLeaseId lease;
};

/// Ends a lease and deletes its keys.
struct StoreLeaseRevoke
{
    StoreLeaseId lease;
};

/// Watches the keys in [`key`, `rangeEnd`) from a revision on; answers come until it is cancelled.
struct StoreWatch
{
    std::string key;
    std::string rangeEnd;
    StoreRevision fromRevision;
};

/// Ends the watch that was started by call `watch`.
struct StoreWatchCancel
{
    StoreCallId watch;
};

/// Any operation of the store.
using StoreOperation = std::variant<StoreRead,
                                    StoreTransactionCall,
                                    StoreLeaseGrant,
                                    StoreLeaseKeepAlive,
                                    StoreLeaseRevoke,
                                    StoreWatch,
                                    StoreWatchCancel>;

/// Call of the store.
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
    /// Entries of `readOnFailure` if a compare did not hold.
    std::vector<StoreEntry> entries;
};

/// Result of the lease calls. `timeToLive` of zero means that the lease does not exist any more.
struct StoreLeaseResult
{
    StoreLeaseId lease;
    Duration timeToLive {};
};

/// Changes seen by a watch. Deleted keys have `modRevision` set and an empty value in `deleted`.
struct StoreWatchEvents
{
    std::vector<StoreEntry> puts;
    std::vector<StoreEntry> deletes;
    StoreRevision revision;
    /// True if the watch has ended, for example because its start revision was compacted.
    bool ended = false;
};

/// The call failed.
struct StoreFailure
{
    std::string message;
    /// True if the call may have taken effect although its answer was lost.
    bool mayHaveTakenEffect = true;
};

/// Any answer of the store.
using StoreOutcome =
    std::variant<StoreReadResult, StoreTransactionResult, StoreLeaseResult, StoreWatchEvents, StoreFailure>;

/// Answer of the store to the call with the same id.
struct StoreAnswer
{
    StoreCallId id;
    StoreOutcome outcome;
};

} // namespace ibismast
