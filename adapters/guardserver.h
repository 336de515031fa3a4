#pragma once

#include "adapters/guardedsocket.h"

#include <QtCore/QTimer>
#include <QtNetwork/QSslConfiguration>
#include <QtNetwork/QTcpServer>

#include <functional>
#include <set>

namespace ibismast
{

/// Accepts callers' connections and hands them to Qt's HTTP server as `GuardedSocket`.
class GuardServer : public QTcpServer
{
    Q_OBJECT

public:
    /// @p clock replaces the process clock in tests.
    explicit GuardServer(const HttpGuardSettings &settings, std::function<TimePoint()> clock);
    ~GuardServer() override;

    /// Encrypts connections that are accepted from now on.
    void setTls(const QSslConfiguration &configuration);
    /// Refuses or closes connections whose phase has lasted too long. Called by a timer.
    void enforceTimes();
    /// Closes the connections on which no request is being read or answered.
    void closeIdle();
    /// Number of open connections.
    [[nodiscard]] std::size_t connectionCount() const;
    /// Number of connections on which an answer is due or has not been sent completely.
    [[nodiscard]] std::size_t answeringCount() const;

protected:
    void incomingConnection(qintptr handle) override;

private:
    HttpGuardSettings m_settings;
    std::function<TimePoint()> m_clock;
    std::optional<QSslConfiguration> m_tls;
    std::set<GuardedSocket *> m_sockets;
    QTimer m_timer;
};

} // namespace ibismast
