#pragma once

#include "ibismast/store/keyvaluestore.h"

#include <functional>

namespace ibismast
{

/// What the value of the evidence key says of a transaction.
enum class ChangeEvidence : std::uint8_t {
    Applied,
    NotApplied,
    /// The value no longer reaches back to the transaction.
    CannotTell,
};

/// What a `StoreTransaction` writes and how its effect is recognised.
struct StoreTransactionPlan
{
    /// Must hold and write a compared key, so that the transaction can take effect only once.
    StoreTransactionCall call;
    /// Compared key whose value shows whether the transaction took effect.
    std::string evidenceKey;
    /// Looks for the change id of this transaction in the value of `evidenceKey`.
    std::function<ChangeEvidence(const std::string &value)> evidence;
    /// After this time no further call is made.
    TimePoint giveUpAt {};
    /// Time beyond `giveUpAt` that is granted to a call under way, so that its answer can make the outcome certain.
    Duration lastCallTimeout = std::chrono::seconds(2);
};

/// The transaction took effect.
struct TransactionApplied
{
    /// Store revision of the write; 0 if the outcome was read back and later writes may have followed.
    StoreRevision revision;
    /// Revision at which the evidence key was found; as `revision`, or as read back.
    StoreRevision evidenceRevision;
};

/// Another write came first; the transaction did not and will not take effect.
struct TransactionConflict
{
    /// Entries of `readOnFailure` or of the read-back.
    std::vector<StoreEntry> entries;
};

/// The store did not answer in time, and the transaction was never sent.
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

/// One CAS whose lost answer is resolved by reading back.
///
/// After a lost answer the evidence key is read. If it shows the change, the transaction took effect. If the key has
/// changed without showing it, the compare can never hold again and the transaction is a conflict. If the key has not
/// changed, the first call may still be under way; the same compare is sent again, of which at most one can hold.
class StoreTransaction
{
public:
    StoreTransaction(StoreTransactionPlan plan, StoreCallIds &ids);

    /// Sends the transaction.
    void start(StoreCalls &out);
    /// Handles an answer; returns false if it belongs to another call.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    /// Gives up if it is time to.
    void tick(TimePoint now);
    /// Returns the outcome once it is known.
    [[nodiscard]] const std::optional<TransactionOutcome> &outcome() const;

private:
    void sendTransaction(StoreCalls &out);
    void sendReadBack(StoreCalls &out);
    void conflictOrApplied(std::vector<StoreEntry> entries);
    void handleReadBack(const StoreReadResult &result, StoreCalls &out);
    void handleFailure(const StoreFailure &failure, TimePoint now, StoreCalls &out);
    [[nodiscard]] StoreRevision evidenceRevision() const;

    StoreTransactionPlan m_plan;
    StoreCallIds *m_ids;
    StoreCallId m_pending;
    bool m_reading = false;
    /// True if a call that may have taken effect lost its answer.
    bool m_lostAnswer = false;
    std::optional<TransactionOutcome> m_outcome;
};

} // namespace ibismast
