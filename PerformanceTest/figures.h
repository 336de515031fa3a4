#pragma once

#include "PerformanceTest/serving.h"

#include <map>

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
    /// Smallest ratio over the customers of the work of the peak's requests that ended in time to the customer's
    /// max-min fair share of it, both summed over the runs.
    double deliveredShare = 1.0;
    /// The same for the work that the engines did during the peak, whether or not the request ended in it.
    double computedShare = 1.0;
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
    void addShares(const std::vector<WorkItem> &items, const WorkloadSettings &settings, const ServingResult &result);

    Figures m_sum;
    std::vector<double> m_shortFirstTokens;
    std::size_t m_shortOffered = 0;
    double m_longOffered = 0.0;
    double m_longServed = 0.0;
    /// Work of a customer and its fair share, summed over the runs.
    struct Share
    {
        double work = 0.0;
        double fair = 0.0;
    };
    std::map<CustomerId, Share> m_delivered;
    std::map<CustomerId, Share> m_computed;
};

} // namespace ibismast
