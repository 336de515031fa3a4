#pragma once

#include "adapters/store/oneshotupload.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <functional>

namespace ibismast::test
{

/// Creates the application object that Qt's event loop needs, once per program.
inline void ensureApplication()
{
    static int argc = 1;
    static char name[] = "UnitTests";
    static char *argv[] = {name, nullptr};
    if (QCoreApplication::instance() == nullptr) {
        new QCoreApplication(argc, argv);
    }
}

/// Runs the event loop until @p condition holds.
inline void runUntil(const std::function<bool()> &condition)
{
    while (!condition()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
}

/// Base class that creates the application object before the members of a fixture.
struct WithApplication
{
    WithApplication()
    {
        ensureApplication();
    }
};

/// Outcome of one HTTP exchange.
struct Exchange
{
    int status = 0;
    QByteArray body;
    QNetworkReply::NetworkError error = QNetworkReply::NoError;

    [[nodiscard]] QJsonObject json() const
    {
        return QJsonDocument::fromJson(body).object();
    }
};

/// Client of a server that runs in the same event loop.
class HttpClient
{
public:
    explicit HttpClient(quint16 port) : m_base("http://127.0.0.1:" + QString::number(port)) { }

    QNetworkReply *start(const QString &path, const QByteArray &body, const QByteArray &method = "POST")
    {
        QNetworkRequest request(QUrl(m_base + path));
        request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
        return sendOnce(m_manager, request, method, body);
    }

    static Exchange finish(QNetworkReply *reply)
    {
        runUntil([reply] {
            return reply->isFinished();
        });
        const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        Exchange exchange {status, reply->readAll(), reply->error()};
        reply->deleteLater();
        return exchange;
    }

    Exchange post(const QString &path, const QJsonObject &body)
    {
        return finish(start(path, QJsonDocument(body).toJson()));
    }

    Exchange get(const QString &path)
    {
        return finish(start(path, {}, "GET"));
    }

private:
    QString m_base;
    QNetworkAccessManager m_manager;
};

} // namespace ibismast::test
