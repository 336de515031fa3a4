#include "ibismast/retry/retrybudget.h"

namespace ibismast
{

namespace
{

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &settings) : m_settings(settings) { }

void RetryBudget::noteRequest(TimePoint now)
{
    ++slotAt(now).requests;
}

bool RetryBudget::take(TimePoint now)
{
    const std::int64_t oldest = secondOf(now) - static_cast<std::int64_t>(SlotCount) + 1;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const Slot &slot : m_slots) {
        if (slot.second >= oldest) {
            requests += slot.requests;
            retries += slot.retries;
        }
    }
    const double allowed = m_settings.minimum + m_settings.ratio * static_cast<double>(requests);
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++slotAt(now).retries;
    return true;
}

RetryBudget::Slot &RetryBudget::slotAt(TimePoint now)
{
    const std::int64_t second = secondOf(now);
    Slot &slot = m_slots[static_cast<std::size_t>(second) % SlotCount];
    if (slot.second != second) {
        slot = Slot {second, 0, 0};
    }
    return slot;
}

} // namespace ibismast
