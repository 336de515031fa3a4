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
                                const std::optional<Error> &rejectionReason,
                                TimePoint now,
                                AgentActions &out)
{
    const auto answer = [&](std::optional<Error> error) {
        sendTo(frame.sender, ReserveResult {message.owner, std::move(error)}, out);
    };
    if (const auto granted = m_granted.find(message.owner);
        granted != m_granted.end() && granted->second == frame.sender) {
        m_runner.memory().extend(message.owner, now + message.expiresIn);
        answer(std::nullopt);
        return;
    }
    const bool alreadyWaiting = std::ranges::any_of(m_waiting, [&](const WaitingReservation &waiting) {
        return waiting.message.owner == message.owner;
    });
    if (alreadyWaiting) {
        return;
    }
    if (rejectionReason) {
        answer(rejectionReason);
        return;
    }
    if (message.amount <= Tokens(0) || message.expiresIn <= Duration::zero()) {
        answer(Error {ResultCode::InvalidArgument,
                      "The amount and the lifetime of the reservation must be positive.",
                      std::nullopt});
        return;
    }
    if (message.amount > m_runner.schedule().maxAttemptMemory(PriorityClass::Huge)) {
        answer(Error {ResultCode::MemoryExhausted,
                      "The segment needs more KV memory than one attempt can reserve.",
                      std::nullopt});
        return;
    }
    supersede(message.owner);
    const Duration memoryWait = m_runner.memoryWait(PriorityClass::Huge, message.amount, now);
    const Duration prefill = fromSeconds(static_cast<double>(message.amount.value()) / m_runner.rates().prefill);
    if (memoryWait + prefill > message.timeLeft) {
        answer(Error {ResultCode::DeadlineNotFeasible,
                      "The segment cannot be prefilled before the deadline.",
                      memoryWait + prefill - message.timeLeft});
        return;
    }
    WaitingReservation request {
        frame.sender, message, now, now + std::min(m_context.settings.reservationWait, message.expiresIn)};
    if (m_waiting.empty() && tryReserve(request, now)) {
        answer(std::nullopt);
        return;
    }
    if (memoryWait > m_context.settings.reservationWait) {
        answer(Error {ResultCode::MemoryExhausted,
                      "The KV memory is in use and not expected to become free in time.",
                      memoryWait});
        return;
    }
    m_waiting.push_back(std::move(request));
    updateGroupReserve();
}

void GroupReservations::release(const AttemptId &owner, const InstanceId &sender, TimePoint now, AgentActions &out)
{
    if (const Attempt *live = m_runner.attempts().find(owner)) {
        if (live->owner == sender) {
            m_runner.cancel(owner, now, out);
        }
        return;
    }
    if (const auto granted = m_granted.find(owner); granted != m_granted.end() && granted->second == sender) {
        end(owner);
    }
    std::erase_if(m_waiting, [&](const WaitingReservation &waiting) {
        return waiting.message.owner == owner && waiting.entry == sender;
    });
    updateGroupReserve();
}

bool GroupReservations::transferToAttempt(const AttemptId &owner, Tokens needed)
{
    if (!m_granted.contains(owner) || m_runner.memory().reservedFor(owner) < needed) {
        return false;
    }
    m_granted.erase(owner);
    return true;
}

void GroupReservations::supersede(const AttemptId &id)
{
    std::vector<AttemptId> older;
    for (const auto &entry : m_granted) {
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
    for (const auto &[id, entry] : m_granted) {
        if (entry == owner) {
            owned.push_back(id);
        }
    }
    for (const AttemptId &id : owned) {
        m_context.log("orphan_reservation_released", {{"attempt", toString(id)}, {"entry", owner.value()}});
        end(id);
    }
    std::erase_if(m_waiting, [&](const WaitingReservation &waiting) {
        return waiting.entry == owner;
    });
    updateGroupReserve();
}

void GroupReservations::refuseWaiting(const Error &error, AgentActions &out)
{
    for (const WaitingReservation &waiting : m_waiting) {
        sendTo(waiting.entry, ReserveResult {waiting.message.owner, error}, out);
    }
    m_waiting.clear();
    updateGroupReserve();
}

void GroupReservations::handleEngineDown(AgentActions &out)
{
    refuseWaiting(Error {ResultCode::NoUpstream, "The engine is unreachable.", std::nullopt}, out);
    while (!m_granted.empty()) {
        end(AttemptId(m_granted.begin()->first));
    }
}

void GroupReservations::tick(TimePoint now, AgentActions &out)
{
    for (const AttemptId &owner : m_runner.memory().expired(now)) {
        if (m_granted.contains(owner)) {
            m_context.log("reservation_expired", {{"attempt", toString(owner)}});
            end(owner);
        }
    }
    while (!m_waiting.empty() && tryReserve(m_waiting.front(), now)) {
        sendTo(m_waiting.front().entry, ReserveResult {m_waiting.front().message.owner, std::nullopt}, out);
        m_waiting.pop_front();
    }
    std::erase_if(m_waiting, [&](const WaitingReservation &waiting) {
        if (waiting.waitDeadline > now) {
            return false;
        }
        const Error error {ResultCode::MemoryExhausted,
                           "The KV memory did not become free in time.",
                           m_runner.memoryWait(PriorityClass::Huge, waiting.message.amount, now)};
        sendTo(waiting.entry, ReserveResult {waiting.message.owner, error}, out);
        return true;
    });
    updateGroupReserve();
}

std::size_t GroupReservations::size() const
{
    return m_granted.size() + m_waiting.size();
}

bool GroupReservations::tryReserve(const WaitingReservation &request, TimePoint now)
{
    MemoryAccount &memory = m_runner.memory();
    const Tokens shortReserve = memory.capacity() - m_runner.schedule().maxAttemptMemory(PriorityClass::Huge);
    if (request.message.amount + shortReserve > memory.free()
        || !memory.reserve(request.message.owner, request.message.amount, now + request.message.expiresIn)) {
        return false;
    }
    m_granted.emplace(request.message.owner, request.entry);
    return true;
}

void GroupReservations::updateGroupReserve()
{
    m_runner.schedule().setGroupReserve(m_waiting.empty() ? Tokens() : m_waiting.front().message.amount);
}

void GroupReservations::end(const AttemptId &owner)
{
    m_granted.erase(owner);
    m_runner.memory().release(owner);
}

} // namespace ibismast
