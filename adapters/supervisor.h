#pragma once

#include "ibismast/core/result.h"

#include <QtCore/QTimer>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ibismast
{

/// Limits on restarts.
struct SupervisorSettings
{
    /// Restarts within `window` after which the failure is passed on.
    std::size_t maxRestarts = 5;
    Duration window = std::chrono::seconds(60);
    /// Pause before a failed part is started again.
    Duration pause = std::chrono::milliseconds(200);
};

/// Part of a process that can be started and stopped. Another supervisor may be a part.
struct SupervisedPart
{
    std::string name;
    std::function<Result<Success>()> start;
    std::function<void()> stop;
};

/// Starts the parts of a process in order and stops them in reverse order. A part that fails is started again together
/// with the parts after it, which may depend on it.
class Supervisor
{
public:
    using FailureHandler = std::function<void(const Error &error)>;

    /// @p clock gives the time; @p onFailure is called when the restarts are used up, after all parts were stopped.
    Supervisor(const SupervisorSettings &settings, std::function<TimePoint()> clock, FailureHandler onFailure);

    /// Adds a part behind the others. Called before `start`.
    void add(SupervisedPart part);
    /// Starts all parts. If one fails, those already started are stopped and its error is returned.
    [[nodiscard]] Result<Success> start();
    /// Stops all running parts.
    void stop();
    /// Part @p name has failed. It is started again after a pause.
    void partFailed(const std::string &name, const std::string &reason);
    /// Number of running parts.
    [[nodiscard]] std::size_t runningParts() const;

private:
    void restart();
    void stopFrom(std::size_t index);
    void giveUp(const Error &error);

    SupervisorSettings m_settings;
    std::function<TimePoint()> m_clock;
    FailureHandler m_onFailure;
    std::vector<SupervisedPart> m_parts;
    /// Parts before this index are running.
    std::size_t m_running = 0;
    bool m_active = false;
    std::deque<TimePoint> m_restarts;
    QTimer m_timer;
};

} // namespace ibismast
