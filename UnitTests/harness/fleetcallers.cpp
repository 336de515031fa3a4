#include "UnitTests/harness/fleetprivate.h"

#include <algorithm>

namespace ibismast::harness
{

namespace
{

/// Bytes of a prompt for each token, as callers' texts are counted.
constexpr std::size_t BytesPerToken = 4;

/// Time of a caller's last retry of an operation.
constexpr Duration LateRetry = std::chrono::seconds(6);

} // namespace

std::size_t
Fleet::Private::submit(int index, const CustomerId &customer, Tokens prompt, Tokens output, Duration timeLeft)
{
    const InstanceId entry("entry-" + std::to_string(index));
    CompletionRequest request;
    request.customer = customer;
    request.model = ModelName("model");
    request.promptTokens = prompt;
    request.maxOutputTokens = output;
    request.timeLeft = timeLeft;
    std::string body = "prompt " + std::to_string(m_callers.size());
    body.resize(std::min<std::size_t>(static_cast<std::size_t>(prompt.value()) * BytesPerToken, 64), ' ');
    request.body = std::make_shared<const std::string>(body);

    CallerRecord record = newRecord(entry, timeLeft);
    const AnswerText answer(body, output.value());
    for (std::uint64_t i = 0; i < answer.length(); ++i) {
        record.expectedTokens.push_back(answer.token(i));
    }
    EntryNode &node = m_entries.at(entry);
    EntryActions actions;
    if (node.core) {
        record.request = node.core->submit(std::move(request), m_now, actions);
    } else {
        record.ending = Ending::ConnectionLost;
    }
    return add(std::move(record), actions);
}

std::size_t Fleet::Private::callService(int index,
                                        const std::string &logicalCall,
                                        const std::string &key,
                                        std::optional<OperationId> operation,
                                        Duration timeLeft)
{
    const InstanceId entry("entry-" + std::to_string(index));
    ServiceRequest request;
    request.customer = CustomerId("customer");
    request.service = ServiceName("orders");
    request.method = "POST";
    request.path = "/orders";
    request.contentType = "text/plain";
    request.body = std::make_shared<const std::string>(logicalCall);
    request.timeLeft = timeLeft;
    request.idempotencyKey = key;
    request.operation = std::move(operation);

    CallerRecord record = newRecord(entry, timeLeft);
    record.isService = true;
    record.logicalCall = logicalCall;
    EntryNode &node = m_entries.at(entry);
    EntryActions actions;
    if (node.core) {
        record.request = node.core->callService(std::move(request), m_now, actions);
    } else {
        record.ending = Ending::ConnectionLost;
    }
    return add(std::move(record), actions);
}

void Fleet::Private::callWithOperationId(int index, const std::string &logicalCall, Duration timeLeft)
{
    const InstanceId entry("entry-" + std::to_string(index));
    EntryNode &node = m_entries.at(entry);
    if (!node.core) {
        return;
    }
    EntryActions actions;
    const RequestId request = node.core->requestOperationId(ServiceName("orders"), timeLeft, m_now, actions);
    m_awaitedIds[request] = {logicalCall, timeLeft, index};
    carryOut(entry, actions);
}

void Fleet::Private::issue(const DeliverOperationId &issued)
{
    const auto awaited = m_awaitedIds.find(issued.request);
    if (awaited == m_awaitedIds.end()) {
        return;
    }
    const auto [logicalCall, timeLeft, index] = awaited->second;
    m_awaitedIds.erase(awaited);
    at(m_now, [=, this, operation = issued.operation] {
        callService(index, logicalCall, {}, operation, timeLeft);
        // The caller does not wait for the answer: the retry through another entry overlaps with the first call.
        const int other = (index + 1) % m_settings.entries;
        at(m_now + m_settings.latency * 3, [=, this] {
            callService(other, logicalCall, {}, operation, timeLeft);
        });
        // A last retry comes after an agent that was lost meanwhile has restarted.
        at(m_now + LateRetry, [=, this] {
            callService(other, logicalCall, {}, operation, timeLeft);
        });
    });
}

void Fleet::Private::leave(std::size_t index)
{
    CallerRecord &caller = m_callers.at(index);
    EntryNode &node = m_entries.at(caller.entry);
    if (caller.ending != Ending::Open || !node.core) {
        return;
    }
    caller.ending = Ending::ConnectionLost;
    caller.ended = m_now;
    EntryActions actions;
    node.core->callerDisconnected(caller.request, m_now, actions);
    carryOut(caller.entry, actions);
}

CallerRecord Fleet::Private::newRecord(const InstanceId &entry, Duration timeLeft) const
{
    CallerRecord record;
    record.entry = entry;
    record.submitted = m_now;
    record.deadline = m_now + timeLeft;
    return record;
}

std::size_t Fleet::Private::add(CallerRecord record, const EntryActions &actions)
{
    const std::size_t index = m_callers.size();
    const InstanceId entry = record.entry;
    if (record.ending == Ending::Open) {
        m_callerIndex[record.request] = index;
    }
    m_callers.push_back(std::move(record));
    carryOut(entry, actions);
    return index;
}

CallerRecord *Fleet::Private::find(const RequestId &request)
{
    const auto index = m_callerIndex.find(request);
    return index == m_callerIndex.end() ? nullptr : &m_callers[index->second];
}

void Fleet::Private::deliver(const DeliverTokens &tokens)
{
    CallerRecord *caller = find(tokens.request);
    if (caller && caller->ending != Ending::ConnectionLost) {
        caller->tokens.insert(caller->tokens.end(), tokens.tokens.begin(), tokens.tokens.end());
    }
}

void Fleet::Private::deliver(const InstanceId &entry, const DeliverFailure &failure)
{
    m_awaitedIds.erase(failure.request);
    if (CallerRecord *caller = finish(entry, failure.request, Ending::Failure)) {
        caller->error = failure.error;
    }
}

CallerRecord *Fleet::Private::finish(const InstanceId &entry, const RequestId &request, Ending ending)
{
    takeStep("entry>caller " + std::to_string(static_cast<int>(ending)), entry, {});
    CallerRecord *caller = find(request);
    if (!caller || caller->ending == Ending::ConnectionLost) {
        return nullptr;
    }
    ++caller->finals;
    caller->ending = ending;
    caller->ended = m_now;
    return caller;
}

RunRecord Fleet::Private::record() const
{
    RunRecord record;
    record.callers = m_callers;
    record.startedRequests = m_startedRequests;
    record.leavingSince = m_leaving;
    record.starts = m_starts;
    record.end = m_now;
    for (const auto &[agent, node] : m_agents) {
        if (node.service) {
            record.serviceRuns.insert(node.service->runs().begin(), node.service->runs().end());
        }
        Residue residue {agent, {}, {}, 0};
        residue.engineMemory = node.engine ? node.engine->usedMemory() : Tokens();
        residue.reservedMemory = node.core ? node.core->reservedMemory() : Tokens();
        residue.openWork = node.core ? node.core->openWork() : 0;
        record.residues.push_back(residue);
    }
    return record;
}

} // namespace ibismast::harness
