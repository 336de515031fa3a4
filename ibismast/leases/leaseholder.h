#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/seededrandom.h"
#include "ibismast/store/storetransaction.h"

namespace ibismast
{

/// Settings of `LeaseHolder`.
struct LeaseHolderSettings
{
    Duration timeToLive = std::chrono::seconds(9);
    Duration renewInterval = std::chrono::seconds(3);
    /// Time before the end of the lease at which the holder stops. Covers the difference of the clocks' rates and the
    /// way of an order to its upstream.
    Duration margin = std::chrono::milliseconds(1'500);
    /// Mean time between two attempts to get a lease that another process holds.
    Duration retryInterval = std::chrono::seconds(3);

    /// Returns an error that names the first field outside its range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Gets and keeps the lease of one shard, so that one process acts for the shard at a time.
///
/// The record is a key that is attached to a lease of the store. The fencing token is the store revision at which the
/// record was written. The holder counts its time from the sending of the call that granted or extended the lease, by
/// its own clock, and so stops before the store gives the lease to another process.
class LeaseHolder
{
public:
    /// @p holder names this process run and goes into the record. @p key is the key of the record.
    LeaseHolder(const LeaseHolderSettings &settings,
                std::string key,
                std::string holder,
                StoreCallIds &ids,
                std::uint64_t seed);

    /// Does what is due.
    void tick(TimePoint now, StoreCalls &out);
    /// Handles an answer; returns false if it belongs to another call.
    bool handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out);
    /// Gives the lease back and stops trying to get it.
    void release(StoreCalls &out);

    /// Returns the token while the lease is held. Must be asked before every order, since the process may have paused.
    [[nodiscard]] std::optional<FencingToken> token(TimePoint now) const;
    /// Returns the time until which `token` has a value without a further renewal.
    [[nodiscard]] TimePoint heldUntil() const;

private:
    enum class State : std::uint8_t {
        Waiting,
        Granting,
        Claiming,
        Holding,
        Released,
    };

    void send(StoreOperation operation, TimePoint now, StoreCalls &out);
    void claim(StoreCalls &out);
    void claimEnded(const TransactionOutcome &outcome, TimePoint now, StoreCalls &out);
    void handleLease(const StoreLeaseResult &result, TimePoint now, StoreCalls &out);
    void wait(TimePoint now);
    void dropLease(StoreCalls &out);

    LeaseHolderSettings m_settings;
    std::string m_key;
    std::string m_holder;
    StoreCallIds *m_ids;
    SeededRandom m_random;
    State m_state = State::Waiting;
    StoreCallId m_pending;
    TimePoint m_sentAt {};
    TimePoint m_nextAt {};
    StoreLeaseId m_lease;
    FencingToken m_token;
    TimePoint m_heldUntil {};
    std::uint64_t m_claims = 0;
    std::optional<StoreTransaction> m_transaction;
};

} // namespace ibismast
