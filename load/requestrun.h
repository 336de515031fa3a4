#pragma once

#include "load/answercheck.h"
#include "load/httpcall.h"
#include "load/outcome.h"
#include "load/ssereader.h"
#include "load/targetlist.h"

#include <QJsonObject>
#include <QTimer>

#include <memory>
#include <optional>

namespace ibismast::load
{

/// Carries out one planned request up to its verdict, over several connections if some break.
class RequestRun : public QObject
{
public:
    /// Called once with the verdict.
    std::function<void(const Outcome &outcome)> onEnd;

    /// @p plannedStart is the time from which the deadline and all times count.
    RequestRun(const PlannedRequest &request,
               const LoadSettings &settings,
               TargetList &targets,
               TimePoint plannedStart,
               QObject *parent);

    void start(bool besideLong);

private:
    void tryOnce();
    void retryLater();
    void startCompletion(HttpCall &call);
    void startService(HttpCall &call);
    [[nodiscard]] HttpCall::Headers headers() const;
    [[nodiscard]] const std::string &prompt();

    void callEnded(HttpCall::End end);
    void completionEnded();
    void serviceEnded();
    void handleEvent(const QByteArray &data);
    void handleError(const QJsonObject &error);
    void finish(Verdict verdict);

    [[nodiscard]] Duration elapsed() const;

    const LoadSettings &m_settings;
    TargetList &m_targets;
    TimePoint m_plannedStart;
    Outcome m_outcome;
    QTimer m_lostTimer;
    std::string m_prompt;
    HttpCall *m_call = nullptr;
    QByteArray m_body;
    SseReader m_reader;
    std::optional<AnswerCheck> m_check;
    std::optional<TimePoint> m_lastPart;
    std::optional<QJsonObject> m_error;
    QByteArray m_operationId;
    bool m_ended = false;
};

/// Time on the process's monotonic clock.
[[nodiscard]] TimePoint now();

} // namespace ibismast::load
