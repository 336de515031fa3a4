#include "ibismast/operations/operationtable.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

namespace
{

std::size_t fingerprintOf(const OperationCall &call)
{
    std::size_t hash = 0;
    const std::string empty;
    for (const std::string *part : {&call.customer.value(),
                                    &call.service.value(),
                                    &call.method,
                                    &call.path,
                                    call.body ? call.body.get() : &empty}) {
        // Multiplying by the 64-bit FNV prime makes the hash depend on the order of the parts.
        hash = hash * 0x100000001b3ULL + std::hash<std::string>()(*part);
    }
    return hash;
}

std::int64_t sizeOf(const OperationResult &result)
{
    return result.body ? static_cast<std::int64_t>(result.body->size()) : 0;
}

} // namespace

Result<Success> OperationTableSettings::validate() const
{
    const auto invalid = [](std::string message) {
        return Error {ResultCode::SettingsInvalid, std::move(message), std::nullopt};
    };
    if (resultLifetime <= Duration::zero()) {
        return invalid("resultLifetime must be positive");
    }
    if (maxResultBytes <= Bytes(0)) {
        return invalid("maxResultBytes must be positive");
    }
    if (maxRunning == 0) {
        return invalid("maxRunning must be positive");
    }
    if (maxBlock == 0) {
        return invalid("maxBlock must be positive");
    }
    return Success();
}

OperationTable::OperationTable(InstanceId agent, Incarnation incarnation, const OperationTableSettings &settings)
    : m_agent(std::move(agent)), m_incarnation(incarnation), m_settings(settings)
{
}

std::pair<std::uint64_t, std::uint32_t> OperationTable::issue(std::uint32_t count)
{
    const std::uint64_t first = m_used.size();
    const std::uint32_t issued = std::min(count, m_settings.maxBlock);
    m_used.resize(m_used.size() + issued, false);
    return {first, issued};
}

bool OperationTable::call(const InstanceId &entry,
                          const OperationCall &call,
                          TimePoint now,
                          std::vector<OperationAnswer> &out)
{
    const OperationId &id = call.operation;
    if (auto refusal = checkId(id, call.request)) {
        out.push_back({entry, std::move(*refusal)});
        return false;
    }
    const OperationWaiter waiter {entry, call.request, now + call.timeLeft};
    const auto refuse = [&](ResultCode code, const char *text) {
        out.push_back({entry, makeErrorResult(id, call.request, OperationOutcome::NotRun, code, text)});
    };
    const std::size_t fingerprint = fingerprintOf(call);
    if (const auto found = m_records.find(id.number); found != m_records.end()) {
        Record &record = found->second;
        if (record.state != State::Tombstone && record.fingerprint != fingerprint) {
            refuse(ResultCode::InvalidArgument, "The operation id was already used for a different call.");
            return false;
        }
        if (record.state == State::Running) {
            const bool known = std::ranges::any_of(record.waiters, [&](const OperationWaiter &other) {
                return other.entry == entry && other.request == call.request;
            });
            if (!known) {
                record.waiters.push_back(waiter);
            }
            return false;
        }
        const bool mayRepeat = call.idempotent && record.state == State::Failed && !m_leaving;
        if (!mayRepeat) {
            out.push_back({entry, resultOf(record, call.request)});
            return false;
        }
    } else if (m_used[id.number] && !call.idempotent) {
        out.push_back({entry,
                       makeErrorResult(id,
                                       call.request,
                                       OperationOutcome::Unknown,
                                       ResultCode::OutcomeUnknown,
                                       "The operation has ended; its result is no longer stored.")});
        return false;
    }
    if (m_leaving) {
        refuse(ResultCode::UpstreamLeaving, "The upstream is leaving.");
        return false;
    }
    if (m_running >= m_settings.maxRunning) {
        refuse(ResultCode::QueueFull, "Too many operations are running at the same time.");
        return false;
    }
    if (call.timeLeft <= Duration::zero()) {
        refuse(ResultCode::DeadlineNotFeasible, "The deadline has passed.");
        return false;
    }
    m_used[id.number] = true;
    Record &record = m_records[id.number];
    record.state = State::Running;
    record.fingerprint = fingerprint;
    record.waiters = {waiter};
    record.result.operation = id;
    ++m_running;
    return true;
}

void OperationTable::completed(const OperationId &operation,
                               int httpStatus,
                               const std::string &contentType,
                               const SharedBody &body,
                               TimePoint now,
                               std::vector<OperationAnswer> &out)
{
    const auto found = m_records.find(operation.number);
    if (found == m_records.end() || checkId(operation, {}) || found->second.state != State::Running) {
        return;
    }
    OperationResult result;
    result.operation = operation;
    result.outcome = OperationOutcome::Completed;
    result.httpStatus = httpStatus;
    result.contentType = contentType;
    result.body = body;
    end(found->second, State::Completed, std::move(result), now, out);
}

