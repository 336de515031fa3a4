#include "ibismast/entry/entrycontext.h"

#include <algorithm>

namespace ibismast
{

EntryContext::EntryContext(const EntryCoreSettings &settingsValue,
                           PeerSummary selfValue,
                           std::uint64_t seed,
                           EventListener *listenerValue)
    : settings(settingsValue)
    , self(std::move(selfValue))
    , random(seed)
    , listener(listenerValue)
    , upstreams(settings.upstreams, self.instance)
    , router(settings.router)
    , prefixes(settings.prefixes)
    , refusals(settings.refusalHold)
    , capacity(settings.capacity)
    , health(settings.breaker, settings.jointFailures)
    , retryBudget(settings.retryBudget)
    , retryPolicy(settings.retryPolicy)
{
}

RequestId EntryContext::nextRequest()
{
    return RequestId {self.incarnation, ++lastSequence};
}

std::optional<Duration>
EntryContext::planRetry(RetryCause cause, std::uint32_t attempts, Duration timeLeft, TimePoint now)
{
    const auto pause = retryPolicy.backoffDelay(cause, attempts, timeLeft, random);
    if (pause && RetryPolicy::needsBudget(cause) && !retryBudget.take(now)) {
        return std::nullopt;
    }
    return pause;
}

TimePoint EntryContext::watchdogTime(TimePoint admitted, TimePoint deadline) const
{
    return deadline - std::min(settings.watchdogLead, (deadline - admitted) / 10);
}

TimePoint EntryContext::tombstoneTime(TimePoint admitted, TimePoint deadline) const
{
    return deadline - std::min(settings.tombstoneLead, (deadline - admitted) / 5);
}

Tokens EntryContext::usableMemory(const Upstream &upstream, PriorityClass priorityClass) const
{
    const double share = priorityClass >= PriorityClass::Long ? settings.longPromptMemoryShare : 1.0;
    return Tokens(static_cast<std::int64_t>(static_cast<double>(upstream.load.memoryCapacity.value()) * share));
}

void EntryContext::report(std::string_view name, const std::vector<LogField> &fields) const
{
    if (listener != nullptr) {
        listener->onEvent(name, fields);
    }
}

} // namespace ibismast
