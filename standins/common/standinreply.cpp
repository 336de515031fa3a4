#include "standins/common/standinreply.h"

#include <QJsonDocument>
#include <QTimer>

#include <utility>

namespace ibismast
{

namespace
{

QByteArray reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

QByteArray head(int status, const QByteArray &contentType, const StandinReply::Headers &headers)
{
    QByteArray text = "HTTP/1.1 " + QByteArray::number(status) + ' ' + reasonPhrase(status)
        + "\r\nContent-Type: " + contentType + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text;
}

} // namespace

StandinReply::StandinReply(QTcpSocket *socket) : m_socket(socket) { }

void StandinReply::send(int status, const QByteArray &contentType, const QByteArray &body, const Headers &headers)
{
    write(head(status, contentType, headers) + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n"
          + body);
}

void StandinReply::sendJson(int status, const QJsonObject &object, const Headers &headers)
{
    send(status, "application/json", QJsonDocument(object).toJson(QJsonDocument::Compact), headers);
}

void StandinReply::beginStream(const QByteArray &contentType, const Headers &headers)
{
    write(head(200, contentType, headers) + "Transfer-Encoding: chunked\r\n\r\n");
}

void StandinReply::writeChunk(const QByteArray &data)
{
    // A chunk of size 0 would end the answer.
    if (!data.isEmpty()) {
        write(QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n");
    }
}

void StandinReply::endStream()
{
    write("0\r\n\r\n");
}

void StandinReply::abort()
{
    if (m_socket) {
        m_socket->abort();
    }
}

bool StandinReply::isOpen() const
{
    return m_socket && m_socket->state() == QAbstractSocket::ConnectedState;
}

qint64 StandinReply::pendingBytes() const
{
    return m_socket ? m_socket->bytesToWrite() : 0;
}

void StandinReply::onClosed(std::function<void()> callback)
{
    if (m_socket) {
        QObject::connect(m_socket, &QTcpSocket::disconnected, m_socket, std::move(callback));
    }
}

void StandinReply::setDelay(Duration delay)
{
    m_delay = delay;
}

void StandinReply::loseAfter(qint64 bytes)
{
    m_loseAfter = bytes;
}

void StandinReply::hold()
{
    m_held = true;
}

void StandinReply::cross(StandinReply &first, StandinReply &second)
{
    std::swap(first.m_socket, second.m_socket);
    for (StandinReply *reply : {&first, &second}) {
        reply->m_held = false;
        reply->write(std::exchange(reply->m_heldData, {}));
    }
}

void StandinReply::write(const QByteArray &data)
{
    if (m_held) {
        m_heldData += data;
        return;
    }
    if (m_delay == Duration::zero()) {
        writeNow(data);
        return;
    }
    m_delayed.push_back(data);
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(m_delay), [self = shared_from_this()] {
        self->writeDelayed();
    });
}

void StandinReply::writeDelayed()
{
    // Timers of equal length may fire in any order; the queue keeps the order of the bytes.
    const QByteArray data = std::move(m_delayed.front());
    m_delayed.pop_front();
    writeNow(data);
}

void StandinReply::writeNow(const QByteArray &data)
{
    if (!isOpen() || data.isEmpty()) {
        return;
    }
    if (m_loseAfter >= 0 && m_written + data.size() > m_loseAfter) {
        m_socket->write(data.left(m_loseAfter - m_written));
        m_socket->flush();
        m_socket->abort();
        return;
    }
    m_written += data.size();
    m_socket->write(data);
}

} // namespace ibismast
