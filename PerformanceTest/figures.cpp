#include "PerformanceTest/figures.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace ibismast
{

namespace
{

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

/// Returns the max-min fair division of @p total over @p demands.
std::map<CustomerId, double> fairShares(std::map<CustomerId, double> demands, double total)
{
    std::map<CustomerId, double> shares;
    while (!demands.empty()) {
        const double equal = total / static_cast<double>(demands.size());
        const auto smallest = std::ranges::min_element(demands, {}, [](const auto &entry) {
            return entry.second;
        });
        const double share = std::min(equal, smallest->second);
        shares[smallest->first] = share;
        total -= share;
        demands.erase(smallest);
    }
    return shares;
}

/// Returns the smallest ratio of work to fair share during the peak.
double worstShareOf(const std::vector<WorkItem> &items, const WorkloadSettings &settings, const ServingResult &result)
{
    std::map<CustomerId, double> demands;
    std::map<CustomerId, double> work;
    double total = 0.0;
    for (const WorkItem &item : items) {
        const auto done = static_cast<double>(result.peakWork[item.sequence]);
        // Work from before the peak counts as demand as far as it was left for the peak.
        demands[item.customer] += item.inPeak(settings) ? static_cast<double>(item.work()) : done;
        work[item.customer] += done;
        total += done;
    }
    double worst = 1.0;
    for (const auto &[customer, share] : fairShares(demands, total)) {
        if (share > 0.0) {
            worst = std::min(worst, work[customer] / share);
        }
    }
    return worst;
}

} // namespace

void FigureCollector::add(const std::vector<WorkItem> &items,
                          const WorkloadSettings &settings,
                          const ServingResult &result)
{
    ++m_runs;
    for (const WorkItem &item : items) {
        const ServedItem &served = result.items[item.sequence];
        const TimePoint deadline = item.arrival + item.timeLeft;
        const bool inTime = served.finished && *served.finished <= deadline;
        ++m_sum.offered;
        if (served.admitted) {
            ++m_sum.admitted;
            const bool failedInTime = served.failed && *served.failed < deadline;
            m_sum.failed += failedInTime ? 1 : 0;
            m_sum.late += !inTime && !failedInTime ? 1 : 0;
        }
        if (item.priorityClass() == PriorityClass::Short && item.inPeak(settings)) {
            ++m_shortOffered;
            if (served.firstToken) {
                m_shortFirstTokens.push_back(toSeconds(*served.firstToken - item.arrival));
            }
        }
        if (item.prompt > MediumPromptLimit) {
            m_longOffered += static_cast<double>(item.prompt.value());
            m_longServed += inTime ? static_cast<double>(item.prompt.value()) : 0.0;
        }
    }
    const double share = worstShareOf(items, settings, result);
    m_sum.worstShare = std::min(m_sum.worstShare, share);
    m_sum.averageWorstShare += share;
}

Figures FigureCollector::figures() const
{
    Figures figures = m_sum;
    figures.shortFirstTokenP50 = percentile(m_shortFirstTokens, 0.5);
    figures.shortFirstTokenP95 = percentile(m_shortFirstTokens, 0.95);
    figures.shortUnserved = 1.0
        - static_cast<double>(m_shortFirstTokens.size())
            / static_cast<double>(std::max<std::size_t>(m_shortOffered, 1));
    figures.longGoodput = m_longOffered > 0.0 ? m_longServed / m_longOffered : 1.0;
    figures.averageWorstShare = m_sum.averageWorstShare / static_cast<double>(std::max<std::size_t>(m_runs, 1));
    return figures;
}

} // namespace ibismast
