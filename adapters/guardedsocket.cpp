#include "adapters/guardedsocket.h"

#include "adapters/errorbody.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace ibismast
{

namespace
{

/// Bytes that the operating system may hand over before they are parsed; the rest waits in the kernel.
constexpr qint64 ReadBufferBytes = qint64 {256} * 1024;
constexpr std::array<std::string_view, 6> KnownMethods {"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
/// Headers that belong to the connection and are dealt with here.
constexpr std::array<std::string_view, 6> ConnectionHeaders {
    "content-length", "transfer-encoding", "expect", "connection", "upgrade", "http2-settings"};

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return result;
}

Duration bodyTime(const HttpGuardSettings &settings, const HttpHead &head)
{
    // A chunked body has no length: it gets the time of the largest one.
    std::uint64_t size = settings.message.maxBodyBytes;
    const std::string length(head.header("content-length"));
    if (!length.empty()) {
        size = std::strtoull(length.c_str(), nullptr, 10);
    }
    return settings.bodyTimeout + std::chrono::seconds(size / settings.minBodyRate);
}

} // namespace

GuardedSocket::GuardedSocket(QTcpSocket *inner, const HttpGuardSettings &settings, TimePoint now)
    : m_settings(settings), m_inner(inner), m_now(now)
{
    m_inner->setParent(this);
    m_inner->setReadBufferSize(ReadBufferBytes);
    m_inner->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(m_inner, &QTcpSocket::readyRead, this, &GuardedSocket::onReadable);
    connect(m_inner, &QTcpSocket::disconnected, this, &GuardedSocket::onDisconnected);
    connect(m_inner, &QTcpSocket::bytesWritten, this, &GuardedSocket::bytesWritten);
    setPeerAddress(m_inner->peerAddress());
    setPeerPort(m_inner->peerPort());
    setSocketState(ConnectedState);
    setOpenMode(ReadWrite | Unbuffered);
    enter(Phase::Head, m_settings.headTimeout);
}

GuardedSocket::~GuardedSocket()
{
    m_inner->disconnect(this);
    setSocketState(UnconnectedState);
    setOpenMode(NotOpen);
}

const HttpHead &GuardedSocket::requestHead() const
{
    return m_head;
}

std::string GuardedSocket::takeRequestBody()
{
    return std::exchange(m_body, std::string());
}

void GuardedSocket::answerEnded()
{
    if (m_phase != Phase::Answering) {
        return;
    }
    std::string().swap(m_body);
    if (m_pipelined || m_inner->bytesAvailable() > 0) {
        refuse({ResultCode::UnsupportedPipelining, {}, std::nullopt});
    } else if (!m_head.keepAlive) {
        enter(Phase::Draining, m_settings.lingerTime);
        m_inner->disconnectFromHost();
    } else {
        enter(Phase::Idle, m_settings.idleTimeout);
    }
}

bool GuardedSocket::isAnswering() const
{
    return m_phase == Phase::Answering || m_inner->bytesToWrite() > 0;
}

void GuardedSocket::enforceTimes(TimePoint now)
{
    m_now = now;
    if (!m_limit || now < *m_limit) {
        return;
    }
    if (m_phase == Phase::Body || (m_phase == Phase::Head && m_parser && m_parser->started())) {
        refuse({ResultCode::RequestTimeout, {}, std::nullopt});
    } else {
        m_limit.reset();
        m_inner->disconnectFromHost();
    }
}

void GuardedSocket::closeIfIdle()
{
    if (m_phase == Phase::Idle || (m_phase == Phase::Head && !(m_parser && m_parser->started()))) {
        m_inner->disconnectFromHost();
    }
}

void GuardedSocket::disconnectFromHost()
{
    m_inner->disconnectFromHost();
}

void GuardedSocket::close()
{
    m_inner->disconnectFromHost();
}

qint64 GuardedSocket::bytesAvailable() const
{
    return QAbstractSocket::bytesAvailable() + m_toServer.size();
}

qint64 GuardedSocket::bytesToWrite() const
{
    return m_inner->bytesToWrite();
}

qint64 GuardedSocket::readData(char *data, qint64 maxSize)
{
    const qint64 size = std::min<qint64>(maxSize, m_toServer.size());
    std::memcpy(data, m_toServer.constData(), static_cast<std::size_t>(size));
    m_toServer.remove(0, size);
    return size;
}

qint64 GuardedSocket::writeData(const char *data, qint64 size)
{
    // The server may still answer after the caller has left; its bytes go nowhere.
    if (m_phase == Phase::Answering && m_inner->state() == ConnectedState) {
        m_inner->write(data, size);
    }
    return size;
}

void GuardedSocket::onReadable()
{
    if (m_reading) {
        return;
    }
    m_reading = true;
    std::array<char, 64 * std::size_t {1024}> buffer {};
    while (m_phase != Phase::Answering && m_inner->bytesAvailable() > 0) {
        const qint64 size = m_inner->read(buffer.data(), buffer.size());
        if (size <= 0) {
            break;
        }
        std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
        if (m_phase == Phase::Draining) {
            continue;
        }
        if (m_phase == Phase::Idle) {
            enter(Phase::Head, m_settings.headTimeout);
        }
        if (!m_parser || !m_parser->started()) {
            // Some clients end a body with an extra line break.
            bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
        }
        if (!m_parser) {
            m_parser = std::make_unique<HttpMessageParser>(HttpMessageKind::Request, m_settings.message);
        }
        const Result<std::size_t> used = m_parser->consume(bytes);
        if (const Error *error = errorOf(used)) {
            refuse(*error);
            continue;
        }
        if (m_parser->headDone() && !m_headChecked) {
            checkHead();
        }
        if (m_phase != Phase::Draining && m_parser->done()) {
            m_pipelined = std::get<std::size_t>(used) < bytes.size();
            passToServer();
        }
    }
    m_reading = false;
}

void GuardedSocket::checkHead()
{
    m_headChecked = true;
    m_head = m_parser->head();
    if (std::ranges::find(KnownMethods, m_head.method) == KnownMethods.end()) {
        refuse({ResultCode::MethodNotAllowed, "the method " + m_head.method + " is not supported", std::nullopt});
        return;
    }
    if (!m_head.target.starts_with('/')) {
        refuse({ResultCode::MalformedRequest, "the target must be a path", std::nullopt});
        return;
    }
    if (m_parser->done()) {
        return;
    }
    enter(Phase::Body, bodyTime(m_settings, m_head));
    if (lowerCase(m_head.header("expect")) == "100-continue") {
        m_inner->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void GuardedSocket::passToServer()
{
    m_body = m_parser->takeBody();
    m_parser.reset();
    m_headChecked = false;
    enter(Phase::Answering, std::nullopt);
    std::string head = m_head.method + ' ' + m_head.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : m_head.headers) {
        if (std::ranges::find(ConnectionHeaders, lowerCase(name)) == ConnectionHeaders.end()) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }
    head += "Content-Length: 0\r\n\r\n";
    m_toServer = QByteArray::fromStdString(head);
    Q_EMIT readyRead();
    if (!m_toServer.isEmpty() && m_phase == Phase::Answering) {
        // The server takes a head that it understands at once; without this the connection would wait for ever.
        m_toServer.clear();
        refuse({ResultCode::MalformedRequest, {}, std::nullopt});
    }
}

void GuardedSocket::refuse(const Error &error)
{
    const std::string body = errorBody(error);
    std::string answer = "HTTP/1.1 " + std::to_string(resultCodeInfo(error.code).httpStatus) + ' ';
    answer += resultCodeInfo(error.code).name;
    answer += "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: ";
    answer += std::to_string(body.size()) + "\r\n\r\n";
    if (m_head.method != "HEAD") {
        answer += body;
    }
    m_inner->write(answer.data(), static_cast<qint64>(answer.size()));
    m_inner->skip(m_inner->bytesAvailable());
    m_parser.reset();
    std::string().swap(m_body);
    enter(Phase::Draining, m_settings.lingerTime);
}

void GuardedSocket::enter(Phase phase, std::optional<Duration> limit)
{
    m_phase = phase;
    m_limit = limit ? std::optional(m_now + *limit) : std::nullopt;
}

void GuardedSocket::onDisconnected()
{
    m_limit.reset();
    setSocketState(UnconnectedState);
    Q_EMIT disconnected();
}

} // namespace ibismast
