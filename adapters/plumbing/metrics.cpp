#include "adapters/plumbing/metrics.h"

#include <boost/histogram.hpp>
#include <spdlog/fmt/fmt.h>

#include <cassert>

namespace ibismast
{

namespace
{

namespace histogram = boost::histogram;

/// Bounds in seconds. 0.064 and 1.3 are the targets for the time between tokens and the first token.
const std::vector<double> TimeBounds {
    0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.064, 0.1, 0.2, 0.5, 1.0, 1.3, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0, 1000.0};

using TimeHistogram = decltype(histogram::make_histogram(histogram::axis::variable<>(TimeBounds)));

std::string escaped(std::string_view value)
{
    std::string result;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            result += '\\';
            result += c;
        } else if (c == '\n') {
            result += "\\n";
        } else {
            result += c;
        }
    }
    return result;
}

/// Returns `{name="value",...}`, or nothing if there are no labels.
std::string labelText(const Metrics::Labels &labels)
{
    std::string result;
    for (const auto &[name, value] : labels) {
        result += fmt::format("{}{}=\"{}\"", result.empty() ? "" : ",", name, escaped(value));
    }
    return result;
}

std::string line(std::string_view name, const std::string &labels, double value)
{
    return labels.empty() ? fmt::format("{} {}\n", name, value) : fmt::format("{}{{{}}} {}\n", name, labels, value);
}

} // namespace

/// All metrics of one name.
class Metrics::Family
{
public:
    explicit Family(std::string_view familyType) : type(familyType) { }

    struct Times
    {
        TimeHistogram counts = histogram::make_histogram(histogram::axis::variable<>(TimeBounds));
        double sum = 0.0;
    };

    std::string type;
    std::map<std::string, double> values;
    std::map<std::string, Times> times;
};

Metrics::Metrics() = default;

Metrics::~Metrics() = default;

void Metrics::add(const std::string &name, const Labels &labels, double amount)
{
    family(name, "counter").values[labelText(labels)] += amount;
}

void Metrics::set(const std::string &name, const Labels &labels, double value)
{
    family(name, "gauge").values[labelText(labels)] = value;
}

void Metrics::observe(const std::string &name, const Labels &labels, double seconds)
{
    Family::Times &times = family(name, "histogram").times[labelText(labels)];
    times.counts(seconds);
    times.sum += seconds;
}

std::string Metrics::text() const
{
    std::string out;
    for (const auto &[name, family] : m_families) {
        out += fmt::format("# TYPE {} {}\n", name, family->type);
        for (const auto &[labels, value] : family->values) {
            out += line(name, labels, value);
        }
        for (const auto &[labels, times] : family->times) {
            const std::string prefix = labels.empty() ? std::string() : labels + ',';
            // Prometheus' buckets are cumulative. A time below the first bound would be in the underflow bin.
            double total = times.counts.at(-1);
            const auto &axis = times.counts.axis();
            for (int i = 0; i < axis.size(); ++i) {
                total += times.counts.at(i);
                out += line(name + "_bucket", prefix + fmt::format("le=\"{}\"", axis.bin(i).upper()), total);
            }
            total += times.counts.at(axis.size());
            out += line(name + "_bucket", prefix + "le=\"+Inf\"", total);
            out += line(name + "_sum", labels, times.sum);
            out += line(name + "_count", labels, total);
        }
    }
    return out;
}

Metrics::Family &Metrics::family(const std::string &name, std::string_view type)
{
    std::unique_ptr<Family> &entry = m_families[name];
    if (!entry) {
        entry = std::make_unique<Family>(type);
    }
    assert(entry->type == type);
    return *entry;
}

} // namespace ibismast
