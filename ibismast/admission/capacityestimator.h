#pragma once

#include "ibismast/core/result.h"

namespace ibismast
{

/// Rates of an engine as the agent estimates them.
struct EngineRates
{
    /// Prefill over all attempts, in tokens per second.
    double prefill = 0.0;
    /// Time between two tokens of one attempt.
    Duration tokenInterval {};
};

/// Settings of a `CapacityEstimator`.
struct CapacityEstimatorSettings
{
    /// Rates that hold until the engine reports or the agent measures others.
    double prefillRate = 20'000.0;
    Duration tokenInterval {40'000};
    /// Time with prefill work in the engine after which a measurement has lost two thirds of its weight.
    Duration horizon {5'000'000};
    /// Lowest prefill rate to assume, so that an engine that stalls is not given up for good.
    double lowestPrefillRate = 200.0;

    /// Names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Measures the rates of one engine.
///
/// Only time in which the engine had prompts to prefill counts, so that an idle engine does not look slow.
class CapacityEstimator
{
public:
    explicit CapacityEstimator(const CapacityEstimatorSettings &settings);

    /// Notes the rates that the engine publishes, zero for none. They hold until there are measurements.
    void noteReportedRates(double prefillRate, double tokensPerAttempt);
    /// Moves to @p now; @p busy says whether the engine had prompts to prefill since the last call.
    void advance(TimePoint now, bool busy);
    /// Notes tokens that the engine has prefilled.
    void notePrefilled(double tokens);
    /// Notes the time between two tokens of one attempt.
    void noteTokenInterval(Duration gap);

    [[nodiscard]] EngineRates rates() const;

private:
    CapacityEstimatorSettings m_settings;
    double m_busySeconds;
    double m_tokens;
    double m_tokenInterval;
    bool m_prefillMeasured = false;
    bool m_intervalMeasured = false;
    TimePoint m_last {};
};

} // namespace ibismast
