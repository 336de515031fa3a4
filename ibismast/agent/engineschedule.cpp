#include "ibismast/agent/engineschedule.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace ibismast
{

namespace
{

bool isLong(PriorityClass priorityClass)
{
    return priorityClass == PriorityClass::Long || priorityClass == PriorityClass::Huge;
}

double asDouble(Tokens tokens)
{
    return static_cast<double>(tokens.value());
}

} // namespace

Result<Success> EngineScheduleSettings::validate() const
{
    const auto invalid = [](std::string message) {
        return Error {ResultCode::SettingsInvalid, std::move(message), std::nullopt};
    };
    if (auto result = queue.validate(); errorOf(result) != nullptr) {
        return result;
    }
    if (auto result = priorities.validate(); errorOf(result) != nullptr) {
        return result;
    }
    if (prefillWindow <= Duration::zero()) {
        return invalid("prefillWindow must be positive");
    }
    if (classLead <= Duration::zero()) {
        return invalid("classLead must be positive");
    }
    if (maxRunning == 0) {
        return invalid("maxRunning must be positive");
    }
    if (!(shortMemoryReserve >= 0.0 && shortMemoryReserve < 1.0)) {
        return invalid("shortMemoryReserve must be in [0, 1)");
    }
    if (!(shortestMemoryReserve >= 0.0 && shortestMemoryReserve < 1.0)) {
        return invalid("shortestMemoryReserve must be in [0, 1)");
    }
    if (!(shortMemoryLimit > 0.0 && shortMemoryLimit <= 1.0)) {
        return invalid("shortMemoryLimit must be in (0, 1]");
    }
    return Success();
}

EngineSchedule::EngineSchedule(const EngineScheduleSettings &settings, MemoryAccount &memory)
    : m_settings(settings), m_memory(memory), m_queue(settings.queue), m_priorities(settings.priorities)
{
}

bool EngineSchedule::enqueue(const Attempt &attempt, const EngineRates &rates)
{
    QueuedAttempt queued;
    queued.attempt = attempt.request.attempt;
    queued.customer = attempt.request.customer;
    queued.weight = attempt.request.customerWeight;
    queued.priorityClass = attempt.priorityClass;
    queued.work = attempt.prefill + attempt.output;
    queued.bytes = Bytes(attempt.request.body ? static_cast<std::int64_t>(attempt.request.body->size()) : 0);
    queued.urgentAt = m_priorities.urgentAt(attempt.deadline, remainingWork(attempt, rates));
    return m_queue.push(std::move(queued));
}

std::optional<AttemptId> EngineSchedule::takeReady(AttemptTable &attempts, const EngineRates &rates, TimePoint now)
{
    if (m_queue.queuedWork(PriorityClass::Long) + m_queue.queuedWork(PriorityClass::Huge) == Tokens(0)) {
        m_longBlocked = false;
    }
    const auto queued = m_queue.pop(now, [&](const QueuedAttempt &head) {
        return fits(head, attempts, rates);
    });
    if (!queued) {
        return std::nullopt;
    }
    if (isLong(queued->priorityClass)) {
        m_longBlocked = false;
    }
    const Attempt *attempt = attempts.find(queued->attempt);
    assert(attempt != nullptr);
    const bool reserved = m_memory.reserve(queued->attempt, attempt->memory, attempt->deadline);
    assert(reserved);
    static_cast<void>(reserved);
    return queued->attempt;
}

void EngineSchedule::handleSubmitted(const Attempt &attempt)
{
    m_progress.add(attempt.request.attempt, attempt.priorityClass, attempt.prefill, attempt.priority);
    const Tokens shortMemory = isLong(attempt.priorityClass) ? Tokens() : attempt.memory;
    m_running.emplace(attempt.request.attempt, shortMemory);
    m_shortMemory += shortMemory;
    m_queue.setInService(attempt.priorityClass, true);
}

double EngineSchedule::handlePrefilled(const Attempt &attempt)
{
    const double remaining = m_progress.remove(attempt.request.attempt);
    m_queue.charge(attempt.priorityClass, remaining);
    updateInService();
    return remaining;
}

void EngineSchedule::updateInService()
{
    for (const PriorityClass priorityClass : AllPriorityClasses) {
        m_queue.setInService(priorityClass, m_progress.count(priorityClass) > 0);
    }
}

void EngineSchedule::remove(const AttemptId &attempt)
{
    m_queue.remove(attempt);
    if (const auto running = m_running.find(attempt); running != m_running.end()) {
        m_shortMemory -= running->second;
        m_running.erase(running);
    }
    m_progress.remove(attempt);
    updateInService();
}

double EngineSchedule::advance(const EngineRates &rates, TimePoint now)
{
    const PerClass<double> done = m_progress.advance(now, rates.prefill);
    for (const PriorityClass priorityClass : AllPriorityClasses) {
        m_queue.charge(priorityClass, done[classIndex(priorityClass)]);
    }
    return std::accumulate(done.begin(), done.end(), 0.0);
}

int EngineSchedule::priorityOf(const Attempt &attempt, const EngineRates &rates, TimePoint now) const
{
    const bool urgent = m_priorities.urgentAt(attempt.deadline, remainingWork(attempt, rates)) <= now;
    return m_priorities.priority(attempt.priorityClass, urgent, now);
}

std::vector<PriorityChange>
EngineSchedule::reprioritise(AttemptTable &attempts, const EngineRates &rates, TimePoint now)
{
    std::vector<PriorityChange> changes;
    for (const auto &entry : m_running) {
        const AttemptId &id = entry.first;
        Attempt *attempt = attempts.find(id);
        assert(attempt != nullptr);
        const int priority = priorityOf(*attempt, rates, now);
        if (priority != attempt->priority) {
            attempt->priority = priority;
            m_progress.setPriority(id, priority);
            changes.push_back({id, priority});
        }
    }
    return changes;
}

Duration EngineSchedule::remainingWork(const Attempt &attempt, const EngineRates &rates) const
{
    const bool inEngine = m_running.contains(attempt.request.attempt);
    const double prefill = inEngine ? m_progress.remaining(attempt.request.attempt) : asDouble(attempt.prefill);
    const auto total = static_cast<std::uint64_t>(attempt.output.value());
    const auto output = static_cast<Duration::rep>(total - std::min(total, attempt.nextSequence));
    return fromSeconds(prefill / rates.prefill) + output * rates.tokenInterval;
}

const EngineProgress &EngineSchedule::progress() const
{
    return m_progress;
}

const FairQueue &EngineSchedule::queue() const
{
    return m_queue;
}

std::size_t EngineSchedule::running() const
{
    return m_running.size();
}

void EngineSchedule::setGroupReserve(Tokens amount)
{
    m_groupReserve = amount;
}

Tokens EngineSchedule::maxAttemptMemory(PriorityClass priorityClass) const
{
    const double fraction = isLong(priorityClass) ? 1.0 - m_settings.shortMemoryReserve : 1.0;
    return Tokens(static_cast<std::int64_t>(asDouble(m_memory.capacity()) * fraction));
}

bool EngineSchedule::fits(const QueuedAttempt &queued, AttemptTable &attempts, const EngineRates &rates)
{
    if (m_running.size() >= m_settings.maxRunning) {
        return false;
    }
    const PriorityClass priorityClass = queued.priorityClass;
    const Attempt *attempt = attempts.find(queued.attempt);
    assert(attempt != nullptr);
    if (!memoryFits(priorityClass, attempt->memory)) {
        m_longBlocked = m_longBlocked || isLong(priorityClass);
        return false;
    }
    // With less than half a window of prefill work left, accept any class: holding work back could leave the engine
    // idle.
    const double window = toSeconds(m_settings.prefillWindow) * rates.prefill;
    if (m_progress.remaining() < window / 2) {
        return true;
    }
    if (m_progress.remaining(priorityClass) >= window) {
        return false;
    }
    return m_queue.lead(priorityClass) <= toSeconds(m_settings.classLead) * rates.prefill;
}

bool EngineSchedule::memoryFits(PriorityClass priorityClass, Tokens amount) const
{
    const double capacity = asDouble(m_memory.capacity());
    const double free = asDouble(m_memory.free());
    if (isLong(priorityClass)) {
        return asDouble(amount) <= free - capacity * m_settings.shortMemoryReserve - asDouble(m_groupReserve);
    }
    if (m_longBlocked && asDouble(m_shortMemory + amount) > capacity * m_settings.shortMemoryLimit) {
        return false;
    }
    const double groupReserve = std::min(asDouble(m_groupReserve), capacity * (1.0 - m_settings.shortMemoryReserve));
    const double shortestReserve =
        priorityClass == PriorityClass::Medium ? capacity * m_settings.shortestMemoryReserve : 0.0;
    return asDouble(amount) <= free - std::max(shortestReserve, groupReserve);
}

} // namespace ibismast
