#pragma once

#include "ibismast/core/eventlistener.h"
#include "ibismast/core/seededrandom.h"
#include "ibismast/entry/entryactions.h"
#include "ibismast/entry/entrycoresettings.h"
#include "ibismast/entry/refusalmemory.h"
#include "ibismast/entry/upstreamhealth.h"

namespace ibismast
{

/// What the parts of one `EntryCore` share.
struct EntryContext
{
    EntryContext(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener);

    /// Returns an id for a new request.
    [[nodiscard]] RequestId nextRequest();
    /// Reports an event if there is a listener.
    void report(std::string_view name, const std::vector<LogField> &fields) const;

    /// Decides on another attempt of a request after @p attempts attempts and takes it from the retry budget. Returns
    /// the pause before it, or nothing if there must not be one.
    [[nodiscard]] std::optional<Duration>
    planRetry(RetryCause cause, std::uint32_t attempts, Duration timeLeft, TimePoint now);

    /// When the watchdog ends a request.
    [[nodiscard]] TimePoint watchdogTime(TimePoint admitted, TimePoint deadline) const;
    /// When a request that has not started is cancelled, so that a tombstone can be confirmed before the watchdog.
    [[nodiscard]] TimePoint tombstoneTime(TimePoint admitted, TimePoint deadline) const;

    /// KV memory of @p upstream that one attempt of a class may use.
    [[nodiscard]] Tokens usableMemory(const Upstream &upstream, PriorityClass priorityClass) const;

    EntryCoreSettings settings;
    PeerSummary self;
    SeededRandom random;
    EventListener *listener;
    UpstreamView upstreams;
    Router router;
    PrefixIndex prefixes;
    RefusalMemory refusals;
    CapacityGate capacity;
    UpstreamHealth health;
    RetryBudget retryBudget;
    RetryPolicy retryPolicy;
    std::uint64_t lastSequence = 0;
    bool shuttingDown = false;
};

} // namespace ibismast
