#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/seededrandom.h"
#include "ibismast/store/storetransaction.h"

namespace ibismast
{

/// Settings of `LeaseHolder`.
struct LeaseHolderSettings
{
    /// Time after which the store ends a lease that is not renewed.
    Duration timeToLive = std::chrono::seconds(9);
    /// Time between two renewals.
    Duration renewInterval = std::chrono::seconds(3);
    /// Time before the end of the lease from which the holder no longer uses it. Covers the difference between the
    /// clock rates of this process and the store, and the delivery time of an order to its upstream.
    Duration margin = std::chrono::milliseconds(1'500);
    /// Mean time before the next attempt after the lease could not be acquired or was lost. The delay is randomized by
    /// up to 50 % in both directions.
    Duration retryInterval = std::chrono::seconds(3);

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Acquires and renews the lease of one shard, so that only one process acts for the shard at a time.
///
/// The holder is recorded under a key that is attached to a lease of the store and removed with it. The fencing token
/// is the store revision at which that record was written. The holder measures the lease time with its own clock,
/// starting when it sent the call that granted or renewed the lease, and therefore stops before the store can grant the
/// lease to another process.
class LeaseHolder
{
public:
    /// @p key is the key of the record. @p holder identifies this run of the process and is written into the record.
    LeaseHolder(const LeaseHolderSettings &settings,
                std::string key,
                std::string holder,
                StoreCallIds &ids,
                std::uint64_t seed);

    /// Sends due calls and detects timeouts. Must be called regularly.
    void tick(TimePoint now, StoreCalls &out);
    /// Handles an answer of the store. Returns false if it belongs to another caller.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    /// Revokes the lease and stops trying to acquire it.
    void release(StoreCalls &out);

    /// Returns the fencing token while the lease is held. Must be called before every order, because the process may
    /// have been paused past the end of the lease.
    [[nodiscard]] std::optional<FencingToken> token(TimePoint now) const;
    /// Returns the time until which `token` returns a value without a further renewal, or the epoch if no lease is
    /// held.
    [[nodiscard]] TimePoint heldUntil() const;

private:
    enum class State : std::uint8_t {
        /// Waits for the next attempt.
        Waiting,
        /// A lease was requested from the store.
        Granting,
        /// The record is being written with the granted lease.
        Claiming,
        Holding,
        Released,
    };

    void send(StoreOperation operation, TimePoint now, StoreCalls &out);
    /// Writes the holder's record under the granted lease, if no other record exists.
    void claim(StoreCalls &out);
    void handleClaimOutcome(const TransactionOutcome &outcome, TimePoint now, StoreCalls &out);
    void handleLeaseResult(const StoreLeaseResult &result, TimePoint now, StoreCalls &out);
    /// Gives up the current attempt or lease and schedules the next attempt.
    void scheduleRetry(TimePoint now);
    void revokeLease(StoreCalls &out);

    LeaseHolderSettings m_settings;
    std::string m_key;
    std::string m_holder;
    StoreCallIds *m_ids;
    SeededRandom m_random;
    State m_state = State::Waiting;
    StoreCallId m_pendingCall;
    TimePoint m_sentAt {};
    TimePoint m_nextCallAt {};
    StoreLeaseId m_lease;
    FencingToken m_token;
    TimePoint m_heldUntil {};
    /// Number of claims so far. It makes every record unique, so that a claim can recognise its own record.
    std::uint64_t m_claimCount = 0;
    std::optional<StoreTransaction> m_transaction;
};

} // namespace ibismast
