#include "adapters/peerconnection.h"

namespace ibismast
{

namespace
{

constexpr qint64 ReadBytes = qint64 {256} * 1024;

/// True for messages that begin work and may be refused without harm while the peer is behind. Messages about work in
/// progress must arrive, or the peers would disagree about its state.
bool beginsWork(const PeerMessage &message)
{
    return std::holds_alternative<DispatchRequest>(message) || std::holds_alternative<OperationCall>(message)
        || std::holds_alternative<ReserveMemory>(message) || std::holds_alternative<IssueOperations>(message);
}

} // namespace

PeerConnection::PeerConnection(QTcpSocket *socket, const PeerConnectionSettings &settings)
    : m_settings(settings), m_socket(socket), m_reader(settings.frames)
{
    m_socket->setParent(this);
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket->setReadBufferSize(ReadBytes);
    connect(m_socket, &QTcpSocket::readyRead, this, &PeerConnection::onReadable);
    connect(m_socket, &QTcpSocket::bytesWritten, this, &PeerConnection::onWritten);
    connect(m_socket, &QTcpSocket::disconnected, this, [this] {
        close(m_socket->errorString());
    });
}

SendOutcome PeerConnection::send(const PeerFrame &frame)
{
    if (m_closed) {
        return SendOutcome::NotConnected;
    }
    const auto queued = static_cast<std::size_t>(m_socket->bytesToWrite());
    if (queued > m_settings.maxQueuedBytes && beginsWork(frame.message)) {
        return SendOutcome::QueueFull;
    }
    const Result<std::string> bytes = encodeFrame(frame, m_settings.frames);
    if (errorOf(bytes) != nullptr) {
        return SendOutcome::TooLarge;
    }
    const auto &text = std::get<std::string>(bytes);
    if (queued + text.size() > 2 * m_settings.maxQueuedBytes) {
        close(QStringLiteral("the peer reads too slowly"));
        return SendOutcome::NotConnected;
    }
    m_socket->write(text.data(), static_cast<qint64>(text.size()));
    if (!m_congested && queued + text.size() > m_settings.congestedBytes) {
        m_congested = true;
        Q_EMIT congestionChanged(true);
    }
    return SendOutcome::Sent;
}

bool PeerConnection::congested() const
{
    return m_congested;
}

qint64 PeerConnection::queuedBytes() const
{
    return m_socket->bytesToWrite();
}

void PeerConnection::close(const QString &reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_socket->disconnect(this);
    m_socket->abort();
    Q_EMIT closed(reason);
}

void PeerConnection::onReadable()
{
    while (!m_closed && m_socket->bytesAvailable() > 0) {
        const QByteArray bytes = m_socket->read(ReadBytes);
        m_reader.append({bytes.constData(), static_cast<std::size_t>(bytes.size())});
        while (!m_closed) {
            const std::optional<Result<PeerFrame>> next = m_reader.next();
            if (!next) {
                break;
            }
            if (const Error *error = errorOf(*next)) {
                close(QString::fromStdString(error->message));
                return;
            }
            Q_EMIT frameReceived(std::get<PeerFrame>(*next));
        }
    }
}

void PeerConnection::onWritten()
{
    if (m_congested && static_cast<std::size_t>(m_socket->bytesToWrite()) < m_settings.congestedBytes / 2) {
        m_congested = false;
        Q_EMIT congestionChanged(false);
    }
}

} // namespace ibismast
