#pragma once

#include "ibismast/core/result.h"
#include "ibismast/core/seededrandom.h"

namespace ibismast
{

/// Settings of a `RetryPolicy`.
struct RetryPolicySettings
{
    /// Largest number of attempts of one request.
    std::uint32_t maxAttempts = 5;
    /// Longest delay before the second attempt; doubles with each further attempt, up to `longestPause`. The actual
    /// delay is random, between half of this value and all of it.
    Duration firstPause = std::chrono::milliseconds(20);
    Duration longestPause = std::chrono::seconds(2);
};

/// Why a request needs another attempt.
enum class RetryCause : std::uint8_t {
    /// The upstream refused the attempt for lack of capacity, or for any reason that does not count as `Unavailable`.
    Overload,
    /// The upstream cannot take the work whatever its load: it is leaving, is not ready, was restarted, or does not
    /// serve the model or service.
    Unavailable,
    /// The attempt failed or its upstream was lost.
    Failure,
};

/// Returns the retry cause for a refusal with @p code.
[[nodiscard]] RetryCause causeOfRefusal(ResultCode code);

/// Decides whether and when a request is retried, with exponential backoff and jitter. The caller must also take the
/// retry from its `RetryBudget` if `needsBudget` is true.
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetryPolicySettings &settings);

    /// Returns the delay before the next attempt, zero if the upstream was unavailable. Returns nothing if there must
    /// be no further attempt, because @p attempts, the number of attempts made so far, has reached the limit or the
    /// delay would not end within @p timeLeft.
    [[nodiscard]] std::optional<Duration>
    backoffDelay(RetryCause cause, std::uint32_t attempts, Duration timeLeft, SeededRandom &random) const;
    /// True if the retry counts against the budget.
    [[nodiscard]] static bool needsBudget(RetryCause cause);

private:
    RetryPolicySettings m_settings;
};

} // namespace ibismast
