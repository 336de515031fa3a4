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

/// A claim with the operation that a write binds it to.
using Binding = std::pair<ClaimKey, OperationId>;

ChangeEvidence findBindings(const std::vector<Binding> &bindings, const std::string &value)
{
    const auto shard = ClaimShard::parse(value);
    // An earlier write of this process may have bound some of the claims, so only all of them show this write.
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
        m_results.push_back({request, Error {ResultCode::QueueFull, "too many idempotency keys wait", {}}});
        return;
    }
    const std::uint64_t index = ClaimShard::indexOf(key);
    m_shardOf.emplace(request, index);
    Shard &shard = m_shards[index];
    shard.waiting.emplace(request, Waiting {std::move(key), std::move(proposed), now + m_settings.timeout});
    m_active.insert(index);
    startBatch(index, now, out);
}

void ClaimBatcher::cancel(const RequestId &request)
{
    const auto index = m_shardOf.find(request);
    if (index != m_shardOf.end()) {
        m_shards[index->second].waiting.erase(request);
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
            merge(index, result->entries.empty() ? StoreEntry() : result->entries.front(), now, out);
        } else {
            shard.nextBatch = now + m_settings.readTimeout / 2;
        }
        return true;
    }
    if (shard.write) {
        const std::size_t firstNew = out.size();
        shard.write->handle(answer, now, out);
        noteCalls(index, out, firstNew);
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
        if (shard.read && now >= shard.readUntil) {
            m_calls.erase(*shard.read);
            shard.read.reset();
        }
        if (shard.write) {
            shard.write->tick(now);
            checkWrite(index, now, out);
        }
        startBatch(index, now, out);
        if (shard.waiting.empty() && !shard.read && !shard.write) {
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
    if (shard.waiting.empty() || shard.read || shard.write || now < shard.nextBatch) {
        return;
    }
    shard.nextBatch = now + m_settings.batchInterval;
    shard.read = m_ids.next();
    shard.readUntil = now + m_settings.readTimeout;
    const std::size_t firstNew = out.size();
    out.push_back({*shard.read, StoreRead {ClaimShard::storeKey(index), {}, 1}});
    noteCalls(index, out, firstNew);
}

void ClaimBatcher::merge(std::uint64_t index, const StoreEntry &entry, TimePoint now, StoreCalls &out)
{
    Shard &shard = m_shards[index];
    auto content = ClaimShard::parse(entry.value);
    if (!content) {
        const auto waiting = shard.waiting;
        for (const auto &[request, claim] : waiting) {
            resolve(shard, request, unavailable("the claims of this key cannot be read"));
        }
        return;
    }
    if (content->generation() != shard.generation) {
        shard.generation = content->generation();
        shard.generationSeen = now;
    } else if (now - shard.generationSeen >= m_settings.generationLength) {
        content->beginGeneration(m_settings.keptGenerations);
    }
    const ClaimShard stored = *content;
    const auto waiting = shard.waiting;
    for (const auto &[request, claim] : waiting) {
        if (const OperationId *operation = stored.find(claim.key)) {
            resolve(shard, request, *operation);
        } else if (const OperationId *sameBatch = content->find(claim.key)) {
            shard.writing.emplace(request, *sameBatch);
        } else if (content->add(claim.key, claim.proposed, m_settings.largestValue)) {
            shard.writing.emplace(request, claim.proposed);
        } else {
            resolve(shard, request, Error {ResultCode::QueueFull, "the store holds too many recent keys", {}});
        }
    }
    if (!shard.writing.empty()) {
        startWrite(index, entry, *content, out);
    }
}

void ClaimBatcher::startWrite(std::uint64_t index, const StoreEntry &entry, const ClaimShard &content, StoreCalls &out)
{
    Shard &shard = m_shards[index];
    const std::string storeKey = ClaimShard::storeKey(index);
    std::vector<Binding> bindings;
    TimePoint giveUpAt = TimePoint::min();
    for (const auto &[request, operation] : shard.writing) {
        const Waiting &claim = shard.waiting.at(request);
        bindings.emplace_back(claim.key, operation);
        giveUpAt = std::max(giveUpAt, claim.deadline);
    }
    StoreTransactionPlan plan;
    plan.call.compares.push_back({storeKey, entry.modRevision});
    plan.call.puts.push_back({storeKey, content.encode(), {}});
    plan.evidenceKey = storeKey;
    plan.evidence = [bindings = std::move(bindings)](const std::string &value) {
        return findBindings(bindings, value);
    };
    plan.giveUpAt = giveUpAt;
    plan.lastCallTimeout = Duration::zero();
    const std::size_t firstNew = out.size();
    shard.write.emplace(std::move(plan), m_ids);
    shard.write->start(out);
    noteCalls(index, out, firstNew);
}

void ClaimBatcher::checkWrite(std::uint64_t index, TimePoint now, StoreCalls &out)
{
    Shard &shard = m_shards[index];
    if (!shard.write || !shard.write->outcome()) {
        return;
    }
    const TransactionOutcome outcome = *shard.write->outcome();
    shard.write.reset();
    const auto writing = std::exchange(shard.writing, {});
    if (const auto *conflict = std::get_if<TransactionConflict>(&outcome)) {
        merge(index, conflict->entries.empty() ? StoreEntry() : conflict->entries.front(), now, out);
        return;
    }
    const bool applied = std::holds_alternative<TransactionApplied>(outcome);
    for (const auto &[request, operation] : writing) {
        resolve(shard,
                request,
                applied ? Result<OperationId>(operation) : unavailable("the key could not be claimed in time"));
    }
}

void ClaimBatcher::expire(Shard &shard, TimePoint now)
{
    std::vector<RequestId> expired;
    for (const auto &[request, claim] : shard.waiting) {
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
    // A cancelled or expired claim is not waiting any more.
    if (shard.waiting.erase(request) > 0) {
        m_shardOf.erase(request);
        m_results.push_back({request, std::move(operation)});
    }
}

void ClaimBatcher::noteCalls(std::uint64_t index, const StoreCalls &out, std::size_t firstNew)
{
    for (std::size_t call = firstNew; call < out.size(); ++call) {
        m_calls.emplace(out[call].id, index);
    }
}

} // namespace ibismast
