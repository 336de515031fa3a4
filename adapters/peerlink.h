#pragma once

#include "adapters/peerconnection.h"

#include "ibismast/core/seededrandom.h"

#include <QtCore/QTimer>
#include <QtNetwork/QSslConfiguration>

namespace ibismast
{

/// Settings of a link to a peer.
struct PeerLinkSettings
{
    PeerConnectionSettings connection;
    /// First pause before connecting again; it doubles with each failure up to `maxBackoff`. A random part of up to
    /// half of it is left out, so that the instances do not all connect at once after an outage.
    Duration backoff = std::chrono::milliseconds(50);
    Duration maxBackoff = std::chrono::seconds(2);
    /// Time for one attempt to connect.
    Duration connectTimeout = std::chrono::seconds(2);
};

/// Returns the pause before attempt number @p failures to connect again.
[[nodiscard]] Duration reconnectPause(const PeerLinkSettings &settings, unsigned failures, SeededRandom &random);

/// Connection to one peer that is established again after it has ended.
class PeerLink : public QObject
{
    Q_OBJECT

public:
    PeerLink(InstanceId peer, const PeerLinkSettings &settings, std::uint64_t seed);
    ~PeerLink() override;

    /// Encrypts connections from now on; the peer's certificate must be valid for @p peerName.
    void setTls(const QSslConfiguration &configuration, const QString &peerName);
    /// Starts to connect to @p address.
    void open(const QHostAddress &address, quint16 port);
    /// Ends the connection without `disconnected` and stops connecting.
    void stop();

    [[nodiscard]] const InstanceId &peer() const;
    [[nodiscard]] bool isConnected() const;
    [[nodiscard]] SendOutcome send(const PeerFrame &frame);

Q_SIGNALS:
    void connected();
    /// An attempt to connect has failed; the next one follows after a pause.
    void failed(const QString &reason);
    void disconnected(const QString &reason);
    void frameReceived(const ibismast::PeerFrame &frame);

private:
    void tryConnect();
    void onConnected();
    void onFailed();
    void retryLater();

    InstanceId m_peer;
    PeerLinkSettings m_settings;
    SeededRandom m_random;
    QTimer m_timer;
    std::optional<QSslConfiguration> m_tls;
    QString m_peerName;
    QHostAddress m_address;
    quint16 m_port = 0;
    /// Socket that is being connected.
    QTcpSocket *m_socket = nullptr;
    PeerConnection *m_connection = nullptr;
    unsigned m_failures = 0;
};

} // namespace ibismast
