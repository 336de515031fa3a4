#include "ibismast/operations/claimbatcher.h"

#include <algorithm>

namespace ibismast
{

namespace
{

Error unavailable(const std::string &reason)
{
    return Error {ResultCode::StoreUnavailable,
                  reason + "; obtain an operation id and send it instead of an idempotency key",
                  std::chrono::seconds(2)};
}

/// Key with the operation that a write binds it to.
using Binding = std::pair<ClaimKey, OperationId>;

ChangeEvidence findBindings(const std::vector<Binding> &bindings, const std::string &value)
{
    const auto shard = ClaimShard::parse(value);
    // An earlier write of this process may have bound some of the claims, so this write was applied only if all of them
    // are bound.
    const bool all = shard && std::ranges::all_of(bindings, [&](const Binding &binding) {
                         const OperationId *operation = shard->find(binding.first);
                         return operation != nullptr && *operation == binding.second;
                     });
    return all ? ChangeEvidence::Applied : ChangeEvidence::NotApplied;
}

} // namespace

ClaimBatcher::ClaimBatcher(const ClaimBatcherSettings &settings, std::uint16_t callRange)
    : m_settings(settings), m_ids(callRange)
{
}

void ClaimBatcher::submit(const RequestId &request, ClaimKey key, OperationId proposed, TimePoint now, StoreCalls &out)
{
    if (m_shardOf.size() >= m_settings.maxWaiting) {
        m_results.push_back(
            {request, Error {ResultCode::QueueFull, "too many idempotency keys are waiting for the store", {}}});
        return;
    }
    const std::uint64_t index = ClaimShard::indexOf(key);
    m_shardOf.emplace(request, index);
    Shard &shard = m_shards[index];
    shard.pending.emplace(request, PendingClaim {std::move(key), std::move(proposed), now + m_settings.timeout});
    m_active.insert(index);
    startBatch(index, now, out);
}

void ClaimBatcher::cancel(const RequestId &request)
{
    const auto index = m_shardOf.find(request);
    if (index != m_shardOf.end()) {
        m_shards[index->second].pending.erase(request);
        m_shardOf.erase(index);
    }
}

bool ClaimBatcher::handle(const StoreAnswer &answer, TimePoint now, StoreCalls &out)
{
    const auto call = m_calls.find(answer.id);
    if (call == m_calls.end()) {
        return false;
    }
    const std::uint64_t index = call->second;
    m_calls.erase(call);
    Shard &shard = m_shards[index];
    if (shard.read == answer.id) {
        shard.read.reset();
        if (const auto *result = std::get_if<StoreReadResult>(&answer.outcome)) {
            resolveOrWrite(index, result->entries.empty() ? StoreEntry() : result->entries.front(), now, out);
        } else {
            shard.nextBatch = now + m_settings.readTimeout / 2;
        }
        return true;
    }
    if (shard.write) {
        const std::size_t firstNew = out.size();
        shard.write->handle(answer, now, out);
        registerCalls(index, out, firstNew);
        checkWrite(index, now, out);
    }
    return true;
}

void ClaimBatcher::tick(TimePoint now, StoreCalls &out)
{
    const std::vector<std::uint64_t> active(m_active.begin(), m_active.end());
    for (const std::uint64_t index : active) {
        Shard &shard = m_shards[index];
        expire(shard, now);
        if (shard.read && now >= shard.readDeadline) {
            m_calls.erase(*shard.read);
            shard.read.reset();
        }
        if (shard.write) {
            shard.write->tick(now);
            checkWrite(index, now, out);
        }
        startBatch(index, now, out);
        if (shard.pending.empty() && !shard.read && !shard.write) {
            m_active.erase(index);
        }
    }
}

std::vector<ClaimResult> ClaimBatcher::takeResults()
{
    return std::exchange(m_results, {});
}

void ClaimBatcher::startBatch(std::uint64_t index, TimePoint now, StoreCalls &out)
{
    Shard &shard = m_shards[index];
    if (shard.pending.empty() || shard.read || shard.write || now < shard.nextBatch) {
        return;
    }
    shard.nextBatch = now + m_settings.batchInterval;
    shard.read = m_ids.next();
    shard.readDeadline = now + m_settings.readTimeout;
    const std::size_t firstNew = out.size();
    out.push_back({*shard.read, StoreRead {ClaimShard::storeKey(index), {}, 1}});
    registerCalls(index, out, firstNew);
}

void ClaimBatcher::resolveOrWrite(std::uint64_t index, const StoreEntry &entry, TimePoint now, StoreCalls &out)
{
    Shard &shard = m_shards[index];
    auto claimShard = ClaimShard::parse(entry.value);
    if (!claimShard) {
        const auto pending = shard.pending;
        for (const auto &[request, claim] : pending) {
            resolve(shard, request, unavailable("the stored claims of this idempotency key's shard are malformed"));
        }
        return;
    }
    if (claimShard->generation() != shard.generation) {
        shard.generation = claimShard->generation();
        shard.generationFirstSeen = now;
    } else if (now - shard.generationFirstSeen >= m_settings.generationLength) {
        claimShard->beginGeneration(m_settings.keptGenerations);
    }
    const ClaimShard stored = *claimShard;
    const auto pending = shard.pending;
    for (const auto &[request, claim] : pending) {
        if (const OperationId *operation = stored.find(claim.key)) {
            resolve(shard, request, *operation);
        } else if (const OperationId *sameBatch = claimShard->find(claim.key)) {
            shard.inFlight.emplace(request, *sameBatch);
        } else if (claimShard->add(claim.key, claim.proposed, m_settings.largestValue)) {
            shard.inFlight.emplace(request, claim.proposed);
        } else {
            resolve(shard,
                    request,
                    Error {ResultCode::QueueFull,
                           "the store holds too many recent idempotency keys in this key's shard",
                           {}});
        }
    }
    if (!shard.inFlight.empty()) {
        startWrite(index, entry, *claimShard, out);
    }
}

void ClaimBatcher::startWrite(std::uint64_t index,
                              const StoreEntry &entry,
                              const ClaimShard &claimShard,
                              StoreCalls &out)
{
    Shard &shard = m_shards[index];
    const std::string storeKey = ClaimShard::storeKey(index);
    std::vector<Binding> bindings;
    TimePoint giveUpAt = TimePoint::min();
    for (const auto &[request, operation] : shard.inFlight) {
        const PendingClaim &claim = shard.pending.at(request);
        bindings.emplace_back(claim.key, operation);
        giveUpAt = std::max(giveUpAt, claim.deadline);
    }
    StoreTransactionPlan plan;
    plan.call.compares.push_back({storeKey, entry.modRevision});
    plan.call.puts.push_back({storeKey, claimShard.encode(), {}});
    plan.evidenceKey = storeKey;
    plan.evidence = [bindings = std::move(bindings)](const std::string &value) {
        return findBindings(bindings, value);
    };
    plan.giveUpAt = giveUpAt;
    plan.lastCallTimeout = Duration::zero();
    const std::size_t firstNew = out.size();
    shard.write.emplace(std::move(plan), m_ids);
    shard.write->start(out);
    registerCalls(index, out, firstNew);
}

void ClaimBatcher::checkWrite(std::uint64_t index, TimePoint now, StoreCalls &out)
{
    Shard &shard = m_shards[index];
    if (!shard.write || !shard.write->outcome()) {
        return;
    }
    const TransactionOutcome outcome = *shard.write->outcome();
    shard.write.reset();
    const auto written = std::exchange(shard.inFlight, {});
    if (const auto *conflict = std::get_if<TransactionConflict>(&outcome)) {
        resolveOrWrite(index, conflict->entries.empty() ? StoreEntry() : conflict->entries.front(), now, out);
        return;
    }
    const bool applied = std::holds_alternative<TransactionApplied>(outcome);
    for (const auto &[request, operation] : written) {
        resolve(shard,
                request,
                applied ? Result<OperationId>(operation)
                        : unavailable("the idempotency key could not be bound in time"));
    }
}

void ClaimBatcher::expire(Shard &shard, TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto &[request, claim] : shard.pending) {
        if (now >= claim.deadline) {
            expired.push_back(request);
        }
    }
    for (const RequestId &request : expired) {
        resolve(shard, request, unavailable("the key-value service did not answer in time"));
    }
}

void ClaimBatcher::resolve(Shard &shard, const RequestId &request, Result<OperationId> operation)
{
    // Cancelled and expired claims have already been removed.
    if (shard.pending.erase(request) > 0) {
        m_shardOf.erase(request);
        m_results.push_back({request, std::move(operation)});
    }
}

void ClaimBatcher::registerCalls(std::uint64_t index, const StoreCalls &out, std::size_t firstNew)
{
    for (std::size_t call = firstNew; call < out.size(); ++call) {
        m_calls.emplace(out[call].id, index);
    }
}

} // namespace ibismast
