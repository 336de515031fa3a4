#pragma once

#include "PerformanceTest/serving.h"
#include "standins/engine/enginemodel.h"

#include <map>

namespace ibismast
{

/// The baseline: every request goes to the next engine in turn at once; engines serve in order of arrival. Callers
/// cancel at their deadline.
class BaselineServing : public Serving
{
public:
    explicit BaselineServing(const WorkloadSettings &settings);

    void submit(const WorkItem &item, TimePoint now) override;
    void advance(TimePoint now) override;
    [[nodiscard]] TimePoint nextEvent() const override;

private:
    void deliver(const EngineEvents &events, TimePoint now);

    WorkloadSettings m_settings;
    std::vector<EngineModel> m_engines;
    std::size_t m_next = 0;
    TimePoint m_now {};
    /// Deadlines of requests that have not ended, with the engine that runs them.
    std::multimap<TimePoint, std::pair<std::uint64_t, std::size_t>> m_deadlines;
};

} // namespace ibismast
