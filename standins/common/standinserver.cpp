#include "standins/common/standinserver.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QUrl>
#include <QUrlQuery>

namespace ibismast
{

namespace
{

QByteArray methodName(QHttpServerRequest::Method method)
{
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    default:
        return "OTHER";
    }
}

} // namespace

QByteArray StandinRequest::header(const QByteArray &name) const
{
    for (const auto &[key, value] : headers) {
        if (key.compare(name, Qt::CaseInsensitive) == 0) {
            return value;
        }
    }
    return {};
}

std::optional<QJsonObject> StandinRequest::json() const
{
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!document.isObject()) {
        return std::nullopt;
    }
    return document.object();
}

quint16 StandinServer::start(quint16 port)
{
    return listen(QHostAddress::LocalHost, port);
}

Result<QJsonObject> StandinServer::execute(const QJsonObject &command)
{
    if (command["clear"].toBool()) {
        m_faults.clear();
        return QJsonObject {{"ok", true}};
    }
    if (!command.contains("fault")) {
        return executeOwn(command);
    }
    const Result<Fault> fault = parseFault(command);
    if (const Error *error = errorOf(fault)) {
        return *error;
    }
    m_faults.add(std::get<Fault>(fault));
    return QJsonObject {{"ok", true}};
}

Result<QJsonObject> StandinServer::executeOwn(const QJsonObject &command)
{
    const QByteArray text = QJsonDocument(command).toJson(QJsonDocument::Compact);
    return Error {ResultCode::InvalidArgument, "unknown control command " + text.toStdString(), std::nullopt};
}

QJsonObject StandinServer::status() const
{
    return {};
}

bool StandinServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const StandinRequest copy {methodName(request.method()),
                               request.url().path().toUtf8(),
                               request.url().query().toUtf8(),
                               request.headers(),
                               request.body()};
    const auto reply = std::make_shared<StandinReply>(socket);
    if (copy.path == "/control") {
        handleControl(copy, *reply);
        return true;
    }
    const std::optional<Fault> fault = m_faults.take(copy.path);
    if (!fault) {
        handle(copy, reply);
        return true;
    }
    switch (fault->kind) {
    case FaultKind::Silent:
        break;
    case FaultKind::Late:
        reply->setDelay(fault->delay);
        handle(copy, reply);
        break;
    case FaultKind::LoseAnswer:
        reply->loseAfter(fault->afterBytes);
        handle(copy, reply);
        break;
    case FaultKind::CrossAnswers:
        reply->hold();
        handle(copy, reply);
        if (m_crossing && m_crossing->isOpen()) {
            StandinReply::cross(*m_crossing, *reply);
            m_crossing.reset();
        } else {
            m_crossing = reply;
        }
        break;
    }
    return true;
}

void StandinServer::missingHandler([[maybe_unused]] const QHttpServerRequest &request,
                                   [[maybe_unused]] QTcpSocket *socket)
{
    // handleRequest takes every request.
}

void StandinServer::handleControl(const StandinRequest &request, StandinReply &reply)
{
    if (request.method == "GET") {
        reply.sendJson(200, status());
        return;
    }
    const std::optional<QJsonObject> command = request.json();
    if (!command) {
        reply.sendJson(400, {{"error", "the body is not a JSON object"}});
        return;
    }
    const Result<QJsonObject> result = execute(*command);
    if (const Error *error = errorOf(result)) {
        reply.sendJson(400, {{"error", QString::fromStdString(error->message)}});
        return;
    }
    reply.sendJson(200, std::get<QJsonObject>(result));
}

TimePoint monotonicNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace ibismast
