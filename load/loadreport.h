#pragma once

#include "load/outcome.h"

#include <iosfwd>
#include <map>

namespace ibismast::load
{

/// Returns the smallest of @p values that at least the fraction @p quantile of them does not exceed; zero if there are
/// none.
[[nodiscard]] Duration percentile(std::vector<Duration> values, double quantile);

/// Figures over all requests of a run.
class LoadRunReport
{
public:
    LoadRunReport(const LoadSettings &settings, const std::vector<Outcome> &outcomes);

    /// Number of requests with @p verdict.
    [[nodiscard]] std::size_t count(Verdict verdict) const;
    /// Returns true if no answer was lost, wrong, duplicate or late.
    [[nodiscard]] bool correct() const;

    /// Prints all figures as text.
    void print(std::ostream &out) const;
    /// Writes one line for each request.
    void writeCsv(std::ostream &out) const;
    /// Writes TTFT by prompt length as an SVG image with logarithmic axes.
    void writePlot(std::ostream &out) const;

private:
    void printGroup(std::ostream &out, const std::string &label, const std::vector<const Outcome *> &group) const;
    void printHeadOfLine(std::ostream &out) const;

    const LoadSettings &m_settings;
    const std::vector<Outcome> &m_outcomes;
    std::map<Verdict, std::size_t> m_counts;
};

} // namespace ibismast::load
