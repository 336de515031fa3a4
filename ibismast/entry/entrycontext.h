#pragma once

#include "ibismast/core/eventlistener.h"
#include "ibismast/core/seededrandom.h"
#include "ibismast/entry/entryactions.h"
#include "ibismast/entry/entrycoresettings.h"
#include "ibismast/entry/refusalcache.h"
#include "ibismast/entry/upstreamhealth.h"

namespace ibismast
{

/// State shared by the components of one `EntryCore`.
struct EntryContext
{
    EntryContext(const EntryCoreSettings &settings, PeerSummary self, std::uint64_t seed, EventListener *listener);

    /// Returns a unique id for a new request.
    [[nodiscard]] RequestId nextRequest();
    /// Reports an event to the listener, if there is one.
    void report(std::string_view name, const std::vector<LogField> &fields) const;

    /// Decides whether a request is retried after @p attempts attempts. If so, takes the retry from the retry budget
    /// where @p cause requires it, and returns the delay before the next attempt.
    [[nodiscard]] std::optional<Duration>
    planRetry(RetryCause cause, std::uint32_t attempts, Duration timeLeft, TimePoint now);

    /// Returns the time at which the watchdog ends a request that is still open.
    [[nodiscard]] TimePoint watchdogTime(TimePoint admitted, TimePoint deadline) const;
    /// Returns the time at which a request without output is cancelled. It is early enough for an agent to confirm,
    /// before the watchdog fires, that a tombstone keeps the request from starting.
    [[nodiscard]] TimePoint tombstoneTime(TimePoint admitted, TimePoint deadline) const;

    /// Returns how much KV memory of @p upstream, in tokens, one request of a class may use.
    [[nodiscard]] Tokens usableMemory(const Upstream &upstream, PriorityClass priorityClass) const;

    EntryCoreSettings settings;
    PeerSummary self;
    SeededRandom random;
    EventListener *listener;
    UpstreamView upstreams;
    Router router;
    PrefixIndex prefixes;
    RefusalCache refusals;
    CapacityGate capacity;
    UpstreamHealth health;
    RetryBudget retryBudget;
    RetryPolicy retryPolicy;
    std::uint64_t lastSequence = 0;
    bool shuttingDown = false;
};

} // namespace ibismast
