#include "PerformanceTest/serving.h"

namespace ibismast
{

ServingResult runWorkload(Serving &serving, const std::vector<WorkItem> &items, const WorkloadSettings &settings)
{
    serving.result.items.resize(items.size());
    serving.result.peakWork.resize(items.size());
    TimePoint end = settings.arrivalsEnd;
    for (const WorkItem &item : items) {
        end = std::max(end, item.arrival + item.timeLeft);
    }
    auto next = items.begin();
    while (true) {
        const TimePoint arrival = next == items.end() ? TimePoint::max() : next->arrival;
        const TimePoint now = std::min(arrival, serving.nextEvent());
        if (now > end + std::chrono::seconds(1)) {
            return serving.result;
        }
        if (now == arrival) {
            serving.submit(*next++, now);
        } else {
            serving.advance(now);
        }
    }
}

} // namespace ibismast
