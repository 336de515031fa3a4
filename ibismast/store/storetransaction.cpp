#include "ibismast/store/storetransaction.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

StoreTransaction::StoreTransaction(StoreTransactionPlan plan, StoreCallIds &ids) : m_plan(std::move(plan)), m_ids(&ids)
{
    const auto &call = m_plan.call;
    assert(std::ranges::find(call.compares, m_plan.evidenceKey, &StoreCompare::key) != call.compares.end());
    assert(std::ranges::find(call.puts, m_plan.evidenceKey, &StorePut::key) != call.puts.end());
    auto &read = m_plan.call.readOnFailure;
    if (std::ranges::find(read, m_plan.evidenceKey) == read.end()) {
        read.push_back(m_plan.evidenceKey);
    }
}

void StoreTransaction::start(StoreCalls &out)
{
    sendTransaction(out);
}

void StoreTransaction::sendTransaction(StoreCalls &out)
{
    m_readingBack = false;
    m_pending = m_ids->next();
    out.push_back({m_pending, m_plan.call});
}

void StoreTransaction::sendReadBack(StoreCalls &out)
{
    m_readingBack = true;
    m_pending = m_ids->next();
    out.push_back({m_pending, StoreRead {m_plan.evidenceKey, {}, 1}});
}

StoreRevision StoreTransaction::evidenceRevision() const
{
    return std::ranges::find(m_plan.call.compares, m_plan.evidenceKey, &StoreCompare::key)->modRevision;
}

void StoreTransaction::resolveFromEntries(std::vector<StoreEntry> entries)
{
    const auto entry = std::ranges::find(entries, m_plan.evidenceKey, &StoreEntry::key);
    const auto evidence = entry == entries.end() ? ChangeEvidence::NotApplied : m_plan.evidence(entry->value);
    if (evidence == ChangeEvidence::Applied) {
        m_outcome = TransactionApplied {StoreRevision(), entry->modRevision};
    } else if (evidence == ChangeEvidence::CannotTell && m_lostAnswer) {
        m_outcome = TransactionUncertain {
            "the outcome of the write is unknown: the stored value no longer covers it after later changes"};
    } else {
        m_outcome = TransactionConflict {std::move(entries)};
    }
}

void StoreTransaction::handleReadBack(const StoreReadResult &result, StoreCalls &out)
{
    const StoreRevision found = result.entries.empty() ? StoreRevision() : result.entries.front().modRevision;
    if (found == evidenceRevision()) {
        sendTransaction(out);
    } else {
        resolveFromEntries(result.entries);
    }
}

void StoreTransaction::handleFailure(const StoreFailure &failure, TimePoint now, StoreCalls &out)
{
    m_lostAnswer = m_lostAnswer || (!m_readingBack && failure.mayHaveTakenEffect);
    if (now >= m_plan.giveUpAt) {
        tick(now);
    } else if (m_lostAnswer) {
        sendReadBack(out);
    } else {
        sendTransaction(out);
    }
}

bool StoreTransaction::handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out)
{
    if (m_outcome || answer.id != m_pending) {
        return false;
    }
    m_pending = StoreCallId();
    if (const auto *failure = std::get_if<StoreFailure>(&answer.outcome)) {
        handleFailure(*failure, now, out);
    } else if (const auto *result = std::get_if<StoreTransactionResult>(&answer.outcome)) {
        if (result->succeeded) {
            m_outcome = TransactionApplied {result->revision, result->revision};
        } else {
            resolveFromEntries(result->entries);
        }
    } else if (const auto *read = std::get_if<StoreReadResult>(&answer.outcome)) {
        handleReadBack(*read, out);
    }
    return true;
}

void StoreTransaction::tick(TimePoint now)
{
    const bool waiting = m_pending != StoreCallId();
    if (m_outcome || now < m_plan.giveUpAt + (waiting ? m_plan.lastCallTimeout : Duration::zero())) {
        return;
    }
    // A call in flight may have taken effect, just like a call whose answer was lost.
    if (m_lostAnswer || waiting) {
        m_outcome = TransactionUncertain {"the store did not confirm the write in time"};
    } else {
        m_outcome = TransactionNotSent {"the store is unavailable"};
    }
}

const std::optional<TransactionOutcome> &StoreTransaction::outcome() const
{
    return m_outcome;
}

} // namespace ibismast
