#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ibismast
{

/// Counters, gauges and histograms of one process, written in Prometheus' text format.
class Metrics
{
public:
    /// Label names and values, in the order in which they are written.
    using Labels = std::vector<std::pair<std::string, std::string>>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds @p amount to a counter.
    void add(const std::string &name, const Labels &labels, double amount = 1.0);
    /// Sets a gauge.
    void set(const std::string &name, const Labels &labels, double value);
    /// Enters @p seconds in a histogram of times.
    void observe(const std::string &name, const Labels &labels, double seconds);

    /// Returns all metrics in Prometheus' text format, ordered by name.
    [[nodiscard]] std::string text() const;

private:
    class Family;

    Family &family(const std::string &name, std::string_view type);

    std::map<std::string, std::unique_ptr<Family>> m_families;
};

} // namespace ibismast
