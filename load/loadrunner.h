#pragma once

#include "load/outcome.h"
#include "load/targetlist.h"

#include <QObject>

#include <functional>

namespace ibismast::load
{

/// Starts each planned request at its time, whatever became of the earlier ones, and collects the outcomes.
class LoadRunner : public QObject
{
public:
    /// Called when the last request has its verdict.
    std::function<void()> onFinished;

    explicit LoadRunner(const LoadSettings &settings);

    void start();
    [[nodiscard]] const std::vector<Outcome> &outcomes() const;

private:
    void startDue();
    void startRequest(const PlannedRequest &request);
    void finish();
    void requestEnded(const Outcome &outcome);

    LoadSettings m_settings;
    TargetList m_targets;
    std::vector<PlannedRequest> m_plan;
    std::size_t m_next = 0;
    TimePoint m_begin;
    std::size_t m_open = 0;
    std::size_t m_openLong = 0;
    bool m_finished = false;
    std::vector<Outcome> m_outcomes;
};

} // namespace ibismast::load
