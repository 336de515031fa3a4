#pragma once

#include "PerformanceTest/serving.h"

namespace ibismast
{

/// Figures of runs with several seeds, pooled.
struct Figures
{
    /// Times to first token of short requests that arrived in the peak and were served, in seconds.
    double shortFirstTokenP50 = 0.0;
    double shortFirstTokenP95 = 0.0;
    /// Part of the short requests of the peak that got no first token.
    double shortUnserved = 0.0;
    /// Prompt tokens of long and huge requests that ended within their deadline, as part of the offered ones.
    double longGoodput = 0.0;
    /// Smallest ratio over the customers of the engines' work during the peak to the customer's fair share of it, for
    /// the worst run and on average over the runs.
    double worstShare = 1.0;
    double averageWorstShare = 0.0;
    /// Admitted requests; of these, ended after their deadline or not at all, and failed before it.
    std::size_t admitted = 0;
    std::size_t late = 0;
    std::size_t failed = 0;
    std::size_t offered = 0;
};

/// Collects runs.
class FigureCollector
{
public:
    void add(const std::vector<WorkItem> &items, const WorkloadSettings &settings, const ServingResult &result);
    [[nodiscard]] Figures figures() const;

private:
    Figures m_sum;
    std::vector<double> m_shortFirstTokens;
    std::size_t m_shortOffered = 0;
    double m_longOffered = 0.0;
    double m_longServed = 0.0;
    std::size_t m_runs = 0;
};

} // namespace ibismast
