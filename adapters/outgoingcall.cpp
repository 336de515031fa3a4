#include "adapters/outgoingcall.h"

#include <QtNetwork/QNetworkProxy>

namespace ibismast
{

namespace
{

constexpr std::chrono::seconds ConnectTimeout {2};
constexpr qint64 ReadBytes = qint64 {256} * 1024;
/// A stream of answers may last long; only one line or chunk of it is held at a time.
/// Largest body that is collected where no handler takes its parts.
constexpr std::size_t MaxCollectedBytes = std::size_t {16} * 1024 * 1024;
constexpr HttpMessageLimits AnswerLimits {16 * 1024, std::uint64_t {1} << 40U};

} // namespace

OutgoingCall::OutgoingCall(const HttpEndpoint &endpoint, const QByteArray &method, const QByteArray &target)
    : m_endpoint(endpoint)
    , m_head(method + ' ' + target + " HTTP/1.1\r\nHost: " + endpoint.address.toString().toUtf8() + ':'
             + QByteArray::number(endpoint.port) + "\r\nConnection: close\r\n")
    , m_parser(std::make_unique<HttpMessageParser>(HttpMessageKind::Response, AnswerLimits))
{
    m_socket.setProxy(QNetworkProxy::NoProxy);
    m_socket.setReadBufferSize(ReadBytes);
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] {
        end(Error {ResultCode::DeadlineExceeded, "the upstream did not answer in time", std::nullopt});
    });
    connect(&m_socket, &QTcpSocket::connected, this, &OutgoingCall::onConnected);
    connect(&m_socket, &QTcpSocket::readyRead, this, &OutgoingCall::onReadable);
    connect(&m_socket, &QTcpSocket::bytesWritten, this, [this](qint64 bytes) {
        m_unwritten -= bytes;
    });
    connect(&m_socket, &QTcpSocket::disconnected, this, &OutgoingCall::onDisconnected);
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError error) {
        if (error != QAbstractSocket::RemoteHostClosedError) {
            end(Error {ResultCode::UpstreamFailed, m_socket.errorString().toStdString(), std::nullopt});
        }
    });
}

OutgoingCall::~OutgoingCall()
{
    m_socket.disconnect(this);
}

void OutgoingCall::setHeader(const QByteArray &name, const QByteArray &value)
{
    m_head += name + ": " + value + "\r\n";
}

void OutgoingCall::setBody(const QByteArray &contentType, QByteArray body)
{
    if (!contentType.isEmpty()) {
        setHeader("Content-Type", contentType);
    }
    m_body = std::move(body);
}

void OutgoingCall::setTimeout(Duration timeout)
{
    m_timeout = timeout;
}

void OutgoingCall::setBodyHandler(BodyHandler handler)
{
    m_bodyHandler = std::move(handler);
}

void OutgoingCall::start(EndHandler handler)
{
    m_endHandler = std::move(handler);
    const Duration limit = m_timeout ? std::min<Duration>(*m_timeout, ConnectTimeout) : Duration(ConnectTimeout);
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(limit));
    m_socket.connectToHost(m_endpoint.address, m_endpoint.port);
}

void OutgoingCall::abandon()
{
    if (!m_ended) {
        m_ended = true;
        m_timer.stop();
        m_socket.abort();
        deleteLater();
    }
}

void OutgoingCall::setPaused(bool paused)
{
    m_paused = paused;
    if (!paused) {
        onReadable();
    }
}

void OutgoingCall::onConnected()
{
    m_connected = true;
    m_timer.stop();
    if (m_timeout) {
        m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(*m_timeout));
    }
    m_head += "Content-Length: " + QByteArray::number(m_body.size()) + "\r\n\r\n";
    m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_unwritten = m_head.size() + m_body.size();
    m_socket.write(m_head);
    m_socket.write(m_body);
    m_body = QByteArray();
}

void OutgoingCall::onReadable()
{
    while (!m_paused && !m_ended && m_socket.bytesAvailable() > 0) {
        const QByteArray bytes = m_socket.read(ReadBytes);
        parse({bytes.constData(), static_cast<std::size_t>(bytes.size())});
    }
    if (!m_paused && !m_ended && m_socket.state() == QAbstractSocket::UnconnectedState) {
        onDisconnected();
    }
}

void OutgoingCall::parse(std::string_view bytes)
{
    while (!bytes.empty() && !m_ended) {
        const Result<std::size_t> used = m_parser->consume(bytes);
        if (const Error *error = errorOf(used)) {
            end(Error {ResultCode::UpstreamFailed, "the answer is malformed: " + error->message, std::nullopt});
            return;
        }
        bytes.remove_prefix(std::get<std::size_t>(used));
        if (!m_parser->headDone()) {
            continue;
        }
        const HttpHead head = m_parser->head();
        if (m_parser->done() && head.status >= 100 && head.status < 200) {
            // An interim answer; the final one follows.
            m_parser = std::make_unique<HttpMessageParser>(HttpMessageKind::Response, AnswerLimits);
            continue;
        }
        std::string part = m_parser->takeBody();
        if (!m_bodyHandler) {
            m_collected += part;
            if (m_collected.size() > MaxCollectedBytes) {
                m_collected.clear();
                end(Error {ResultCode::UpstreamFailed, "the answer exceeds the size limit", std::nullopt});
                return;
            }
        } else if (!part.empty()) {
            m_bodyHandler(head, std::move(part));
        }
        if (m_parser->done()) {
            end(std::nullopt);
        }
    }
}

void OutgoingCall::onDisconnected()
{
    if (m_ended || m_paused) {
        return;
    }
    if (m_socket.bytesAvailable() > 0) {
        onReadable();
        return;
    }
    // QTcpSocket reports a reset as an orderly end. An upstream that ends its connection while the request is still
    // being written has reset it, so an answer without a length may be cut.
    const bool whole = m_unwritten == 0 && m_parser->started() && errorOf(m_parser->finish()) == nullptr;
    if (whole) {
        end(std::nullopt);
    } else {
        end(Error {ResultCode::UpstreamFailed, "the upstream closed the connection", std::nullopt});
    }
}

void OutgoingCall::end(std::optional<Error> error)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_timer.stop();
    CallEnd result;
    result.error = std::move(error);
    result.mayHaveBeenSent = m_connected;
    if (m_parser->headDone()) {
        result.head = m_parser->head();
        result.body = std::move(m_collected) + m_parser->takeBody();
    }
    m_socket.abort();
    deleteLater();
    if (m_endHandler) {
        const EndHandler handler = std::exchange(m_endHandler, nullptr);
        handler(std::move(result));
    }
}

} // namespace ibismast
