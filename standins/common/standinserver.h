#pragma once

#include "standins/common/faultplan.h"
#include "standins/common/standinreply.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>

#include <optional>

namespace ibismast
{

/// Request to a stand-in, independent of the connection's life.
struct StandinRequest
{
    QByteArray method;
    QByteArray path;
    QByteArray query;
    StandinReply::Headers headers;
    QByteArray body;

    /// Returns the value of header @p name, compared without case; empty if it is missing.
    [[nodiscard]] QByteArray header(const QByteArray &name) const;
    /// Returns the body as a JSON object, or nothing if it is none.
    [[nodiscard]] std::optional<QJsonObject> json() const;
};

using StandinReplyPointer = std::shared_ptr<StandinReply>;

/// HTTP server on loopback with a control path that injects faults.
///
/// `POST /control` takes the object of `parseFault`, `{"clear": true}` or a command of the server; `GET /control`
/// returns the server's counters. Faults never apply to `/control`.
class StandinServer : public QAbstractHttpServer
{
public:
    /// Listens on 127.0.0.1; @p port 0 lets the system choose. Returns the port, or 0 if it is not available.
    quint16 start(quint16 port);
    /// Carries out a control command, as `POST /control` does.
    Result<QJsonObject> execute(const QJsonObject &command);

protected:
    /// Answers @p request through @p reply, at once or later.
    virtual void handle(const StandinRequest &request, const StandinReplyPointer &reply) = 0;
    /// Carries out a command that is not a common fault. The default knows none.
    virtual Result<QJsonObject> executeOwn(const QJsonObject &command);
    /// Counters of the server.
    [[nodiscard]] virtual QJsonObject status() const;

private:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void handleControl(const StandinRequest &request, StandinReply &reply);

    FaultPlan m_faults;
    StandinReplyPointer m_crossing;
};

/// Time on the process's monotonic clock.
[[nodiscard]] TimePoint monotonicNow();

} // namespace ibismast
