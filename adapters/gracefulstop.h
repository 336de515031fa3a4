#pragma once

#include "ibismast/core/units.h"

#include <QtCore/QTimer>

#include <functional>
#include <optional>

namespace ibismast
{

/// Functions of the process that is stopped.
struct StopHooks
{
    /// Refuses new work.
    std::function<void()> begin;
    /// Returns the number of requests that have not ended.
    std::function<std::size_t()> openWork;
    /// Ends the process; the argument is 0 if no request was cut.
    std::function<void(int exitCode)> finish;
};

/// Times of a stop.
struct StopTimes
{
    /// Least time from the signal to the end, in which peers and the load balancer learn that the instance is leaving.
    /// What they have sent before is still answered.
    Duration drain {};
    /// Time that open work has to end.
    Duration timeout = std::chrono::minutes(10);
};

/// Stops a process so that no request is interrupted: new work is refused, open work ends. A second signal or the end
/// of the time stops at once and logs how many requests are cut.
class GracefulStop
{
public:
    GracefulStop(StopHooks hooks, const StopTimes &times, std::function<TimePoint()> clock);

    /// A stop signal has arrived.
    void request();
    /// Finishes if the open work has ended or the time is over. Called by a timer.
    void check();

private:
    void cut(std::string_view reason);

    StopHooks m_hooks;
    StopTimes m_times;
    std::function<TimePoint()> m_clock;
    std::optional<TimePoint> m_begun;
    bool m_finished = false;
    QTimer m_timer;
};

} // namespace ibismast
