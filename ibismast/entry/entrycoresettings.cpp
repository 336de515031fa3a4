#include "ibismast/entry/entrycoresettings.h"

namespace ibismast
{

namespace
{

// Largest value that the key-value service accepts, in bytes.
constexpr std::size_t MaxStoreValueBytes = 1'000'000;

/// Evaluates conditions and keeps the error of the first one that is violated.
class Checker
{
public:
    void require(bool condition, std::string_view field, std::string_view rule)
    {
        if (!condition && !m_error) {
            m_error = Error {ResultCode::SettingsInvalid, std::string(field) + " " + std::string(rule), std::nullopt};
        }
    }

    void requirePositive(Duration value, std::string_view field)
    {
        require(value > Duration::zero(), field, "must be positive");
    }

    [[nodiscard]] Result<Success> result() const
    {
        return m_error ? Result<Success>(*m_error) : Result<Success>(Success());
    }

private:
    std::optional<Error> m_error;
};

} // namespace

Result<Success> validate(const EntryCoreSettings &settings)
{
    Checker check;
    check.require(settings.upstreams.subsetSize > 0, "upstreams.subsetSize", "must be positive");
    check.requirePositive(settings.upstreams.suspectAfter, "upstreams.suspectAfter");
    check.require(settings.upstreams.lostAfter >= settings.upstreams.suspectAfter,
                  "upstreams.lostAfter",
                  "must not be shorter than upstreams.suspectAfter");
    check.require(settings.router.longerClassWeight >= 0.0 && settings.router.longerClassWeight <= 1.0,
                  "router.longerClassWeight",
                  "must lie between 0 and 1");
    check.require(settings.router.defaultRate > 0.0, "router.defaultRate", "must be positive");
    check.requirePositive(settings.heartbeatInterval, "heartbeatInterval");
    check.require(settings.heartbeatInterval < settings.upstreams.suspectAfter,
                  "heartbeatInterval",
                  "must be shorter than upstreams.suspectAfter");
    check.requirePositive(settings.watchdogLead, "watchdogLead");
    check.require(
        settings.tombstoneLead >= settings.watchdogLead, "tombstoneLead", "must not be shorter than watchdogLead");
    check.requirePositive(settings.answerTimeout, "answerTimeout");
    check.requirePositive(settings.prefixes.halfLife, "prefixes.halfLife");
    check.requirePositive(settings.prefixes.longestAge, "prefixes.longestAge");
    check.require(settings.prefixes.maxPrefixes > 0, "prefixes.maxPrefixes", "must be positive");
    check.require(settings.capacity.jointLossShare > 0.0 && settings.capacity.jointLossShare <= 1.0,
                  "capacity.jointLossShare",
                  "must be greater than 0 and at most 1");
    check.requirePositive(settings.capacity.reductionTime, "capacity.reductionTime");
    check.require(settings.capacity.workPerUpstream >= Tokens(), "capacity.workPerUpstream", "must not be negative");
    check.requirePositive(settings.refusalHold, "refusalHold");
    check.require(settings.maxGroupMembers >= 2, "maxGroupMembers", "must be at least 2");
    check.require(settings.longPromptMemoryShare > 0.0 && settings.longPromptMemoryShare <= 1.0,
                  "longPromptMemoryShare",
                  "must be greater than 0 and at most 1");
    check.requirePositive(settings.reserveTimeout, "reserveTimeout");
    check.requirePositive(settings.groupPause, "groupPause");
    check.require(settings.groupTimeShare > 0.0 && settings.groupTimeShare <= 1.0,
                  "groupTimeShare",
                  "must be greater than 0 and at most 1");
    check.requirePositive(settings.budgetPause, "budgetPause");
    check.requirePositive(settings.noUpstreamTimeout, "noUpstreamTimeout");
    check.require(settings.breaker.failureThreshold > 0, "breaker.failureThreshold", "must be positive");
    check.requirePositive(settings.breaker.openTime, "breaker.openTime");
    check.require(settings.breaker.longestOpenTime >= settings.breaker.openTime,
                  "breaker.longestOpenTime",
                  "must not be shorter than breaker.openTime");
    check.requirePositive(settings.jointFailures.window, "jointFailures.window");
    check.require(settings.jointFailures.largeEvent >= 2, "jointFailures.largeEvent", "must be at least 2");
    check.require(settings.jointFailures.chanceFactor >= 1.0, "jointFailures.chanceFactor", "must be at least 1");
    check.require(settings.jointFailures.ownFaultShare > 0.0 && settings.jointFailures.ownFaultShare <= 1.0,
                  "jointFailures.ownFaultShare",
                  "must be greater than 0 and at most 1");
    check.require(settings.retryBudget.ratio >= 0.0, "retryBudget.ratio", "must not be negative");
    check.require(settings.retryBudget.minimum >= 0.0, "retryBudget.minimum", "must not be negative");
    check.require(settings.retryPolicy.maxAttempts > 0, "retryPolicy.maxAttempts", "must be positive");
    check.requirePositive(settings.retryPolicy.firstPause, "retryPolicy.firstPause");
    check.require(settings.retryPolicy.longestPause >= settings.retryPolicy.firstPause,
                  "retryPolicy.longestPause",
                  "must not be shorter than retryPolicy.firstPause");
    check.requirePositive(settings.claims.batchInterval, "claims.batchInterval");
    check.requirePositive(settings.claims.timeout, "claims.timeout");
    check.requirePositive(settings.claims.readTimeout, "claims.readTimeout");
    check.require(settings.claims.largestValue > 0 && settings.claims.largestValue < MaxStoreValueBytes,
                  "claims.largestValue",
                  "must be positive and below 1 MB");
    check.requirePositive(settings.claims.generationLength, "claims.generationLength");
    check.require(settings.claims.keptGenerations >= 2, "claims.keptGenerations", "must be at least 2");
    check.require(settings.claims.maxWaiting > 0, "claims.maxWaiting", "must be positive");
    check.require(settings.operationBlock > 0, "operationBlock", "must be positive");
    check.requirePositive(settings.progressPause, "progressPause");
    check.require(settings.longestIdempotencyKey > 0, "longestIdempotencyKey", "must be positive");
    return check.result();
}

} // namespace ibismast
