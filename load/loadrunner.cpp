#include "load/loadrunner.h"

#include "ibismast/core/priorityclass.h"
#include "load/requestrun.h"

#include <QTimer>

namespace ibismast::load
{

namespace
{

bool isLong(const PlannedRequest &request)
{
    return !request.service && request.promptTokens > MediumPromptLimit;
}

} // namespace

LoadRunner::LoadRunner(const LoadSettings &settings)
    : m_settings(settings), m_targets(settings.targets), m_plan(planRequests(settings))
{
}

void LoadRunner::start()
{
    m_begin = now();
    startDue();
}

const std::vector<Outcome> &LoadRunner::outcomes() const
{
    return m_outcomes;
}

void LoadRunner::startDue()
{
    while (m_next < m_plan.size() && m_begin + m_plan[m_next].start <= now()) {
        startRequest(m_plan[m_next++]);
    }
    if (m_next < m_plan.size()) {
        const Duration wait = std::max(m_begin + m_plan[m_next].start - now(), Duration::zero());
        QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(wait), Qt::PreciseTimer, this, [this] {
            startDue();
        });
    } else if (m_open == 0) {
        finish();
    }
}

void LoadRunner::finish()
{
    // Later, so that the request that ended last is not deleted below its own function.
    if (!std::exchange(m_finished, true)) {
        QTimer::singleShot(0, this, [this] {
            onFinished();
        });
    }
}

void LoadRunner::startRequest(const PlannedRequest &request)
{
    auto *run = new RequestRun(request, m_settings, m_targets, m_begin + request.start, this);
    run->onEnd = [this](const Outcome &outcome) {
        requestEnded(outcome);
    };
    const bool besideLong = m_openLong > 0;
    ++m_open;
    m_openLong += isLong(request) ? 1 : 0;
    run->start(besideLong);
}

void LoadRunner::requestEnded(const Outcome &outcome)
{
    m_outcomes.push_back(outcome);
    --m_open;
    m_openLong -= isLong(outcome.request) ? 1 : 0;
    if (m_open == 0 && m_next == m_plan.size()) {
        finish();
    }
}

} // namespace ibismast::load
