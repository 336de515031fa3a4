#include "ibismast/agent/attemptrunner.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

namespace
{

bool isSubmitted(const Attempt &attempt)
{
    return attempt.state != AttemptState::Queued;
}

} // namespace

AttemptRunner::AttemptRunner(const AgentContext &context)
    : m_context(context)
    , m_attempts(context.settings.recordLifetime)
    , m_memory(context.settings.memoryCapacity)
    , m_schedule(context.settings.schedule, m_memory)
    , m_estimator(context.settings.capacity)
{
}

bool AttemptRunner::enqueue(Attempt attempt)
{
    if (!m_schedule.enqueue(attempt, rates())) {
        return false;
    }
    const AttemptId id = attempt.request.attempt;
    m_attempts.add(id, std::move(attempt));
    return true;
}

void AttemptRunner::start(Attempt attempt, TimePoint now, AgentActions &out)
{
    const AttemptId id = attempt.request.attempt;
    assert(m_memory.reservedFor(id) > Tokens(0));
    m_memory.extend(id, attempt.deadline);
    submit(m_attempts.add(id, std::move(attempt)), now, out);
}

CancelOutcome AttemptRunner::cancel(const AttemptId &id, TimePoint now, AgentActions &out)
{
    Attempt *attempt = m_attempts.find(id);
    assert(attempt != nullptr);
    if (!isSubmitted(*attempt)) {
        end(id, AttemptRecord::Tombstone, now);
        return CancelOutcome::NeverStarted;
    }
    if (attempt->state != AttemptState::Cancelling) {
        attempt->state = AttemptState::Cancelling;
        attempt->cancelSentAt = now;
        m_schedule.remove(id);
        sendToEngine(EngineCancel {id}, out);
    }
    return CancelOutcome::Stopped;
}

void AttemptRunner::fail(const AttemptId &id, Error error, TimePoint now, AgentActions &out)
{
    const Attempt *attempt = m_attempts.find(id);
    assert(attempt != nullptr);
    const InstanceId owner = attempt->owner;
    m_context.log("attempt_failed", {{"attempt", toString(id)}, {"reason", error.message}});
    const bool started = cancel(id, now, out) != CancelOutcome::NeverStarted;
    sendTo(owner, AttemptFailed {id, std::move(error), started}, out);
}

void AttemptRunner::failQueued(const Error &error, TimePoint now, AgentActions &out)
{
    for (const AttemptId &id : m_schedule.queue().attempts()) {
        fail(id, error, now, out);
    }
}

void AttemptRunner::cancelOwnedBy(const InstanceId &owner, TimePoint now, AgentActions &out)
{
    std::vector<AttemptId> owned;
    for (const auto &[id, attempt] : m_attempts.live()) {
        if (attempt.owner == owner && attempt.state != AttemptState::Cancelling) {
            owned.push_back(id);
        }
    }
    for (const AttemptId &id : owned) {
        m_context.log("orphan_cancelled", {{"attempt", toString(id)}, {"entry", owner.value()}});
        cancel(id, now, out);
    }
}

void AttemptRunner::dropLost(const AttemptId &id, const Error &error, TimePoint now, AgentActions &out)
{
    const Attempt *attempt = m_attempts.find(id);
    assert(attempt != nullptr && isSubmitted(*attempt));
    if (attempt->state != AttemptState::Cancelling) {
        sendTo(attempt->owner, AttemptFailed {id, error, true}, out);
    }
    end(id, AttemptRecord::Ended, now);
}

void AttemptRunner::handleEngineDown(TimePoint now, AgentActions &out)
{
    std::vector<AttemptId> lost;
    for (const auto &[id, attempt] : m_attempts.live()) {
        if (isSubmitted(attempt)) {
            lost.push_back(id);
        }
    }
    const Error error {
        ResultCode::UpstreamFailed, "The engine became unreachable while it ran the attempt.", std::nullopt};
    for (const AttemptId &id : lost) {
        dropLost(id, error, now, out);
    }
    // Queued attempts were never submitted, so their owners can safely retry them on another upstream.
    failQueued(Error {ResultCode::NoUpstream, "The engine is unreachable.", std::nullopt}, now, out);
}

