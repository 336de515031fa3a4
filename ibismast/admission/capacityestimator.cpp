#include "ibismast/admission/capacityestimator.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

// Weight of the initial prefill rate relative to measurements, in seconds of busy time.
constexpr double InitialWeight = 2.0;
// Weight of one interval between tokens in the exponential moving average.
constexpr double IntervalWeight = 0.02;

} // namespace

Result<Success> CapacityEstimatorSettings::validate() const
{
    const auto invalid = [](std::string message) {
        return Error {ResultCode::SettingsInvalid, std::move(message), std::nullopt};
    };
    if (!(prefillRate > 0.0)) {
        return invalid("prefillRate must be positive");
    }
    if (tokenInterval <= Duration::zero()) {
        return invalid("tokenInterval must be positive");
    }
    if (horizon <= Duration::zero()) {
        return invalid("horizon must be positive");
    }
    if (!(lowestPrefillRate > 0.0)) {
        return invalid("lowestPrefillRate must be positive");
    }
    return Success();
}

CapacityEstimator::CapacityEstimator(const CapacityEstimatorSettings &settings)
    : m_settings(settings)
    , m_busySeconds(InitialWeight)
    , m_tokens(InitialWeight * settings.prefillRate)
    , m_tokenInterval(toSeconds(settings.tokenInterval))
{
}

void CapacityEstimator::noteReportedRates(double prefillRate, double decodeRate)
{
    if (prefillRate > 0.0 && !m_prefillMeasured) {
        m_busySeconds = InitialWeight;
        m_tokens = InitialWeight * prefillRate;
    }
    if (decodeRate > 0.0 && !m_intervalMeasured) {
        m_tokenInterval = 1.0 / decodeRate;
    }
}

void CapacityEstimator::advance(TimePoint now, bool busy)
{
    const double elapsed = std::max(0.0, toSeconds(now - m_lastAdvance));
    m_lastAdvance = std::max(m_lastAdvance, now);
    if (!busy || elapsed == 0.0) {
        return;
    }
    const double decay = std::exp(-elapsed / toSeconds(m_settings.horizon));
    m_busySeconds = m_busySeconds * decay + elapsed;
    m_tokens *= decay;
}

void CapacityEstimator::notePrefilled(double tokens)
{
    m_prefillMeasured = m_prefillMeasured || tokens > 0.0;
    m_tokens += tokens;
}

void CapacityEstimator::noteTokenInterval(Duration interval)
{
    m_intervalMeasured = true;
    m_tokenInterval += IntervalWeight * (toSeconds(interval) - m_tokenInterval);
}

EngineRates CapacityEstimator::rates() const
{
    return EngineRates {std::max(m_tokens / m_busySeconds, m_settings.lowestPrefillRate), fromSeconds(m_tokenInterval)};
}

} // namespace ibismast
