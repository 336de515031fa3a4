#include "adapters/gracefulstop.h"

#include "adapters/logging.h"

namespace ibismast
{

namespace
{

constexpr std::chrono::milliseconds CheckInterval {20};

} // namespace

GracefulStop::GracefulStop(StopHooks hooks, Duration timeout, std::function<TimePoint()> clock)
    : m_hooks(std::move(hooks)), m_timeout(timeout), m_clock(std::move(clock))
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
    if (m_limit) {
        cut("second_signal");
        return;
    }
    m_limit = m_clock() + m_timeout;
    logEvent(spdlog::level::info, "stop_begun", {{"open_requests", std::to_string(m_hooks.openWork())}});
    m_hooks.begin();
    m_timer.start(CheckInterval);
}

void GracefulStop::check()
{
    if (m_finished || !m_limit) {
        return;
    }
    if (m_hooks.openWork() == 0) {
        m_finished = true;
        m_timer.stop();
        logEvent(spdlog::level::info, "stopped", {{"cut_requests", "0"}});
        m_hooks.finish(0);
    } else if (m_clock() >= *m_limit) {
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
