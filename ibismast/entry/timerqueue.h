#pragma once

#include "ibismast/core/ids.h"
#include "ibismast/core/units.h"

#include <queue>
#include <vector>

namespace ibismast
{

/// Times at which requests need attention. A request may have several; times of ended requests are ignored by the
/// owner when they come up.
class TimerQueue
{
public:
    void schedule(TimePoint due, const RequestId &request);
    /// Removes and returns a request that is due at @p now, earliest first; nothing if none is.
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
