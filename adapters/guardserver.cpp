#include "adapters/guardserver.h"

#include <QtNetwork/QSslSocket>

#include <algorithm>

namespace ibismast
{

namespace
{

/// Precision of the time limits.
constexpr std::chrono::milliseconds CheckInterval {100};

} // namespace

GuardServer::GuardServer(const HttpGuardSettings &settings, std::function<TimePoint()> clock)
    : m_settings(settings), m_clock(std::move(clock))
{
    connect(&m_timer, &QTimer::timeout, this, &GuardServer::enforceTimes);
    m_timer.start(CheckInterval);
}

GuardServer::~GuardServer()
{
    // Deletes the sockets that nobody has taken while the members that their signals use still exist. A socket that has
    // disconnected is no longer in m_sockets but may still wait to be taken.
    close();
    for (GuardedSocket *socket : m_sockets) {
        socket->disconnect(this);
    }
}

void GuardServer::setTls(const QSslConfiguration &configuration)
{
    m_tls = configuration;
}

void GuardServer::enforceTimes()
{
    const TimePoint now = m_clock();
    // A closed socket removes itself from the set.
    const std::set<GuardedSocket *> sockets = m_sockets;
    for (GuardedSocket *socket : sockets) {
        socket->enforceTimes(now);
    }
}

void GuardServer::closeIdle()
{
    const std::set<GuardedSocket *> sockets = m_sockets;
    for (GuardedSocket *socket : sockets) {
        socket->closeIfIdle();
    }
}

std::size_t GuardServer::connectionCount() const
{
    return m_sockets.size();
}

std::size_t GuardServer::answeringCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_sockets, [](const GuardedSocket *socket) {
        return socket->isAnswering();
    }));
}

void GuardServer::incomingConnection(qintptr handle)
{
    QTcpSocket *inner = nullptr;
    if (m_tls) {
        auto *encrypted = new QSslSocket;
        encrypted->setSslConfiguration(*m_tls);
        inner = encrypted;
    } else {
        inner = new QTcpSocket;
    }
    if (!inner->setSocketDescriptor(handle) || m_sockets.size() >= m_settings.maxConnections) {
        // Closing without an answer: an answer would cost as much as a connection that is served.
        inner->abort();
        delete inner;
        return;
    }
    auto *socket = new GuardedSocket(inner, m_settings, m_clock());
    m_sockets.insert(socket);
    connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
        m_sockets.erase(socket);
    });
    connect(socket, &QObject::destroyed, this, [this, socket] {
        m_sockets.erase(socket);
    });
    if (auto *encrypted = qobject_cast<QSslSocket *>(inner)) {
        encrypted->startServerEncryption();
    }
    addPendingConnection(socket);
}

} // namespace ibismast
