#include "ibismast/membership/accrualdetector.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace ibismast
{

namespace
{

// Upper bound of the suspicion level. Reached before the probability is too small for a double.
constexpr double MaxSuspicion = 300.0;

// Returns -log10 of the probability that a normally distributed variable exceeds its mean by more than @p deviations
// standard deviations, at most `MaxSuspicion`.
double suspicionLevel(double deviations)
{
    const double probability = 0.5 * std::erfc(deviations / std::numbers::sqrt2);
    return probability > 0.0 ? std::min(-std::log10(probability), MaxSuspicion) : MaxSuspicion;
}

} // namespace

Result<Success> AccrualDetectorSettings::validate() const
{
    const auto invalid = [](const std::string &field) {
        return Error {ResultCode::SettingsInvalid, "AccrualDetectorSettings::" + field, std::nullopt};
    };
    if (threshold <= 0.0 || threshold >= MaxSuspicion) {
        return invalid("threshold must be above 0 and below 300");
    }
    if (windowSize < 2) {
        return invalid("windowSize must be at least 2");
    }
    if (expectedInterval <= Duration::zero()) {
        return invalid("expectedInterval must be positive");
    }
    if (minDeviation <= Duration::zero()) {
        return invalid("minDeviation must be positive");
    }
    if (toleratedPause < Duration::zero()) {
        return invalid("toleratedPause must not be negative");
    }
    return Success();
}

AccrualDetector::AccrualDetector(const AccrualDetectorSettings &settings) : m_settings(settings) { }

void AccrualDetector::heartbeatArrived(const InstanceId &instance, TimePoint now)
{
    const auto [entry, added] = m_histories.try_emplace(instance);
    History &history = entry->second;
    if (!added) {
        const double interval = toSeconds(now - history.lastHeard);
        history.intervals.push_back(interval);
        history.sum += interval;
        history.sumOfSquares += interval * interval;
        if (history.intervals.size() > m_settings.windowSize) {
            const double oldest = history.intervals.front();
            history.intervals.pop_front();
            history.sum -= oldest;
            history.sumOfSquares -= oldest * oldest;
        }
    }
    history.lastHeard = now;
}

double AccrualDetector::suspicion(const InstanceId &instance, TimePoint now) const
{
    const auto entry = m_histories.find(instance);
    if (entry == m_histories.end()) {
        return 0.0;
    }
    const History &history = entry->second;
    double mean = toSeconds(m_settings.expectedInterval);
    // Standard deviation assumed until two intervals have been measured.
    double deviation = mean / 4.0;
    if (history.intervals.size() > 1) {
        const auto count = static_cast<double>(history.intervals.size());
        mean = history.sum / count;
        deviation = std::sqrt(std::max(0.0, history.sumOfSquares / count - mean * mean));
    }
    deviation = std::max(deviation, toSeconds(m_settings.minDeviation));
    const double silence = toSeconds(now - history.lastHeard - m_settings.toleratedPause);
    return suspicionLevel((silence - mean) / deviation);
}

bool AccrualDetector::suspects(const InstanceId &instance, TimePoint now) const
{
    return suspicion(instance, now) >= m_settings.threshold;
}

void AccrualDetector::forget(const InstanceId &instance)
{
    m_histories.erase(instance);
}

} // namespace ibismast
