#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <queue>
#include <vector>

namespace ibismast
{

/// Priority queue of request timers. A request may have several timers. Timers cannot be cancelled: the owner ignores
/// those of requests that have ended when they expire.
class TimerQueue
{
public:
    void schedule(TimePoint due, const RequestId &request);
    /// Removes the earliest timer that has expired at @p now and returns its request, or nothing if none has expired.
    [[nodiscard]] std::optional<RequestId> popDue(TimePoint now);

private:
    struct Entry
    {
        TimePoint due;
        RequestId request;

        auto operator<=>(const Entry &) const = default;
    };

    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> m_entries;
};

} // namespace ibismast
