#include "load/requestrun.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <chrono>

namespace ibismast::load
{

namespace
{

/// Pause before another try of a request whose connection broke.
constexpr std::chrono::milliseconds RetryPause {50};

QByteArray milliseconds(Duration duration)
{
    return QByteArray::number(qint64(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

} // namespace

RequestRun::RequestRun(const PlannedRequest &request,
                       const LoadSettings &settings,
                       TargetList &targets,
                       TimePoint plannedStart,
                       QObject *parent)
    : QObject(parent), m_settings(settings), m_targets(targets), m_plannedStart(plannedStart)
{
    m_outcome.request = request;
    m_lostTimer.setSingleShot(true);
    m_lostTimer.callOnTimeout([this] {
        finish(Verdict::Lost);
    });
}

void RequestRun::start(bool besideLong)
{
    m_outcome.besideLong = besideLong;
    const Duration lostAt = m_outcome.request.deadline + m_settings.lostAfter - elapsed();
    m_lostTimer.start(std::chrono::ceil<std::chrono::milliseconds>(lostAt));
    tryOnce();
}

void RequestRun::tryOnce()
{
    const Duration timeLeft = m_outcome.request.deadline - elapsed();
    if (timeLeft <= Duration::zero()) {
        // No entry could be reached before the deadline.
        finish(Verdict::Lost);
        return;
    }
    m_outcome.target = m_targets.next(now());
    m_body.clear();
    m_error.reset();
    m_call = new HttpCall(this);
    m_call->onEnd = [this](HttpCall::End end) {
        callEnded(end);
    };
    if (m_outcome.request.service) {
        startService(*m_call);
    } else {
        startCompletion(*m_call);
    }
}

void RequestRun::retryLater()
{
    QTimer::singleShot(RetryPause, this, [this] {
        if (!m_ended) {
            tryOnce();
        }
    });
}

void RequestRun::startCompletion(HttpCall &call)
{
    m_reader = SseReader();
    m_lastPart.reset();
    m_check.emplace(prompt(), m_outcome.request.maxOutputTokens.value());
    call.onData = [this](const QByteArray &data) {
        if (m_call->status() == 200) {
            m_reader.add(data, [this](const QByteArray &event) {
                handleEvent(event);
            });
        } else {
            m_body += data;
        }
    };
    QByteArray body = R"({"model":")" + QByteArray::fromStdString(m_settings.model) + R"(","max_tokens":)"
        + QByteArray::number(qint64(m_outcome.request.maxOutputTokens.value())) + R"(,"stream":true,"prompt":")";
    // The prompt holds letters and spaces only and needs no escapes.
    body += QByteArray::fromRawData(prompt().data(), static_cast<qsizetype>(prompt().size()));
    body += "\"}";
    call.start(m_targets.address(m_outcome.target), "POST", "/v1/completions", headers(), body);
}

void RequestRun::startService(HttpCall &call)
{
    call.onData = [this](const QByteArray &data) {
        m_body += data;
    };
    const std::string &target = m_targets.address(m_outcome.target);
    const QByteArray service = QByteArray::fromStdString(m_settings.service);
    if (m_operationId.isEmpty()) {
        call.start(target, "POST", "/v1/operations/" + service, headers(), "{}");
        return;
    }
    const QByteArray reference = QByteArray::number(qulonglong(m_settings.seed)) + '-'
        + QByteArray::number(qulonglong(m_outcome.request.number));
    HttpCall::Headers all = headers();
    all.append({"Operation-Id", m_operationId});
    call.start(target, "POST", "/services/" + service + "/registrations", all, R"({"reference":")" + reference + "\"}");
}

HttpCall::Headers RequestRun::headers() const
{
    const LoadCustomer &customer = m_settings.customers[m_outcome.request.customer];
    return {{"Content-Type", "application/json"},
            {"Authorization", "Bearer " + QByteArray::fromStdString(customer.apiKey)},
            {"X-Deadline-Ms", milliseconds(m_outcome.request.deadline - elapsed())},
            {"X-Request-Id", "load-" + QByteArray::number(qulonglong(m_outcome.request.number))}};
}

const std::string &RequestRun::prompt()
{
    if (m_prompt.empty()) {
        m_prompt = promptText(m_outcome.request, m_settings);
    }
    return m_prompt;
}

void RequestRun::callEnded(HttpCall::End end)
{
    m_call->deleteLater();
    if (m_ended) {
        return;
    }
    m_outcome.httpStatus = m_call->status();
    if (end == HttpCall::End::NotConnected) {
        m_targets.markUnreachable(m_outcome.target, now());
        retryLater();
        return;
    }
    const bool complete = end == HttpCall::End::Complete;
    if (m_outcome.request.service && complete) {
        serviceEnded();
        return;
    }
    if (!m_outcome.request.service && (complete || m_error || m_check->state() != AnswerState::Open)) {
        completionEnded();
        return;
    }
    ++m_outcome.brokenConnections;
    retryLater();
}

void RequestRun::completionEnded()
{
    m_outcome.tokens = m_check->tokens();
    if (m_outcome.httpStatus != 200) {
        m_error = QJsonDocument::fromJson(m_body).object()["error"].toObject();
    }
    const AnswerState state = m_check->state();
    if (state == AnswerState::Duplicate) {
        finish(Verdict::Duplicate);
    } else if (state != AnswerState::Wrong && m_error) {
        handleError(*m_error);
    } else {
        // A stream that ended in good form but without an end marker is as wrong as one with foreign tokens.
        finish(state == AnswerState::Complete ? Verdict::Answered : Verdict::Wrong);
    }
}

void RequestRun::serviceEnded()
{
    const QJsonObject body = QJsonDocument::fromJson(m_body).object();
    if (body["error"].isObject()) {
        handleError(body["error"].toObject());
    } else if (m_operationId.isEmpty()) {
        m_operationId = body["operation_id"].toString().toLatin1();
        if (m_operationId.isEmpty()) {
            finish(Verdict::Wrong);
        } else {
            tryOnce();
        }
    } else if (body["run"].toInt() > 1) {
        finish(Verdict::Duplicate);
    } else if (body["reference"].toString().endsWith('-' + QString::number(m_outcome.request.number))) {
        finish(Verdict::Answered);
    } else {
        finish(Verdict::Wrong);
    }
}

void RequestRun::handleEvent(const QByteArray &data)
{
    if (data == "[DONE]") {
        m_check->addEnd();
        return;
    }
    const QJsonObject event = QJsonDocument::fromJson(data).object();
    if (event["error"].isObject()) {
        m_error = event["error"].toObject();
        return;
    }
    const QJsonObject choice = event["choices"].toArray()[0].toObject();
    const std::string text = choice["text"].toString().toStdString();
    const std::uint64_t before = m_check->tokens();
    m_check->addText(text);
    const std::uint64_t added = m_check->tokens() - before;
    if (added > 0) {
        const TimePoint time = now();
        if (m_lastPart) {
            m_outcome.gaps.push_back((time - *m_lastPart) / static_cast<std::int64_t>(added));
        } else if (m_outcome.firstToken < Duration::zero()) {
            m_outcome.firstToken = elapsed();
        }
        m_lastPart = time;
    }
    if (choice["finish_reason"].isString()) {
        m_check->addFinishReason(choice["finish_reason"].toString().toStdString());
    }
}

void RequestRun::handleError(const QJsonObject &error)
{
    const int code = error["code"].toInt();
    const bool entryUnavailable = code == int(ResultCode::ShuttingDown) || code == int(ResultCode::NotReady);
    if (entryUnavailable && m_outcome.request.deadline > elapsed()) {
        // As a load balancer does with an entry that is not ready.
        m_targets.markUnreachable(m_outcome.target, now());
        ++m_outcome.failovers;
        retryLater();
        return;
    }
    m_outcome.code = code;
    finish(Verdict::Failed);
}

void RequestRun::finish(Verdict verdict)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_lostTimer.stop();
    m_outcome.end = elapsed();
    const bool inTime = m_outcome.end <= m_outcome.request.deadline + m_settings.lateTolerance;
    const bool ended = verdict == Verdict::Answered || verdict == Verdict::Failed;
    m_outcome.verdict = ended && !inTime ? Verdict::Late : verdict;
    if (m_outcome.request.service && verdict == Verdict::Answered) {
        m_outcome.firstToken = m_outcome.end;
    }
    onEnd(m_outcome);
    deleteLater();
}

Duration RequestRun::elapsed() const
{
    return now() - m_plannedStart;
}

TimePoint now()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace ibismast::load