void AttemptRunner::handleTokens(const EngineTokens &event, TimePoint now, AgentActions &out)
{
    Attempt *attempt = m_attempts.find(event.attempt);
    if (attempt == nullptr || !isSubmitted(*attempt) || attempt->state == AttemptState::Cancelling) {
        return;
    }
    if (event.firstSequence > attempt->nextSequence) {
        fail(event.attempt,
             Error {ResultCode::StreamIncomplete, "The token stream from the engine has a gap.", std::nullopt},
             now,
             out);
        return;
    }
    const std::uint64_t alreadyRelayed = attempt->nextSequence - event.firstSequence;
    if (alreadyRelayed >= event.tokens.size()) {
        return;
    }
    StreamPart part {event.attempt, attempt->nextSequence, {}};
    part.tokens.assign(event.tokens.begin() + static_cast<std::ptrdiff_t>(alreadyRelayed), event.tokens.end());
    if (attempt->state == AttemptState::Prefilling) {
        m_estimator.notePrefilled(m_schedule.handlePrefilled(*attempt));
        attempt->state = AttemptState::Decoding;
    } else {
        m_estimator.noteTokenInterval((now - attempt->lastTokenAt) / static_cast<Duration::rep>(part.tokens.size()));
    }
    attempt->lastTokenAt = now;
    attempt->nextSequence += part.tokens.size();
    sendTo(attempt->owner, std::move(part), out);
}

void AttemptRunner::handleFinished(const EngineFinished &event, TimePoint now, AgentActions &out)
{
    const Attempt *attempt = m_attempts.find(event.attempt);
    if (attempt == nullptr || !isSubmitted(*attempt)) {
        return;
    }
    if (attempt->state != AttemptState::Cancelling) {
        if (event.tokenCount == attempt->nextSequence) {
            sendTo(attempt->owner, StreamEnd {event.attempt, event.tokenCount, event.finishReason}, out);
        } else {
            const Error error {ResultCode::StreamIncomplete,
                               "The engine reported a token count that differs from the tokens received.",
                               std::nullopt};
            sendTo(attempt->owner, AttemptFailed {event.attempt, error, true}, out);
        }
    }
    end(event.attempt, AttemptRecord::Ended, now);
}

void AttemptRunner::handleExported(const EngineSegmentExported &event, TimePoint now, AgentActions &out)
{
    Attempt *attempt = m_attempts.find(event.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::Prefilling || !attempt->request.group) {
        return;
    }
    advance(now);
    m_estimator.notePrefilled(m_schedule.handlePrefilled(*attempt));
    m_schedule.remove(event.attempt);
    attempt->state = AttemptState::Exported;
    sendTo(attempt->owner, SegmentExported {event.attempt, attempt->request.group->index, event.handle}, out);
}

void AttemptRunner::handleFailed(const EngineFailed &event, TimePoint now, AgentActions &out)
{
    const Attempt *attempt = m_attempts.find(event.attempt);
    if (attempt == nullptr || !isSubmitted(*attempt)) {
        return;
    }
    if (attempt->state != AttemptState::Cancelling) {
        sendTo(attempt->owner, AttemptFailed {event.attempt, event.error, event.mayHaveStarted}, out);
    }
    end(event.attempt, event.mayHaveStarted ? AttemptRecord::Ended : AttemptRecord::Tombstone, now);
}

void AttemptRunner::handleCancelled(const EngineCancelled &event, TimePoint now)
{
    const Attempt *attempt = m_attempts.find(event.attempt);
    if (attempt != nullptr && attempt->state == AttemptState::Cancelling) {
        end(event.attempt, AttemptRecord::Ended, now);
    }
}

void AttemptRunner::advance(TimePoint now)
{
    m_estimator.advance(now, !m_schedule.progress().empty());
    m_estimator.notePrefilled(m_schedule.advance(rates(), now));
}

void AttemptRunner::tick(TimePoint now, AgentActions &out)
{
    m_attempts.expire(now);
    std::vector<AttemptId> expired;
    for (auto &[id, attempt] : m_attempts.live()) {
        if (attempt.state == AttemptState::Cancelling) {
            if (now - attempt.cancelSentAt >= m_context.settings.cancelRetry) {
                attempt.cancelSentAt = now;
                sendToEngine(EngineCancel {id}, out);
            }
        } else if (attempt.deadline <= now) {
            expired.push_back(id);
        }
    }
    for (const AttemptId &id : expired) {
        fail(id, Error {ResultCode::DeadlineExceeded, "The deadline has passed.", std::nullopt}, now, out);
    }
    if (now >= m_nextPriorities) {
        m_nextPriorities = now + m_context.settings.priorityInterval;
        for (const PriorityChange &change : m_schedule.reprioritise(m_attempts, rates(), now)) {
            sendToEngine(EnginePrioritise {change.attempt, change.priority}, out);
        }
    }
}

