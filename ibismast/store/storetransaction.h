#pragma once

#include "ibismast/store/keyvaluestore.h"

#include <functional>

namespace ibismast
{

/// Whether the value of the evidence key shows that a transaction took effect.
enum class ChangeEvidence : std::uint8_t {
    Applied,
    NotApplied,
    /// The value no longer holds changes as old as the transaction, so it shows neither.
    CannotTell,
};

/// Describes what a `StoreTransaction` writes and how to detect whether it took effect.
struct StoreTransactionPlan
{
    /// Must both compare and write `evidenceKey`, so that a repeated transaction can take effect only once.
    StoreTransactionCall call;
    /// Key whose value shows whether the transaction took effect.
    std::string evidenceKey;
    /// Determines from the value of `evidenceKey` whether it includes the change made by this transaction.
    std::function<ChangeEvidence(const std::string &value)> evidence;
    /// A failed call is not retried after this time.
    TimePoint giveUpAt {};
    /// Additional time after `giveUpAt` to wait for the answer of a call in flight, since that answer can settle an
    /// otherwise uncertain outcome.
    Duration lastCallTimeout = std::chrono::seconds(2);
};

/// The transaction took effect.
struct TransactionApplied
{
    /// Store revision of the write; 0 if the effect was detected from the evidence key, because that key may have been
    /// written again since.
    StoreRevision revision;
    /// Revision of the last known change of the evidence key: `revision`, or the one that was read with the key.
    StoreRevision evidenceRevision;
};

/// Another write changed a compared key first; the transaction did not and will not take effect.
struct TransactionConflict
{
    /// Entries read by the failed transaction (`readOnFailure`), or the evidence key if it was read back.
    std::vector<StoreEntry> entries;
};

/// The store was unavailable until the transaction was given up, and no attempt can have taken effect.
struct TransactionNotSent
{
    std::string message;
};

/// The store did not answer in time; the transaction may have taken effect or may still do so.
struct TransactionUncertain
{
    std::string message;
};

/// Outcome of a `StoreTransaction`.
using TransactionOutcome =
    std::variant<TransactionApplied, TransactionConflict, TransactionNotSent, TransactionUncertain>;

/// Compare-and-swap transaction that is retried safely when its answer is lost.
///
/// After a lost answer, the evidence key is read back. If its value includes the change, the transaction took effect.
/// If the key has changed but its value does not include the change, the compare can never hold again, so the result is
/// a conflict; if the value no longer holds changes that old, the outcome is uncertain. If the key has not changed, the
/// first attempt may still be in flight. The transaction is then sent again: all attempts have the same compare, and at
/// most one of them can succeed.
class StoreTransaction
{
public:
    StoreTransaction(StoreTransactionPlan plan, StoreCallIds &ids);

    /// Appends the first attempt to @p out.
    void start(StoreCalls &out);
    /// Processes an answer and appends the next call, if any, to @p out. Returns false if the answer does not belong to
    /// the pending call or the outcome is already known.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    /// Sets the outcome to `TransactionNotSent` or `TransactionUncertain` if the time limit has expired.
    void tick(TimePoint now);
    /// Returns the outcome, or nothing while it is not known.
    [[nodiscard]] const std::optional<TransactionOutcome> &outcome() const;

private:
    void sendTransaction(StoreCalls &out);
    void sendReadBack(StoreCalls &out);
    /// Sets the outcome according to the evidence key in @p entries.
    void resolveFromEntries(std::vector<StoreEntry> entries);
    void handleReadBack(const StoreReadResult &result, StoreCalls &out);
    void handleFailure(const StoreFailure &failure, TimePoint now, StoreCalls &out);
    /// Returns the revision that the transaction expects the evidence key to have.
    [[nodiscard]] StoreRevision evidenceRevision() const;

    StoreTransactionPlan m_plan;
    StoreCallIds *m_ids;
    /// Id of the call in flight; the default value if there is none.
    StoreCallId m_pending;
    /// True if the last call sent was a read-back.
    bool m_readingBack = false;
    /// True if the answer of an attempt that may have taken effect was lost.
    bool m_lostAnswer = false;
    std::optional<TransactionOutcome> m_outcome;
};

} // namespace ibismast
