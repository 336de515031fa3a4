#include "adapters/supervisor.h"

#include "adapters/plumbing/logging.h"

#include <algorithm>

namespace ibismast
{

Supervisor::Supervisor(const SupervisorSettings &settings, std::function<TimePoint()> clock, FailureHandler onFailure)
    : m_settings(settings), m_clock(std::move(clock)), m_onFailure(std::move(onFailure))
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
        restart();
    });
}

void Supervisor::add(SupervisedPart part)
{
    m_parts.push_back(std::move(part));
}

Result<Success> Supervisor::start()
{
    m_active = true;
    m_restarts.clear();
    while (m_running < m_parts.size()) {
        Result<Success> result = m_parts[m_running].start();
        if (errorOf(result) != nullptr) {
            stop();
            return result;
        }
        ++m_running;
    }
    return Success {};
}

void Supervisor::stop()
{
    m_active = false;
    m_timer.stop();
    stopFrom(0);
}

void Supervisor::partFailed(const std::string &name, const std::string &reason)
{
    const auto part = std::ranges::find(m_parts, name, &SupervisedPart::name);
    const auto index = static_cast<std::size_t>(part - m_parts.begin());
    if (!m_active || index >= m_running) {
        return;
    }
    logEvent(spdlog::level::warn, "part_failed", {{"part", name}, {"reason", reason}});
    stopFrom(index);
    const TimePoint now = m_clock();
    while (!m_restarts.empty() && m_restarts.front() + m_settings.window <= now) {
        m_restarts.pop_front();
    }
    if (m_restarts.size() >= m_settings.maxRestarts) {
        giveUp({ResultCode::InternalError, "part " + name + " failed too often: " + reason, std::nullopt});
        return;
    }
    m_restarts.push_back(now);
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.pause));
}

std::size_t Supervisor::runningParts() const
{
    return m_running;
}

void Supervisor::restart()
{
    while (m_active && m_running < m_parts.size()) {
        const std::string name = m_parts[m_running].name;
        const Result<Success> result = m_parts[m_running].start();
        // A part that cannot start counts as started and failed, so that the limit on restarts applies to it.
        ++m_running;
        if (const Error *error = errorOf(result)) {
            partFailed(name, error->message);
            return;
        }
        logEvent(spdlog::level::info, "part_restarted", {{"part", name}});
    }
}

void Supervisor::stopFrom(std::size_t index)
{
    while (m_running > index) {
        --m_running;
        m_parts[m_running].stop();
    }
}

void Supervisor::giveUp(const Error &error)
{
    stop();
    m_onFailure(error);
}

} // namespace ibismast
