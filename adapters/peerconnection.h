#pragma once

#ifndef Q_MOC_RUN // moc of Qt 6.4 cannot parse the standard headers that these include.
#include "wire/framecodec.h"
#endif

#include <QtNetwork/QTcpSocket>

namespace ibismast
{

/// Limits of the connection to a peer.
struct PeerConnectionSettings
{
    FrameLimits frames;
    /// Bytes that may wait to be sent before new work is refused. Twice as many end the connection.
    std::size_t maxQueuedBytes = std::size_t {64} * 1024 * 1024;
    /// Bytes waiting to be sent above which the connection reports congestion, until half of them are gone.
    std::size_t congestedBytes = std::size_t {1024} * 1024;
};

/// Result of sending a message to a peer.
enum class SendOutcome : std::uint8_t {
    Sent,
    /// The peer reads too slowly. The message was not sent.
    QueueFull,
    /// There is no connection. The message was not sent.
    NotConnected,
    /// The message exceeds the frame limit. It was not sent.
    TooLarge,
};

/// Connection that carries frames in both directions.
class PeerConnection : public QObject
{
    Q_OBJECT

public:
    /// Takes ownership of @p socket, which is connected.
    PeerConnection(QTcpSocket *socket, const PeerConnectionSettings &settings);

    /// Queues @p frame for sending.
    [[nodiscard]] SendOutcome send(const PeerFrame &frame);
    /// True while more bytes wait than the peer has read in time.
    [[nodiscard]] bool congested() const;
    /// Bytes that wait to be sent.
    [[nodiscard]] qint64 queuedBytes() const;
    /// Ends the connection; `closed` is emitted.
    void close(const QString &reason);

Q_SIGNALS:
    void frameReceived(const ibismast::PeerFrame &frame);
    void congestionChanged(bool congested);
    /// Emitted once; no other signal follows.
    void closed(const QString &reason);

private:
    void onReadable();
    void onWritten();

    PeerConnectionSettings m_settings;
    QTcpSocket *m_socket;
    FrameReader m_reader;
    bool m_congested = false;
    bool m_closed = false;
};

} // namespace ibismast
