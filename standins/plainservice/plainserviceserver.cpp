#include "standins/plainservice/plainserviceserver.h"

#include <QTimer>

#include <algorithm>

namespace ibismast
{

PlainServiceServer::PlainServiceServer(const PlainServiceSettings &settings) : m_settings(settings) { }

qint64 PlainServiceServer::doubleRuns() const
{
    return std::ranges::count_if(m_runs, [](const auto &entry) {
        return entry.second > 1;
    });
}

void PlainServiceServer::handle(const StandinRequest &request, const StandinReplyPointer &reply)
{
    const std::optional<QJsonObject> body = request.json();
    QByteArray reference = body ? (*body)["reference"].toString().toUtf8() : QByteArray();
    if (reference.isEmpty()) {
        reference = request.header("Operation-Id");
    }
    if (reference.isEmpty()) {
        reference = request.path;
    }
    if (m_settings.workTime == Duration::zero()) {
        run(reference, request, *reply);
        return;
    }
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.workTime),
                       this,
                       [this, reference, request, reply] {
                           run(reference, request, *reply);
                       });
}

QJsonObject PlainServiceServer::status() const
{
    QJsonObject runs;
    for (const auto &[reference, count] : m_runs) {
        runs[QString::fromUtf8(reference)] = count;
    }
    return {{"runs", runs}, {"calls", m_number}, {"double_runs", doubleRuns()}};
}

void PlainServiceServer::run(const QByteArray &reference, const StandinRequest &request, StandinReply &reply)
{
    const int count = ++m_runs[reference];
    ++m_number;
    StandinReply::Headers headers;
    if (const QByteArray operation = request.header("Operation-Id"); !operation.isEmpty()) {
        headers.append({"Operation-Id", operation});
    }
    reply.sendJson(200, {{"reference", QString::fromUtf8(reference)}, {"run", count}, {"number", m_number}}, headers);
}

} // namespace ibismast
