#include "adapters/peerserver.h"

#include <QtNetwork/QSslSocket>

#include <algorithm>

namespace ibismast
{

/// Hands accepted descriptors to the server, which chooses the kind of socket.
class PeerServer::Listener : public QTcpServer
{
public:
    explicit Listener(PeerServer &owner) : m_owner(owner) { }

protected:
    void incomingConnection(qintptr handle) override
    {
        m_owner.accept(handle);
    }

private:
    PeerServer &m_owner;
};

PeerServer::PeerServer(const PeerConnectionSettings &settings)
    : m_settings(settings), m_listener(std::make_unique<Listener>(*this))
{
}

PeerServer::~PeerServer()
{
    closeAll();
}

void PeerServer::setTls(const QSslConfiguration &configuration)
{
    m_tls = configuration;
}

Result<Success> PeerServer::listen(const QHostAddress &address, quint16 port)
{
    if (!m_listener->listen(address, port)) {
        return Error {ResultCode::SettingsInvalid,
                      "cannot listen on " + address.toString().toStdString() + ':' + std::to_string(port) + ": "
                          + m_listener->errorString().toStdString(),
                      std::nullopt};
    }
    return Success {};
}

quint16 PeerServer::port() const
{
    return m_listener->serverPort();
}

void PeerServer::stopAccepting()
{
    m_listener->close();
}

void PeerServer::closeAll()
{
    m_peers.clear();
    for (PeerConnection *connection : std::exchange(m_connections, {})) {
        connection->disconnect(this);
        connection->close(QStringLiteral("this instance stops"));
        connection->deleteLater();
    }
}

SendOutcome PeerServer::send(const InstanceId &receiver, const PeerFrame &frame)
{
    const auto peer = m_peers.find(receiver);
    return peer == m_peers.end() ? SendOutcome::NotConnected : peer->second.connection->send(frame);
}

qint64 PeerServer::queuedBytes() const
{
    qint64 sum = 0;
    for (const PeerConnection *connection : m_connections) {
        sum += connection->queuedBytes();
    }
    return sum;
}

void PeerServer::accept(qintptr handle)
{
    QTcpSocket *socket = nullptr;
    if (m_tls) {
        auto *encrypted = new QSslSocket;
        encrypted->setSslConfiguration(*m_tls);
        socket = encrypted;
    } else {
        socket = new QTcpSocket;
    }
    if (!socket->setSocketDescriptor(handle)) {
        delete socket;
        return;
    }
    if (auto *encrypted = qobject_cast<QSslSocket *>(socket)) {
        encrypted->startServerEncryption();
    }
    auto *connection = new PeerConnection(socket, m_settings);
    m_connections.insert(connection);
    connect(connection, &PeerConnection::frameReceived, this, [this, connection](const PeerFrame &frame) {
        onFrame(connection, frame);
    });
    connect(connection, &PeerConnection::closed, this, [this, connection](const QString &reason) {
        onClosed(connection, reason);
    });
    connect(connection, &PeerConnection::congestionChanged, this, [this, connection](bool congested) {
        for (const auto &[id, peer] : m_peers) {
            if (peer.connection == connection) {
                Q_EMIT congestionChanged(peer.incarnation, congested);
            }
        }
    });
}

void PeerServer::onFrame(PeerConnection *connection, const PeerFrame &frame)
{
    Peer &peer = m_peers[frame.sender];
    if (peer.connection != connection && peer.connection != nullptr) {
        if (frame.incarnation < peer.incarnation) {
            connection->close(QStringLiteral("a newer incarnation of the peer is connected"));
            return;
        }
        // The peer has connected again before the end of its old connection was noticed.
        PeerConnection *old = std::exchange(peer.connection, connection);
        peer.incarnation = frame.incarnation;
        old->close(QStringLiteral("the peer has connected again"));
    }
    peer.connection = connection;
    peer.incarnation = frame.incarnation;
    Q_EMIT frameReceived(frame);
}

void PeerServer::onClosed(PeerConnection *connection, const QString &reason)
{
    m_connections.erase(connection);
    connection->deleteLater();
    const auto peer = std::ranges::find_if(m_peers, [connection](const auto &entry) {
        return entry.second.connection == connection;
    });
    if (peer == m_peers.end()) {
        return;
    }
    const InstanceId id = peer->first;
    const Incarnation incarnation = peer->second.incarnation;
    m_peers.erase(peer);
    if (connection->congested()) {
        Q_EMIT congestionChanged(incarnation, false);
    }
    Q_EMIT peerDisconnected(id, reason);
}

} // namespace ibismast
