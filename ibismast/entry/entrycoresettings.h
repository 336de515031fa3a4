#pragma once

#include "ibismast/core/result.h"
#include "ibismast/entry/capacitygate.h"
#include "ibismast/operations/claimbatcher.h"
#include "ibismast/retry/circuitbreaker.h"
#include "ibismast/retry/retrybudget.h"
#include "ibismast/retry/retrypolicy.h"
#include "ibismast/routing/jointfailuretracker.h"
#include "ibismast/routing/router.h"
#include "ibismast/routing/upstreamview.h"

namespace ibismast
{

/// Settings of an `EntryCore`.
struct EntryCoreSettings
{
    UpstreamViewSettings upstreams;
    RouterSettings router;
    PrefixIndexSettings prefixes;
    CapacityGateSettings capacity;
    CircuitBreakerSettings breaker;
    JointFailureTrackerSettings jointFailures;
    RetryBudgetSettings retryBudget;
    RetryPolicySettings retryPolicy;
    ClaimBatcherSettings claims;
    /// Time between heartbeats to an agent of the subset; the tenth part of it is added or taken off at random.
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// Time before its deadline at which the watchdog ends a request; at most a tenth of the request's time.
    Duration watchdogLead = std::chrono::milliseconds(20);
    /// Time before its deadline at which an attempt without tokens is cancelled, so that a confirmed tombstone can
    /// still be reported; at most a fifth of the request's time.
    Duration tombstoneLead = std::chrono::milliseconds(150);
    /// Time after which an unanswered dispatch is cancelled and an unanswered cancellation is given up.
    Duration answerTimeout = std::chrono::seconds(1);
    /// Longest time for which an agent's refusal stands for requests that are not sent; its own retry-after may be
    /// less.
    Duration refusalHold = std::chrono::milliseconds(200);
    /// Largest number of upstreams in a group.
    std::size_t maxGroupMembers = 16;
    /// Part of an upstream's KV memory that one long prompt may use; agents keep the rest free for short ones.
    double longPromptMemoryShare = 0.85;
    /// Time for which a member's answer to a reservation is awaited; agents let a reservation wait for 2 s.
    Duration reserveTimeout = std::chrono::seconds(3);
    /// Pause before a refused group is tried again; doubles up to ten times this value.
    Duration groupPause = std::chrono::milliseconds(500);
    /// Part of a request's time after which no further group is tried.
    double groupTimeShare = 0.5;
    /// Mean pause before a failed request asks the retry budget again.
    Duration budgetPause = std::chrono::milliseconds(200);
    /// Time for which a failed request waits for an upstream that may take it.
    Duration noUpstreamTimeout = std::chrono::seconds(5);
    /// Number of operation ids requested at once from an agent of a plain service.
    std::uint32_t operationBlock = 256;
    /// Pause before an operation that is in progress is asked for again; doubles up to ten times this value.
    Duration progressPause = std::chrono::milliseconds(50);
    /// Longest value of the `Idempotency-Key` header in bytes.
    std::size_t longestIdempotencyKey = 256;
};

/// Returns the error that names the first invalid field of @p settings, or `Success`.
[[nodiscard]] Result<Success> validate(const EntryCoreSettings &settings);

} // namespace ibismast
