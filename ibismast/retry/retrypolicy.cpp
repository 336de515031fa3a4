#include "ibismast/retry/retrypolicy.h"

#include <algorithm>

namespace ibismast
{

RetryCause causeOfRefusal(ResultCode code)
{
    switch (code) {
    case ResultCode::UpstreamLeaving:
    case ResultCode::ShuttingDown:
    case ResultCode::WrongIncarnation:
    case ResultCode::NotReady:
    case ResultCode::UnknownModel:
    case ResultCode::UnknownService:
        return RetryCause::Unavailable;
    default:
        return RetryCause::Overload;
    }
}

RetryPolicy::RetryPolicy(const RetryPolicySettings &settings) : m_settings(settings) { }

std::optional<Duration>
RetryPolicy::backoffDelay(RetryCause cause, std::uint32_t attempts, Duration timeLeft, SeededRandom &random) const
{
    if (attempts >= m_settings.maxAttempts) {
        return std::nullopt;
    }
    if (cause == RetryCause::Unavailable) {
        return Duration::zero();
    }
    Duration pause = m_settings.firstPause;
    for (std::uint32_t attempt = 1; attempt < attempts && pause < m_settings.longestPause; ++attempt) {
        pause *= 2;
    }
    // Jitter between half and the full delay spreads the retries of requests that failed at the same time.
    pause = fromSeconds(toSeconds(std::min(pause, m_settings.longestPause)) * (0.5 + 0.5 * random.uniform()));
    if (pause >= timeLeft) {
        return std::nullopt;
    }
    return pause;
}

bool RetryPolicy::needsBudget(RetryCause cause)
{
    // These refusals do not depend on load, and an upstream starts leaving only once per incarnation. Their retries
    // therefore cannot amplify an overload.
    return cause != RetryCause::Unavailable;
}

} // namespace ibismast
