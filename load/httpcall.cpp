#include "load/httpcall.h"

#include <QHostAddress>

namespace ibismast::load
{

HttpCall::HttpCall(QObject *parent) : QObject(parent)
{
    connect(&m_socket, &QTcpSocket::connected, this, [this] {
        m_connected = true;
        m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        m_socket.write(std::exchange(m_request, {}));
    });
    connect(&m_socket, &QTcpSocket::readyRead, this, &HttpCall::read);
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] {
        read();
        const bool endsWithConnection = m_status != 0 && !m_chunked && m_missing < 0;
        if (endsWithConnection && m_socket.error() == QAbstractSocket::RemoteHostClosedError) {
            finish(End::Complete);
        } else {
            finish(m_connected ? End::Broken : End::NotConnected);
        }
    });
}

void HttpCall::start(const std::string &target,
                     const QByteArray &method,
                     const QByteArray &path,
                     const Headers &headers,
                     const QByteArray &body)
{
    const QByteArray address = QByteArray::fromStdString(target);
    const qsizetype colon = address.lastIndexOf(':');
    m_request = method + ' ' + path + " HTTP/1.1\r\nHost: " + address
        + "\r\nConnection: close\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n";
    for (const auto &[name, value] : headers) {
        m_request += name + ": " + value + "\r\n";
    }
    m_request += "\r\n" + body;
    m_socket.connectToHost(QHostAddress(QString::fromLatin1(address.left(colon))), address.mid(colon + 1).toUShort());
}

int HttpCall::status() const
{
    return m_status;
}

QByteArray HttpCall::header(const QByteArray &name) const
{
    for (const auto &[key, value] : m_headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

void HttpCall::read()
{
    if (m_ended) {
        return;
    }
    m_buffer += m_socket.readAll();
    if (m_status == 0) {
        parseHead();
    }
    if (m_status != 0) {
        parseBody();
    }
}

void HttpCall::parseHead()
{
    const qsizetype end = m_buffer.indexOf("\r\n\r\n");
    if (end < 0) {
        return;
    }
    const QList<QByteArray> lines = m_buffer.left(end).split('\n');
    m_buffer.remove(0, end + 4);
    m_status = lines[0].mid(9, 3).toInt();
    for (const QByteArray &line : lines.mid(1)) {
        const qsizetype colon = line.indexOf(':');
        m_headers.append({line.left(colon).trimmed().toLower(), line.mid(colon + 1).trimmed()});
    }
    m_chunked = header("transfer-encoding").toLower() == "chunked";
    if (const QByteArray length = header("content-length"); !length.isEmpty()) {
        m_missing = length.toLongLong();
    }
}

void HttpCall::parseBody()
{
    if (m_chunked) {
        while (!m_ended && parseChunk()) { }
        return;
    }
    const QByteArray data = std::exchange(m_buffer, {});
    if (!data.isEmpty()) {
        onData(data);
    }
    if (m_missing >= 0) {
        m_missing -= data.size();
        if (m_missing <= 0) {
            finish(End::Complete);
        }
    }
}

bool HttpCall::parseChunk()
{
    const qsizetype lineEnd = m_buffer.indexOf("\r\n");
    if (lineEnd < 0) {
        return false;
    }
    const qsizetype size = m_buffer.left(lineEnd).toLongLong(nullptr, 16);
    if (m_buffer.size() < lineEnd + 2 + size + 2) {
        return false;
    }
    const QByteArray data = m_buffer.mid(lineEnd + 2, size);
    m_buffer.remove(0, lineEnd + 2 + size + 2);
    if (size == 0) {
        finish(End::Complete);
    } else {
        onData(data);
    }
    return true;
}

void HttpCall::finish(End end)
{
    if (!m_ended) {
        m_ended = true;
        m_socket.abort();
        onEnd(end);
    }
}

} // namespace ibismast::load
