#include "adapters/peerlink.h"

#include <QtNetwork/QNetworkProxy>
#include <QtNetwork/QSslSocket>

#include <algorithm>

namespace ibismast
{

Duration reconnectPause(const PeerLinkSettings &settings, unsigned failures, SeededRandom &random)
{
    const unsigned doublings = std::min(failures, 20U);
    const Duration longest = std::min(settings.backoff * (1 << doublings), settings.maxBackoff);
    return fromSeconds(toSeconds(longest) * (1.0 - 0.5 * random.uniform()));
}

PeerLink::PeerLink(InstanceId peer, const PeerLinkSettings &settings, std::uint64_t seed)
    : m_peer(std::move(peer)), m_settings(settings), m_random(seed)
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] {
        if (m_socket != nullptr) {
            onFailed();
        } else {
            tryConnect();
        }
    });
}

PeerLink::~PeerLink()
{
    stop();
}

void PeerLink::setTls(const QSslConfiguration &configuration, const QString &peerName)
{
    m_tls = configuration;
    m_peerName = peerName;
}

void PeerLink::open(const QHostAddress &address, quint16 port)
{
    m_address = address;
    m_port = port;
    tryConnect();
}

void PeerLink::stop()
{
    m_timer.stop();
    if (m_socket != nullptr) {
        m_socket->disconnect(this);
        m_socket->abort();
        std::exchange(m_socket, nullptr)->deleteLater();
    }
    if (m_connection != nullptr) {
        PeerConnection *connection = std::exchange(m_connection, nullptr);
        connection->disconnect(this);
        connection->close(QStringLiteral("the link is stopped"));
        connection->deleteLater();
    }
}

const InstanceId &PeerLink::peer() const
{
    return m_peer;
}

bool PeerLink::isConnected() const
{
    return m_connection != nullptr;
}

SendOutcome PeerLink::send(const PeerFrame &frame)
{
    return m_connection != nullptr ? m_connection->send(frame) : SendOutcome::NotConnected;
}

void PeerLink::tryConnect()
{
    auto *encrypted = m_tls ? new QSslSocket : nullptr;
    m_socket = encrypted != nullptr ? encrypted : new QTcpSocket;
    m_socket->setParent(this);
    m_socket->setProxy(QNetworkProxy::NoProxy);
    connect(m_socket, &QTcpSocket::errorOccurred, this, &PeerLink::onFailed);
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.connectTimeout));
    if (encrypted != nullptr) {
        encrypted->setSslConfiguration(*m_tls);
        encrypted->setPeerVerifyName(m_peerName);
        connect(encrypted, &QSslSocket::encrypted, this, &PeerLink::onConnected);
        encrypted->connectToHostEncrypted(m_address.toString(), m_port, m_peerName);
    } else {
        connect(m_socket, &QTcpSocket::connected, this, &PeerLink::onConnected);
        m_socket->connectToHost(m_address, m_port);
    }
}

void PeerLink::onConnected()
{
    m_timer.stop();
    m_failures = 0;
    m_socket->disconnect(this);
    m_connection = new PeerConnection(std::exchange(m_socket, nullptr), m_settings.connection);
    m_connection->setParent(this);
    connect(m_connection, &PeerConnection::frameReceived, this, &PeerLink::frameReceived);
    connect(m_connection, &PeerConnection::closed, this, [this](const QString &reason) {
        std::exchange(m_connection, nullptr)->deleteLater();
        retryLater();
        Q_EMIT disconnected(reason);
    });
    Q_EMIT connected();
}

void PeerLink::onFailed()
{
    const QString reason = m_socket->errorString();
    m_socket->disconnect(this);
    m_socket->abort();
    std::exchange(m_socket, nullptr)->deleteLater();
    retryLater();
    Q_EMIT failed(reason);
}

void PeerLink::retryLater()
{
    const Duration pause = reconnectPause(m_settings, m_failures++, m_random);
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(pause));
}

} // namespace ibismast
