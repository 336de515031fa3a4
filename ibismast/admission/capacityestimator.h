#pragma once

#include "ibismast/core/result.h"

namespace ibismast
{

/// Rates of an engine as estimated by its agent.
struct EngineRates
{
    /// Prefill rate over all attempts, in tokens per second.
    double prefill = 0.0;
    /// Inter-token latency: time between two tokens of one attempt.
    Duration tokenInterval {};
};

/// Settings of a `CapacityEstimator`.
struct CapacityEstimatorSettings
{
    /// Prefill rate in tokens per second that is assumed until the engine reports a rate or the agent has measured one.
    double prefillRate = 20'000.0;
    /// Time between two tokens of one attempt, assumed until the engine reports a rate or the agent has measured one.
    Duration tokenInterval {40'000};
    /// Time constant of the decay of prefill measurements, in time with prefill work in the engine: after this time a
    /// measurement has lost about two thirds of its weight.
    Duration horizon {5'000'000};
    /// Lower bound of the estimated prefill rate, in tokens per second. Without it an engine that stalled would get no
    /// work any more, and so no measurement that could raise the estimate again.
    double lowestPrefillRate = 200.0;

    /// Returns an error that names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Estimates the rates of one engine from measurements.
///
/// The prefill rate is measured only over time in which the engine had prompts to prefill, so that idle time does not
/// lower the estimate.
class CapacityEstimator
{
public:
    explicit CapacityEstimator(const CapacityEstimatorSettings &settings);

    /// Notes the rates that the engine reports, in tokens per second: @p prefillRate over all attempts, @p decodeRate
    /// of one attempt; zero if it reports none. Each is used until there is a measurement.
    void noteReportedRates(double prefillRate, double decodeRate);
    /// Advances to @p now; @p busy tells whether the engine has had prompts to prefill since the last call.
    void advance(TimePoint now, bool busy);
    /// Notes that the engine has prefilled @p tokens.
    void notePrefilled(double tokens);
    /// Notes a measured time between two tokens of one attempt.
    void noteTokenInterval(Duration interval);

    [[nodiscard]] EngineRates rates() const;

private:
    CapacityEstimatorSettings m_settings;
    /// Busy time and prefilled tokens, both with exponential decay. Their quotient is the prefill rate.
    double m_busySeconds;
    double m_tokens;
    /// Moving average, in seconds.
    double m_tokenInterval;
    bool m_prefillMeasured = false;
    bool m_intervalMeasured = false;
    TimePoint m_lastAdvance {};
};

} // namespace ibismast
