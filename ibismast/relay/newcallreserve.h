#pragma once

#include "ibismast/core/result.h"
#include "ibismast/core/units.h"

namespace ibismast
{

/// Settings of a `NewCallReserve`.
struct NewCallReserveSettings
{
    /// Time for whose new calls slots are kept free; zero for none. It should be about the shortest objective of the
    /// service: a call that waits longer for a slot is late.
    Duration horizon = std::chrono::milliseconds(300);
    /// Time constant of the exponential average of the arrivals.
    Duration window = std::chrono::seconds(1);

    /// Returns an error that names the first field that is out of range.
    [[nodiscard]] Result<Success> validate() const;
};

/// Number of slots that engines keep free for new calls while calls come back after a refusal.
///
/// The load that it answers: in a burst, some calls are refused and come back within seconds. A call that comes back is
/// late already. If it takes the next free slot, a new call that could still be in time is refused, comes back in turn,
/// and soon all slots are used for late calls, although the engines could serve most new ones in time.
class NewCallReserve
{
public:
    explicit NewCallReserve(const NewCallReserveSettings &settings);

    /// Records that calls were placed on engines or refused at @p now, at this entry or, as reported, at another one.
    void noteCalls(std::size_t calls, TimePoint now);
    /// Calls in a second, of all entries.
    [[nodiscard]] double rate(TimePoint now) const;
    /// Slots that are kept free for new calls.
    [[nodiscard]] std::size_t slots(TimePoint now) const;

private:
    NewCallReserveSettings m_settings;
    /// Number of calls, decayed exponentially up to `m_time`.
    double m_calls = 0.0;
    TimePoint m_time;
};

} // namespace ibismast
