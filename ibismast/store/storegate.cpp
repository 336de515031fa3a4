#include "ibismast/store/storegate.h"

#include <algorithm>

namespace ibismast
{

namespace
{

StoreCallKind kindOf(const StoreCall &call)
{
    return isWrite(call.operation) ? StoreCallKind::Write : StoreCallKind::Read;
}

// Constructs the failure in place, because moving the variant triggers a false -Wmaybe-uninitialized warning in GCC 12.
void appendFailure(StoreAnswers &failures, StoreCallId id, const char *message, bool mayHaveTakenEffect)
{
    StoreAnswer &answer = failures.emplace_back();
    answer.id = id;
    auto &failure = answer.outcome.emplace<StoreFailure>();
    failure.message = message;
    failure.mayHaveTakenEffect = mayHaveTakenEffect;
}

} // namespace

Result<Success> StoreGateSettings::validate() const
{
    if (callTimeout <= Duration::zero()) {
        return Error {ResultCode::SettingsInvalid, "StoreGateSettings::callTimeout must be positive", std::nullopt};
    }
    if (longestQueue == 0) {
        return Error {ResultCode::SettingsInvalid, "StoreGateSettings::longestQueue must be positive", std::nullopt};
    }
    return budget.validate();
}

StoreGate::StoreGate(const StoreGateSettings &settings, std::uint64_t seed)
    : m_settings(settings), m_budget(settings.budget, seed)
{
}

void StoreGate::submit(StoreCall call, TimePoint now)
{
    if (m_waiting.size() >= m_settings.longestQueue) {
        appendFailure(
            m_rejected, call.id, "store call rejected: the queue of this process is full (longestQueue)", false);
        return;
    }
    m_waiting.push_back({std::move(call), now});
}

bool StoreGate::accept(const StoreAnswer &answer, TimePoint now)
{
    const auto *failure = std::get_if<StoreFailure>(&answer.outcome);
    if (const auto watch = m_watches.find(answer.id); watch != m_watches.end()) {
        const auto *events = std::get_if<StoreWatchEvents>(&answer.outcome);
        if (failure || (events && events->ended)) {
            m_watches.erase(watch);
        }
    } else if (m_pending.erase(answer.id) == 0) {
        return false;
    }
    if (failure) {
        m_budget.callFailed(now);
    } else {
        m_budget.callAnswered(now);
    }
    return true;
}

void StoreGate::tick(TimePoint now, StoreCalls &out, StoreAnswers &failures)
{
    std::ranges::move(m_rejected, std::back_inserter(failures));
    m_rejected.clear();
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (now < pending->second) {
            ++pending;
            continue;
        }
        appendFailure(failures, pending->first, "store call timed out: no answer within callTimeout", true);
        m_budget.callFailed(now);
        pending = m_pending.erase(pending);
    }
    while (!m_waiting.empty()) {
        Waiting &first = m_waiting.front();
        if (now - first.queuedAt >= m_settings.callTimeout) {
            // The call was never sent, so the caller does not have to find out whether it took effect.
            appendFailure(failures, first.call.id, "store call not sent: queued for longer than callTimeout", false);
            m_waiting.pop_front();
            continue;
        }
        if (!m_budget.take(kindOf(first.call), now)) {
            return;
        }
        if (const auto *cancel = std::get_if<StoreWatchCancel>(&first.call.operation)) {
            m_watches.erase(cancel->watch);
        } else if (std::holds_alternative<StoreWatch>(first.call.operation)) {
            m_watches.emplace(first.call.id, true);
        } else {
            m_pending.emplace(first.call.id, now + m_settings.callTimeout);
        }
        out.push_back(std::move(first.call));
        m_waiting.pop_front();
    }
}

std::optional<TimePoint> StoreGate::nextTick(TimePoint now)
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) {
        next = next ? std::min(*next, time) : time;
    };
    if (!m_rejected.empty()) {
        consider(now);
    }
    for (const auto &[id, deadline] : m_pending) {
        consider(deadline);
    }
    if (!m_waiting.empty()) {
        consider(std::min(m_budget.readyAt(kindOf(m_waiting.front().call), now),
                          m_waiting.front().queuedAt + m_settings.callTimeout));
    }
    return next;
}

bool StoreGate::suspectsOutage() const
{
    return m_budget.suspectsOutage();
}

} // namespace ibismast
