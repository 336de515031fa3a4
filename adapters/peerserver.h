#pragma once

#include "adapters/peerconnection.h"

#include <QtNetwork/QSslConfiguration>
#include <QtNetwork/QTcpServer>

#include <map>
#include <optional>
#include <set>

namespace ibismast
{

/// Accepts the connections of peers and finds each by the instance that its frames name.
class PeerServer : public QObject
{
    Q_OBJECT

public:
    explicit PeerServer(const PeerConnectionSettings &settings);
    ~PeerServer() override;

    /// Encrypts connections that are accepted from now on.
    void setTls(const QSslConfiguration &configuration);
    /// Listens on @p address; port 0 lets the system choose. Fails with `SettingsInvalid`.
    [[nodiscard]] Result<Success> listen(const QHostAddress &address, quint16 port);
    [[nodiscard]] quint16 port() const;
    /// Stops accepting; open connections remain.
    void stopAccepting();
    /// Closes all connections without `peerDisconnected`.
    void closeAll();

    /// Sends @p frame to the peer @p receiver.
    [[nodiscard]] SendOutcome send(const InstanceId &receiver, const PeerFrame &frame);

    /// Bytes that wait to be sent to all peers.
    [[nodiscard]] qint64 queuedBytes() const;

Q_SIGNALS:
    void frameReceived(const ibismast::PeerFrame &frame);
    void peerDisconnected(const ibismast::InstanceId &peer, const QString &reason);
    /// The peer of incarnation @p incarnation has fallen behind or has caught up.
    void congestionChanged(ibismast::Incarnation incarnation, bool congested);

private:
    class Listener;
    struct Peer
    {
        PeerConnection *connection = nullptr;
        Incarnation incarnation;
    };

    void accept(qintptr handle);
    void onFrame(PeerConnection *connection, const PeerFrame &frame);
    void onClosed(PeerConnection *connection, const QString &reason);

    PeerConnectionSettings m_settings;
    std::unique_ptr<Listener> m_listener;
    std::optional<QSslConfiguration> m_tls;
    std::set<PeerConnection *> m_connections;
    std::map<InstanceId, Peer> m_peers;
};

} // namespace ibismast
