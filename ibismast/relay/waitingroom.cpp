#include "ibismast/relay/waitingroom.h"

namespace ibismast
{

Result<Success> WaitingRoomSettings::validate() const
{
    const auto invalid = [](const std::string &message) {
        return Error {ResultCode::ConfigInvalid, message, std::nullopt};
    };
    const auto isShare = [](double value) {
        return value >= 0.0 && value <= 1.0;
    };
    if (maxCalls == 0 || maxBytes <= 0) {
        return invalid("maxCalls and maxBytes must be positive");
    }
    if (minWait < Duration::zero() || minRetryAfter < Duration::zero() || maxRetryAfter < minRetryAfter) {
        return invalid("minWait and minRetryAfter must not be negative, and maxRetryAfter not below minRetryAfter");
    }
    if (!isShare(returningWaitShare) || !isShare(returningPredictionShare) || !isShare(overtakenShare)
        || !isShare(smallCallShare)) {
        return invalid(
            "returningWaitShare, returningPredictionShare, overtakenShare and smallCallShare must be from 0 to 1");
    }
    return Success {};
}

WaitingRoom::WaitingRoom(const WaitingRoomSettings &settings) : m_settings(settings) { }

std::optional<std::vector<CallNumber>> WaitingRoom::displacedBy(const WaitingCall &call) const
{
    std::vector<CallNumber> displaced;
    if (m_calls.contains(call.number)) {
        return displaced;
    }
    std::size_t calls = m_calls.size();
    std::int64_t bytes = m_bytes + call.bytes;
    for (auto last = m_order.rbegin(); calls >= m_settings.maxCalls || bytes > m_settings.maxBytes; ++last) {
        if (last == m_order.rend() || *last < Position {call.due, call.number}) {
            return std::nullopt;
        }
        --calls;
        bytes -= m_calls.at(last->second).bytes;
        displaced.push_back(last->second);
    }
    return displaced;
}

void WaitingRoom::enter(WaitingCall call, TimePoint now)
{
    call.entered = enteredAt(call.number).value_or(now);
    leave(call.number);
    m_order.emplace(call.due, call.number);
    m_bytes += call.bytes;
    const CallNumber number = call.number;
    m_calls.emplace(number, std::move(call));
}

void WaitingRoom::leave(const CallNumber &number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    m_order.erase({found->second.due, number});
    m_bytes -= found->second.bytes;
    m_calls.erase(found);
}

bool WaitingRoom::mayStart(const WaitingCall &call, TimePoint now) const
{
    for (const auto &[due, number] : m_order) {
        if (Position {due, number} >= Position {call.due, call.number}) {
            break;
        }
        const WaitingCall &other = m_calls.at(number);
        if (other.service != call.service || number == call.number) {
            continue;
        }
        // Engines would idle if a prompt that needs much room kept all smaller ones behind it from the start.
        const bool small = static_cast<double>(call.memory.value())
            <= static_cast<double>(other.memory.value()) * m_settings.smallCallShare;
        const double waited = toSeconds(now - other.entered);
        if (!small || waited >= toSeconds(other.latestStart - other.entered) * m_settings.overtakenShare) {
            return false;
        }
    }
    return true;
}

std::size_t WaitingRoom::callsBefore(const WaitingCall &call) const
{
    const Position position {call.due, call.number};
    std::size_t count = 0;
    for (auto other = m_order.begin(); other != m_order.end() && *other < position; ++other) {
        count += m_calls.at(other->second).service == call.service ? 1 : 0;
    }
    return count;
}

std::vector<CallNumber> WaitingRoom::first(std::size_t count) const
{
    std::vector<CallNumber> result;
    for (auto position = m_order.begin(); position != m_order.end() && result.size() < count; ++position) {
        result.push_back(position->second);
    }
    return result;
}

std::vector<CustomerWork> WaitingRoom::waitingWork() const
{
    std::vector<CustomerWork> result;
    for (const auto &[number, call] : m_calls) {
        result.push_back({call.service, call.customer, Duration::zero(), call.work});
    }
    return result;
}

std::optional<TimePoint> WaitingRoom::enteredAt(const CallNumber &number) const
{
    const auto found = m_calls.find(number);
    return found == m_calls.end() ? std::nullopt : std::optional(found->second.entered);
}

} // namespace ibismast
