#include "ibismast/leases/leaseholder.h"

#include <algorithm>

namespace ibismast
{

Result<Success> LeaseHolderSettings::validate() const
{
    const auto invalid = [](const std::string &field) {
        return Error {ResultCode::SettingsInvalid, "LeaseHolderSettings::" + field, std::nullopt};
    };
    if (margin <= Duration::zero()) {
        return invalid("margin must be positive");
    }
    if (renewInterval <= Duration::zero() || retryInterval <= Duration::zero()) {
        return invalid("renewInterval and retryInterval must be positive");
    }
    // There must be time for two renewals, so that one lost answer does not end the lease.
    if (timeToLive < margin + 2 * renewInterval) {
        return invalid("timeToLive must be at least margin and two renewIntervals");
    }
    return Success();
}

LeaseHolder::LeaseHolder(
    const LeaseHolderSettings &settings, std::string key, std::string holder, StoreCallIds &ids, std::uint64_t seed)
    : m_settings(settings), m_key(std::move(key)), m_holder(std::move(holder)), m_ids(&ids), m_random(seed)
{
}

std::optional<FencingToken> LeaseHolder::token(TimePoint now) const
{
    return m_state == State::Holding && now < m_heldUntil ? std::optional(m_token) : std::nullopt;
}

TimePoint LeaseHolder::heldUntil() const
{
    return m_state == State::Holding ? m_heldUntil : TimePoint();
}

void LeaseHolder::send(StoreOperation operation, TimePoint now, StoreCalls &out)
{
    m_pendingCall = m_ids->next();
    m_sentAt = now;
    appendCall(out, m_pendingCall, std::move(operation));
}

void LeaseHolder::scheduleRetry(TimePoint now)
{
    m_state = State::Waiting;
    m_pendingCall = StoreCallId();
    m_nextCallAt = now + fromSeconds(toSeconds(m_settings.retryInterval) * (0.5 + m_random.uniform()));
}

void LeaseHolder::revokeLease(StoreCalls &out)
{
    if (m_lease != StoreLeaseId()) {
        // The answer is ignored: without renewals the lease expires anyway.
        appendCall(out, m_ids->next(), StoreLeaseRevoke {m_lease});
        m_lease = StoreLeaseId();
    }
}

void LeaseHolder::release(StoreCalls &out)
{
    m_state = State::Released;
    m_pendingCall = StoreCallId();
    m_transaction.reset();
    revokeLease(out);
}

void LeaseHolder::tick(TimePoint now, StoreCalls &out)
{
    if (m_transaction) {
        m_transaction->tick(now);
        if (m_transaction->outcome()) {
            handleClaimOutcome(*m_transaction->outcome(), now, out);
        }
    }
    if (m_state == State::Waiting && now >= m_nextCallAt) {
        m_state = State::Granting;
        send(StoreLeaseGrant {m_settings.timeToLive}, now, out);
    } else if (m_state == State::Granting && now - m_sentAt >= m_settings.timeToLive) {
        // The answer was lost. If the lease was granted, it expires without renewals.
        scheduleRetry(now);
    } else if (m_state == State::Holding && now >= m_nextCallAt) {
        m_nextCallAt = now + m_settings.renewInterval;
        send(StoreLeaseKeepAlive {m_lease}, now, out);
    }
}

void LeaseHolder::claim(StoreCalls &out)
{
    m_state = State::Claiming;
    m_claimCount += 1;
    const std::string record = m_holder + '/' + std::to_string(m_claimCount);
    StoreTransactionPlan plan;
    plan.evidenceKey = m_key;
    plan.call.compares = {{m_key, StoreRevision()}};
    plan.call.puts = {{m_key, record, m_lease}};
    plan.evidence = [record](const std::string &value) {
        return value == record ? ChangeEvidence::Applied : ChangeEvidence::NotApplied;
    };
    plan.giveUpAt = m_heldUntil;
    plan.lastCallTimeout = Duration::zero();
    m_transaction.emplace(std::move(plan), *m_ids);
    m_transaction->start(out);
}

void LeaseHolder::handleClaimOutcome(const TransactionOutcome &outcome, TimePoint now, StoreCalls &out)
{
    const auto *applied = std::get_if<TransactionApplied>(&outcome);
    if (applied) {
        m_token = FencingToken(applied->evidenceRevision.value());
        m_state = State::Holding;
        m_nextCallAt = std::min(m_sentAt + m_settings.renewInterval, m_heldUntil);
    } else {
        revokeLease(out);
        scheduleRetry(now);
    }
    m_transaction.reset();
}

void LeaseHolder::handleLeaseResult(const StoreLeaseResult &result, TimePoint now, StoreCalls &out)
{
    if (result.timeToLive <= Duration::zero()) {
        m_lease = StoreLeaseId();
        scheduleRetry(now);
        return;
    }
    m_lease = result.lease;
    m_heldUntil =
        std::max(m_heldUntil, m_sentAt + std::min(result.timeToLive, m_settings.timeToLive) - m_settings.margin);
    if (m_state == State::Granting) {
        claim(out);
    }
}

bool LeaseHolder::handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out)
{
    if (m_transaction && m_transaction->handle(answer, now, out)) {
        if (m_transaction->outcome()) {
            handleClaimOutcome(*m_transaction->outcome(), now, out);
        }
        return true;
    }
    if (m_pendingCall == StoreCallId() || answer.id != m_pendingCall) {
        return false;
    }
    m_pendingCall = StoreCallId();
    if (const auto *result = std::get_if<StoreLeaseResult>(&answer.outcome)) {
        handleLeaseResult(*result, now, out);
    } else if (m_state == State::Granting) {
        scheduleRetry(now);
    }
    // A failed renewal is repeated at the next interval, because the lease may still exist.
    return true;
}

} // namespace ibismast
