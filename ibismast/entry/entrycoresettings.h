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
    /// Time between heartbeats to an agent of the subset, with a jitter of up to 10% in both directions.
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// The watchdog ends a request this long before its deadline, but not before 9/10 of the request's time have
    /// passed.
    Duration watchdogLead = std::chrono::milliseconds(20);
    /// A request without output is cancelled this long before its deadline, but not before 4/5 of its time have passed.
    /// The agent can then confirm by a tombstone that the request was not run, and the caller is told so in time.
    Duration tombstoneLead = std::chrono::milliseconds(150);
    /// Time after which an unanswered dispatch is cancelled, an attempt whose cancellation is unanswered is treated as
    /// lost, and an unanswered request for operation ids is repeated.
    Duration answerTimeout = std::chrono::seconds(1);
    /// Longest time for which a refusal by an agent is cached to refuse similar requests without sending them. A
    /// shorter retry-after of the agent takes precedence.
    Duration refusalHold = std::chrono::milliseconds(200);
    /// Largest number of upstreams in a group.
    std::size_t maxGroupMembers = 16;
    /// Fraction of an upstream's KV memory that one long prompt may use; agents keep the rest free for short prompts.
    double longPromptMemoryShare = 0.85;
    /// Timeout for a group member's answer to a reservation. Longer than agents queue a reservation (2 s by default).
    Duration reserveTimeout = std::chrono::seconds(3);
    /// Delay before the reservation of a group is tried again. Doubles with each failure up to ten times this value;
    /// the actual delay is drawn uniformly between half of it and all of it.
    Duration groupPause = std::chrono::milliseconds(500);
    /// Fraction of a request's time after which no further group is tried.
    double groupTimeShare = 0.5;
    /// Delay before a failed request asks the exhausted retry budget again. The actual delay is drawn uniformly between
    /// half of this value and all of it.
    Duration budgetPause = std::chrono::milliseconds(200);
    /// Time for which a failed request waits for a usable upstream.
    Duration noUpstreamTimeout = std::chrono::seconds(5);
    /// Number of operation ids requested at once from an agent of a plain service.
    std::uint32_t operationBlock = 256;
    /// Delay before an operation in progress is polled again; doubles with each poll up to ten times this value.
    Duration progressPause = std::chrono::milliseconds(50);
    /// Longest accepted value of the `Idempotency-Key` header in bytes.
    std::size_t longestIdempotencyKey = 256;
};

/// Checks @p settings. The error is `SettingsInvalid`, and its message starts with the name of the first invalid field.
[[nodiscard]] Result<Success> validate(const EntryCoreSettings &settings);

} // namespace ibismast