void AttemptRunner::submitReady(TimePoint now, AgentActions &out)
{
    if (!m_engineUp) {
        return;
    }
    while (const auto id = m_schedule.takeReady(m_attempts, rates(), now)) {
        Attempt *attempt = m_attempts.find(*id);
        if (now + m_schedule.remainingWork(*attempt, rates()) > attempt->deadline) {
            // The engine could not complete the attempt before its deadline, so running it would waste capacity.
            const Error error {ResultCode::DeadlineNotFeasible,
                               "The time left after queueing is too short to complete the attempt.",
                               std::nullopt};
            fail(*id, error, now, out);
            continue;
        }
        submit(*attempt, now, out);
    }
}

bool AttemptRunner::engineUp() const
{
    return m_engineUp;
}

void AttemptRunner::setEngineUp(bool up)
{
    m_engineUp = up;
}

AttemptTable &AttemptRunner::attempts()
{
    return m_attempts;
}

const AttemptTable &AttemptRunner::attempts() const
{
    return m_attempts;
}

MemoryAccount &AttemptRunner::memory()
{
    return m_memory;
}

const MemoryAccount &AttemptRunner::memory() const
{
    return m_memory;
}

EngineSchedule &AttemptRunner::schedule()
{
    return m_schedule;
}

const EngineSchedule &AttemptRunner::schedule() const
{
    return m_schedule;
}

CapacityEstimator &AttemptRunner::estimator()
{
    return m_estimator;
}

EngineRates AttemptRunner::rates() const
{
    return m_estimator.rates();
}

PerClass<Tokens> AttemptRunner::outstanding() const
{
    PerClass<Tokens> sums {};
    for (const auto &[id, attempt] : m_attempts.live()) {
        if (attempt.state == AttemptState::Cancelling || attempt.state == AttemptState::Exported) {
            continue;
        }
        const std::int64_t prefill = isSubmitted(attempt)
            ? static_cast<std::int64_t>(m_schedule.progress().remaining(id))
            : attempt.prefill.value();
        const auto output = attempt.output.value() - static_cast<std::int64_t>(attempt.nextSequence);
        sums[classIndex(attempt.priorityClass)] += Tokens(prefill + std::max<std::int64_t>(output, 0));
    }
    return sums;
}

std::size_t AttemptRunner::decoding() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_attempts.live(), [](const auto &entry) {
        return entry.second.state == AttemptState::Decoding;
    }));
}

Duration AttemptRunner::memoryWait(PriorityClass priorityClass, Tokens amount, TimePoint now) const
{
    const Tokens reservedForOtherClasses = m_memory.capacity() - m_schedule.maxAttemptMemory(priorityClass);
    Tokens available = m_memory.free() - reservedForOtherClasses;
    if (amount <= available) {
        return Duration::zero();
    }
    std::vector<std::pair<Duration, Tokens>> expectedReleases;
    for (const auto &[id, attempt] : m_attempts.live()) {
        const Tokens held = m_memory.reservedFor(id);
        if (held == Tokens(0)) {
            continue;
        }
        Duration wait {};
        if (attempt.state == AttemptState::Exported) {
            wait = attempt.deadline - now;
        } else if (attempt.state != AttemptState::Cancelling) {
            wait = m_schedule.remainingWork(attempt, rates());
        }
        expectedReleases.emplace_back(wait, held);
    }
    std::ranges::sort(expectedReleases);
    for (const auto &[wait, held] : expectedReleases) {
        available += held;
        if (amount <= available) {
            return wait;
        }
    }
    // The rest is reserved for group members that have not been dispatched, and the time of their end is unknown.
    return std::max(expectedReleases.empty() ? Duration::zero() : expectedReleases.back().first,
                    m_context.settings.reservationWait);
}

void AttemptRunner::submit(Attempt &attempt, TimePoint now, AgentActions &out)
{
    const DispatchRequest &request = attempt.request;
    attempt.state = AttemptState::Prefilling;
    attempt.submittedAt = now;
    attempt.priority = m_schedule.priorityOf(attempt, rates(), now);
    m_schedule.handleSubmitted(attempt);
    EngineSubmit command;
    command.attempt = request.attempt;
    command.model = request.model;
    command.promptTokens = request.promptTokens;
    command.maxOutputTokens = request.maxOutputTokens;
    command.priority = attempt.priority;
    command.resumeFrom = request.resumeFrom;
    command.resumeText = request.resumeText;
    command.chat = request.chat;
    command.body = request.body;
    command.group = request.group;
    command.prefixHashes = request.prefixHashes;
    sendToEngine(std::move(command), out);
    // The command holds the body now. Drop the agent's reference, so that the body is not kept in memory until the
    // answer is complete.
    attempt.request.body.reset();
}

void AttemptRunner::end(const AttemptId &id, AttemptRecord record, TimePoint now)
{
    m_schedule.remove(id);
    m_memory.release(id);
    m_attempts.end(id, record, now);
}

} // namespace ibismast
