#include "ibismast/agent/groupreservations.h"

#include <algorithm>

namespace ibismast
{

GroupReservations::GroupReservations(const AgentContext &context, AttemptRunner &runner)
    : m_context(context), m_runner(runner)
{
}

void GroupReservations::reserve(const PeerFrame &frame,
                                const ReserveMemory &message,
                                const std::optional<Error> &objection,
                                TimePoint now,
                                AgentActions &out)
{
    const auto answer = [&](std::optional<Error> error) {
        sendTo(frame.sender, ReserveResult {message.owner, std::move(error)}, out);
    };
    if (const auto held = m_held.find(message.owner); held != m_held.end() && held->second == frame.sender) {
        m_runner.memory().extend(message.owner, now + message.expiresIn);
        answer(std::nullopt);
        return;
    }
    const bool waits = std::ranges::any_of(m_waiting, [&](const Waiting &waiting) {
        return waiting.message.owner == message.owner;
    });
    if (waits) {
        return;
    }
    if (objection) {
        answer(objection);
        return;
    }
    if (message.amount <= Tokens(0) || message.expiresIn <= Duration::zero()) {
        answer(Error {ResultCode::InvalidArgument, "The reservation has no amount or no lifetime.", std::nullopt});
        return;
    }
    if (message.amount > m_runner.schedule().largestAttempt(PriorityClass::Huge)) {
        answer(Error {
            ResultCode::MemoryExhausted, "The segment needs more KV memory than one attempt can get.", std::nullopt});
        return;
    }
    supersede(message.owner);
    const Duration memoryWait = m_runner.memoryWait(PriorityClass::Huge, message.amount, now);
    const Duration prefill = fromSeconds(static_cast<double>(message.amount.value()) / m_runner.rates().prefill);
    if (memoryWait + prefill > message.timeLeft) {
        answer(Error {ResultCode::DeadlineNotFeasible,
                      "The segment could not be prefilled before the deadline.",
                      memoryWait + prefill - message.timeLeft});
        return;
    }
    Waiting request {frame.sender, message, now, now + std::min(m_context.settings.reservationWait, message.expiresIn)};
    if (m_waiting.empty() && tryReserve(request, now)) {
        answer(std::nullopt);
        return;
    }
    if (memoryWait > m_context.settings.reservationWait) {
        answer(Error {ResultCode::MemoryExhausted, "The KV memory is reserved.", memoryWait});
        return;
    }
    m_waiting.push_back(std::move(request));
    updateSetAside();
}

void GroupReservations::release(const AttemptId &owner, const InstanceId &sender, TimePoint now, AgentActions &out)
{
    if (const Attempt *live = m_runner.attempts().find(owner)) {
        if (live->owner == sender) {
            m_runner.cancel(owner, now, out);
        }
        return;
    }
    if (const auto held = m_held.find(owner); held != m_held.end() && held->second == sender) {
        end(owner);
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        return waiting.message.owner == owner && waiting.entry == sender;
    });
    updateSetAside();
}

bool GroupReservations::take(const AttemptId &owner, Tokens needed)
{
    if (!m_held.contains(owner) || m_runner.memory().reservedFor(owner) < needed) {
        return false;
    }
    m_held.erase(owner);
    return true;
}

void GroupReservations::supersede(const AttemptId &id)
{
    std::vector<AttemptId> older;
    for (const auto &entry : m_held) {
        if (entry.first.request == id.request && entry.first.number < id.number) {
            older.push_back(entry.first);
        }
    }
    for (const AttemptId &owner : older) {
        end(owner);
    }
}

void GroupReservations::releaseOwnedBy(const InstanceId &owner)
{
    std::vector<AttemptId> owned;
    for (const auto &[id, entry] : m_held) {
        if (entry == owner) {
            owned.push_back(id);
        }
    }
    for (const AttemptId &id : owned) {
        m_context.log("orphan_reservation_released", {{"attempt", toString(id)}, {"entry", owner.value()}});
        end(id);
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        return waiting.entry == owner;
    });
    updateSetAside();
}

void GroupReservations::refuseWaiting(const Error &error, AgentActions &out)
{
    for (const Waiting &waiting : m_waiting) {
        sendTo(waiting.entry, ReserveResult {waiting.message.owner, error}, out);
    }
    m_waiting.clear();
    updateSetAside();
}

void GroupReservations::engineLost(AgentActions &out)
{
    refuseWaiting(Error {ResultCode::NoUpstream, "The engine is unreachable.", std::nullopt}, out);
    while (!m_held.empty()) {
        end(AttemptId(m_held.begin()->first));
    }
}

void GroupReservations::tick(TimePoint now, AgentActions &out)
{
    for (const AttemptId &owner : m_runner.memory().expired(now)) {
        if (m_held.contains(owner)) {
            m_context.log("reservation_expired", {{"attempt", toString(owner)}});
            end(owner);
        }
    }
    while (!m_waiting.empty() && tryReserve(m_waiting.front(), now)) {
        sendTo(m_waiting.front().entry, ReserveResult {m_waiting.front().message.owner, std::nullopt}, out);
        m_waiting.pop_front();
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        if (waiting.until > now) {
            return false;
        }
        const Error error {ResultCode::MemoryExhausted,
                           "The KV memory did not become free in time.",
                           m_runner.memoryWait(PriorityClass::Huge, waiting.message.amount, now)};
        sendTo(waiting.entry, ReserveResult {waiting.message.owner, error}, out);
        return true;
    });
    updateSetAside();
}

std::size_t GroupReservations::size() const
{
    return m_held.size() + m_waiting.size();
}

bool GroupReservations::tryReserve(const Waiting &request, TimePoint now)
{
    MemoryAccount &memory = m_runner.memory();
    const Tokens keptForShort = memory.capacity() - m_runner.schedule().largestAttempt(PriorityClass::Huge);
    if (request.message.amount + keptForShort > memory.free()
        || !memory.reserve(request.message.owner, request.message.amount, now + request.message.expiresIn)) {
        return false;
    }
    m_held.emplace(request.message.owner, request.entry);
    return true;
}

void GroupReservations::updateSetAside()
{
    m_runner.schedule().setSetAside(m_waiting.empty() ? Tokens() : m_waiting.front().message.amount);
}

void GroupReservations::end(const AttemptId &owner)
{
    m_held.erase(owner);
    m_runner.memory().release(owner);
}

} // namespace ibismast
