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
        return RetryCause::Moved;
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
    if (cause == RetryCause::Moved) {
        return Duration::zero();
    }
    Duration pause = m_settings.firstPause;
    for (std::uint32_t attempt = 1; attempt < attempts && pause < m_settings.longestPause; ++attempt) {
        pause *= 2;
    }
    // Jitter keeps the retries of requests that failed together from arriving together.
    pause = fromSeconds(toSeconds(std::min(pause, m_settings.longestPause)) * (0.5 + 0.5 * random.uniform()));
    if (pause >= timeLeft) {
        return std::nullopt;
    }
    return pause;
}

bool RetryPolicy::needsBudget(RetryCause cause)
{
    // An upstream leaves once per incarnation, so these retries cannot multiply.
    return cause != RetryCause::Moved;
}

} // namespace ibismast
