#include "ibismast/entry/timerqueue.h"

namespace ibismast
{

void TimerQueue::schedule(TimePoint due, const RequestId &request)
{
    m_entries.push(Entry {due, request});
}

std::optional<RequestId> TimerQueue::popDue(TimePoint now)
{
    if (m_entries.empty() || m_entries.top().due > now) {
        return std::nullopt;
    }
    const RequestId request = m_entries.top().request;
    m_entries.pop();
    return request;
}

} // namespace ibismast
