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
    /// Pause before the second attempt; doubles with each further one.
    Duration firstPause = std::chrono::milliseconds(20);
    Duration longestPause = std::chrono::seconds(2);
};

/// Why a request needs another attempt.
enum class RetryCause : std::uint8_t {
    /// The upstream refused for lack of capacity.
    Overload,
    /// The upstream takes no work for a reason of its own: it is leaving or was restarted.
    Moved,
    /// The attempt failed or its upstream was lost.
    Failure,
};

/// Returns the cause that a refusal with @p code stands for.
[[nodiscard]] RetryCause causeOfRefusal(ResultCode code);

/// Decides whether and when a request is tried again; the caller takes the retry from its `RetryBudget`.
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetryPolicySettings &settings);

    /// Returns the pause before the next attempt, or nothing if there must not be one. @p attempts counts those made.
    [[nodiscard]] std::optional<Duration>
    backoffDelay(RetryCause cause, std::uint32_t attempts, Duration timeLeft, SeededRandom &random) const;
    /// True if the retry counts against the budget.
    [[nodiscard]] static bool needsBudget(RetryCause cause);

private:
    RetryPolicySettings m_settings;
};

} // namespace ibismast