void OperationTable::failed(
    const OperationId &operation, const Error &error, bool mayHaveRun, TimePoint now, std::vector<OperationAnswer> &out)
{
    const auto found = m_records.find(operation.number);
    if (found == m_records.end() || checkId(operation, {}) || found->second.state != State::Running) {
        return;
    }
    OperationResult result;
    result.operation = operation;
    result.error = error;
    if (mayHaveRun) {
        result.outcome = OperationOutcome::Unknown;
        result.error->code = ResultCode::OutcomeUnknown;
        end(found->second, State::Failed, std::move(result), now, out);
        return;
    }
    // The request was never sent to the service, so the id can be used again.
    result.outcome = OperationOutcome::NotRun;
    if (!resultCodeInfo(result.error->code).notRun) {
        result.error->code = ResultCode::NoUpstream;
    }
    for (const OperationWaiter &waiter : found->second.waiters) {
        result.request = waiter.request;
        out.push_back({waiter.entry, result});
    }
    m_records.erase(found);
    m_used[operation.number] = false;
    --m_running;
}

OperationResult OperationTable::cancel(const CancelOperation &message, TimePoint now)
{
    const OperationId &id = message.operation;
    if (auto refusal = checkId(id, message.request)) {
        return std::move(*refusal);
    }
    if (const auto found = m_records.find(id.number); found != m_records.end()) {
        return resultOf(found->second, message.request);
    }
    if (m_used[id.number]) {
        return makeErrorResult(id,
                               message.request,
                               OperationOutcome::Unknown,
                               ResultCode::OutcomeUnknown,
                               "The operation has ended; its result is no longer stored.");
    }
    m_used[id.number] = true;
    Record &record = m_records[id.number];
    std::vector<OperationAnswer> noAnswers;
    ++m_running;
    end(record,
        State::Tombstone,
        makeErrorResult(id,
                        message.request,
                        OperationOutcome::NotRun,
                        ResultCode::AttemptCancelled,
                        "The operation was cancelled before it started."),
        now,
        noAnswers);
    return record.result;
}

void OperationTable::tick(TimePoint now, std::vector<OperationAnswer> &out)
{
    for (auto &[number, record] : m_records) {
        if (record.state != State::Running) {
            continue;
        }
        std::erase_if(record.waiters, [&, id = number](const OperationWaiter &waiter) {
            if (waiter.deadline > now) {
                return false;
            }
            out.push_back({waiter.entry,
                           makeErrorResult({m_agent, m_incarnation, id},
                                           waiter.request,
                                           OperationOutcome::InProgress,
                                           ResultCode::OperationInProgress,
                                           "The operation is still running.")});
            return true;
        });
    }
    while (!m_ended.empty()
           && (m_ended.begin()->first + m_settings.resultLifetime <= now
               || m_resultBytes > m_settings.maxResultBytes.value())) {
        dropOldest();
    }
}

void OperationTable::setLeaving()
{
    m_leaving = true;
}

std::size_t OperationTable::running() const
{
    return m_running;
}

OperationResult OperationTable::makeErrorResult(const OperationId &operation,
                                                const RequestId &request,
                                                OperationOutcome outcome,
                                                ResultCode code,
                                                std::string text) const
{
    OperationResult result;
    result.operation = operation;
    result.request = request;
    result.outcome = outcome;
    result.error = Error {code, std::move(text), std::nullopt};
    return result;
}

OperationResult OperationTable::resultOf(const Record &record, const RequestId &request) const
{
    if (record.state == State::Running) {
        return makeErrorResult(record.result.operation,
                               request,
                               OperationOutcome::InProgress,
                               ResultCode::OperationInProgress,
                               "The operation is still running.");
    }
    OperationResult result = record.result;
    result.request = request;
    return result;
}

std::optional<OperationResult> OperationTable::checkId(const OperationId &operation, const RequestId &request) const
{
    if (operation.agent != m_agent || operation.incarnation != m_incarnation) {
        return makeErrorResult(
            operation,
            request,
            OperationOutcome::Unknown,
            ResultCode::OutcomeUnknown,
            "The operation id belongs to another agent, or to another run of this agent whose results are lost.");
    }
    if (operation.number >= m_used.size()) {
        return makeErrorResult(operation,
                               request,
                               OperationOutcome::NotRun,
                               ResultCode::UnknownOperation,
                               "The agent has not issued this operation id.");
    }
    return std::nullopt;
}

void OperationTable::end(
    Record &record, State state, OperationResult result, TimePoint now, std::vector<OperationAnswer> &out)
{
    record.state = state;
    record.endedAt = now;
    m_resultBytes += sizeOf(result);
    --m_running;
    for (const OperationWaiter &waiter : record.waiters) {
        result.request = waiter.request;
        out.push_back({waiter.entry, result});
    }
    record.waiters.clear();
    m_ended.emplace(now, result.operation.number);
    record.result = std::move(result);
}

void OperationTable::dropOldest()
{
    const auto oldest = m_ended.begin();
    const auto found = m_records.find(oldest->second);
    // A failed idempotent operation may have been run again; the entry of its earlier run is then skipped.
    if (found != m_records.end() && found->second.state != State::Running && found->second.endedAt == oldest->first) {
        m_resultBytes -= sizeOf(found->second.result);
        m_records.erase(found);
    }
    m_ended.erase(oldest);
}

} // namespace ibismast
