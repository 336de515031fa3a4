#pragma once

#include "PerformanceTest/workload.h"

namespace ibismast
{

/// What became of one request.
struct ServedItem
{
    bool admitted = false;
    std::optional<TimePoint> firstToken;
    std::optional<TimePoint> finished;
    /// Time of a failure after the admission.
    std::optional<TimePoint> failed;
};

/// Results of one run; the indices are those of the workload.
struct ServingResult
{
    std::vector<ServedItem> items;
    /// Tokens that the engines computed for each request during the peak.
    std::vector<std::int64_t> peakWork;
};

/// A way to serve a workload on a group of engines.
class Serving
{
public:
    virtual ~Serving() = default;

    virtual void submit(const WorkItem &item, TimePoint now) = 0;
    virtual void advance(TimePoint now) = 0;
    /// Time at which `advance` must be called next.
    [[nodiscard]] virtual TimePoint nextEvent() const = 0;

    ServingResult result;
};

/// Runs @p serving until every request has ended and no deadline is left.
[[nodiscard]] ServingResult
runWorkload(Serving &serving, const std::vector<WorkItem> &items, const WorkloadSettings &settings);

} // namespace ibismast
