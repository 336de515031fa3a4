#include "adapters/operatorconnection.h"

#include "adapters/operatordriver.h"
#include "adapters/plumbing/logging.h"
#include "wire/operatorcodec.h"

#include <QtCore/QPointer>
#include <QtCore/QtEndian>
#include <QtNetwork/QSslSocket>

namespace ibismast
{

namespace
{

constexpr std::size_t LengthBytes = sizeof(quint32);

/// Returns the bytes of answers that the peer has not taken yet.
qint64 unsentBytes(const QTcpSocket &socket)
{
    const auto *encrypted = qobject_cast<const QSslSocket *>(&socket);
    return socket.bytesToWrite() + (encrypted != nullptr ? encrypted->encryptedBytesToWrite() : 0);
}

} // namespace

OperatorConnection::OperatorConnection(QTcpSocket *socket,
                                       const OperatorConnectionSettings &settings,
                                       OperatorDriver &driver,
                                       std::function<std::optional<OperatorIdentity>()> identity,
                                       std::function<void()> onClosed)
    : m_socket(socket), m_settings(settings), m_driver(driver), m_identity(std::move(identity))
{
    m_socket->setParent(this);
    // Bytes that are not read yet wait in the kernel, so that a sender of an oversized frame is held up.
    const std::size_t longest = LengthBytes + m_settings.maxFrameBytes;
    m_socket->setReadBufferSize(static_cast<qint64>(longest));
    connect(m_socket, &QTcpSocket::readyRead, this, &OperatorConnection::read);
    connect(m_socket, &QTcpSocket::bytesWritten, this, &OperatorConnection::read);
    if (const auto *encrypted = qobject_cast<QSslSocket *>(m_socket)) {
        connect(encrypted, &QSslSocket::encryptedBytesWritten, this, &OperatorConnection::read);
    }
    // Queued, since the owner deletes the connection.
    connect(m_socket, &QTcpSocket::disconnected, this, std::move(onClosed), Qt::QueuedConnection);
    m_idleTimer.setSingleShot(true);
    m_idleTimer.callOnTimeout(this, [this] {
        m_socket->abort();
    });
    m_idleTimer.start(std::chrono::ceil<std::chrono::milliseconds>(m_settings.idleTimeout));
}

OperatorConnection::~OperatorConnection()
{
    m_socket->disconnect(this);
}

void OperatorConnection::read()
{
    // A client that does not read its answers gets no further ones, so that they cannot pile up here.
    if (m_answering || unsentBytes(*m_socket) > 0) {
        return;
    }
    m_buffer +=
        m_socket->read(static_cast<qint64>(LengthBytes + m_settings.maxFrameBytes - m_buffer.size())).toStdString();
    if (m_buffer.size() < LengthBytes) {
        return;
    }
    const std::size_t length = qFromBigEndian<quint32>(m_buffer.data());
    if (length == 0 || length > m_settings.maxFrameBytes) {
        refuse("a frame has " + std::to_string(length) + " bytes");
        return;
    }
    if (m_buffer.size() < LengthBytes + length) {
        return;
    }
    const std::string frame = m_buffer.substr(LengthBytes, length);
    m_buffer.erase(0, LengthBytes + length);
    m_idleTimer.stop();
    handleFrame(frame);
}

void OperatorConnection::handleFrame(std::string_view frame)
{
    const std::optional<OperatorIdentity> identity = m_identity();
    if (!identity) {
        refuse("the client certificate names no operator or no role");
        return;
    }
    Result<DecodedOperatorCall> decoded = decodeOperatorCall(frame);
    if (const Error *error = errorOf(decoded)) {
        refuse(error->message);
        return;
    }
    auto &call = std::get<DecodedOperatorCall>(decoded);
    m_answering = true;
    // The operator may leave before the answer; the change goes on.
    m_driver.call(*identity,
                  std::move(call.request),
                  [self = QPointer<OperatorConnection>(this), method = call.method, sequence = call.sequence](
                      const OperatorReply &reply) {
                      if (self) {
                          self->m_answering = false;
                          self->send(encodeOperatorAnswer(method, sequence, reply));
                      }
                  });
}

void OperatorConnection::send(const std::string &frame)
{
    m_socket->write(frame.data(), static_cast<qint64>(frame.size()));
    m_idleTimer.start();
}

void OperatorConnection::refuse(const std::string &reason)
{
    logEvent(spdlog::level::warn,
             "operator_refused",
             {{"peer", m_socket->peerAddress().toString().toStdString()}, {"reason", reason}});
    m_socket->abort();
}

} // namespace ibismast
