#include "ibismast/relay/roomforecast.h"

#include <algorithm>

namespace ibismast
{

RoomForecast::RoomForecast(Tokens memory, TimePoint now) : m_memory(memory), m_now(now) { }

void RoomForecast::addEngine(const EngineWorkload &load, int slots, Tokens usable)
{
    const Tokens needed = std::min(m_memory, usable);
    std::vector<EngineWorkload::ExpectedEnd> ends = load.expectedEnds();
    for (EngineWorkload::ExpectedEnd &end : ends) {
        // A stream that is overdue is expected to last as long again.
        end.time = end.time > m_now ? end.time : m_now + (m_now - end.time);
    }
    std::ranges::sort(ends, {}, &EngineWorkload::ExpectedEnd::time);
    const TimePoint backlogEnd = m_now + load.backlog(m_now);
    Tokens used = load.memory();
    std::size_t streams = ends.size();
    const auto addIfRoom = [&](TimePoint time) {
        while (streams < static_cast<std::size_t>(slots) && used + needed <= usable) {
            m_starts.push_back(std::max(time, backlogEnd));
            used += needed;
            ++streams;
        }
    };
    addIfRoom(m_now);
    for (const EngineWorkload::ExpectedEnd &end : ends) {
        used -= end.memory;
        --streams;
        addIfRoom(end.time);
    }
}

std::optional<TimePoint> RoomForecast::start(std::size_t callsBefore) const
{
    if (callsBefore >= m_starts.size()) {
        return std::nullopt;
    }
    std::vector<TimePoint> starts = m_starts;
    const auto position = starts.begin() + static_cast<std::ptrdiff_t>(callsBefore);
    std::ranges::nth_element(starts, position);
    return *position;
}

} // namespace ibismast
