#include "adapters/gracefulstop.h"

#include "adapters/plumbing/logging.h"

namespace ibismast
{

namespace
{

constexpr std::chrono::milliseconds CheckInterval {20};

} // namespace

GracefulStop::GracefulStop(StopHooks hooks, const StopTimes &times, std::function<TimePoint()> clock)
    : m_hooks(std::move(hooks)), m_times(times), m_clock(std::move(clock))
{
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
        check();
    });
}

void GracefulStop::request()
{
    if (m_finished) {
        return;
    }
    if (m_begun) {
        cut("second_signal");
        return;
    }
    m_begun = m_clock();
    logEvent(spdlog::level::info, "stop_begun", {{"open_requests", std::to_string(m_hooks.openWork())}});
    m_hooks.begin();
    m_timer.start(CheckInterval);
}

void GracefulStop::check()
{
    if (m_finished || !m_begun) {
        return;
    }
    const Duration passed = m_clock() - *m_begun;
    if (m_hooks.openWork() == 0) {
        if (passed < m_times.drain) {
            return;
        }
        m_finished = true;
        m_timer.stop();
        logEvent(spdlog::level::info, "stopped", {{"cut_requests", "0"}});
        m_hooks.finish(0);
    } else if (passed >= m_times.timeout) {
        cut("timeout");
    }
}

void GracefulStop::cut(std::string_view reason)
{
    m_finished = true;
    m_timer.stop();
    const std::size_t open = m_hooks.openWork();
    logEvent(spdlog::level::warn, "stopped", {{"cut_requests", std::to_string(open)}, {"reason", std::string(reason)}});
    m_hooks.finish(open == 0 ? 0 : 1);
}

} // namespace ibismast
