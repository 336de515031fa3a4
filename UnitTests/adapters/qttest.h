#pragma once

#include <QtCore/QCoreApplication>
#include <QtCore/QElapsedTimer>
#include <QtNetwork/QTcpSocket>

#include <catch2/catch.hpp>

#include <functional>
#include <string>

namespace ibismast
{

/// Creates the application object that Qt's event loop needs, once for all tests.
inline void needEventLoop()
{
    static int count = 1;
    static char name[] = "UnitTests";
    static char *arguments[] = {name, nullptr};
    static QCoreApplication application(count, arguments);
}

/// Base of fixtures whose members need the application object.
struct NeedsEventLoop
{
    NeedsEventLoop()
    {
        needEventLoop();
    }
};

/// Runs the event loop until @p condition holds. The time limit only ends a test that has failed.
inline bool runUntil(const std::function<bool()> &condition)
{
    QElapsedTimer timer;
    timer.start();
    while (!condition()) {
        if (timer.hasExpired(20'000)) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 10);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

/// Client that sends bytes as they are and keeps what it receives.
class RawClient
{
public:
    explicit RawClient(quint16 port)
    {
        needEventLoop();
        QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket, [this] {
            m_received += m_socket.readAll().toStdString();
        });
        m_socket.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
    }
    void send(const std::string &bytes)
    {
        m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
    [[nodiscard]] const std::string &received() const
    {
        return m_received;
    }
    [[nodiscard]] bool waitFor(const std::string &text)
    {
        return runUntil([this, &text] {
            return m_received.find(text) != std::string::npos;
        });
    }
    [[nodiscard]] bool waitForClose()
    {
        return runUntil([this] {
            return m_socket.state() == QAbstractSocket::UnconnectedState;
        });
    }
    void leave()
    {
        m_socket.abort();
    }
    QTcpSocket &socket()
    {
        return m_socket;
    }

private:
    QTcpSocket m_socket;
    std::string m_received;
};

} // namespace ibismast
