#pragma once

#include <QByteArray>
#include <QList>
#include <QObject>
#include <QPair>
#include <QTcpSocket>

#include <functional>

namespace ibismast::load
{

/// One HTTP/1.1 exchange on a connection of its own.
///
/// A plain socket, since QNetworkAccessManager opens at most 6 connections to a host and repeats requests whose
/// connection broke. Each exchange ends with exactly one call of `onEnd`.
class HttpCall : public QObject
{
public:
    using Headers = QList<QPair<QByteArray, QByteArray>>;

    /// How an exchange ended.
    enum class End : std::uint8_t {
        /// The whole answer was received.
        Complete,
        /// The connection was not established; nothing was sent.
        NotConnected,
        /// The connection broke before the end of the answer.
        Broken,
    };

    /// Called with each piece of the answer's body.
    std::function<void(const QByteArray &data)> onData;
    std::function<void(End end)> onEnd;

    explicit HttpCall(QObject *parent = nullptr);

    /// Sends a request to @p target (`ip:port`).
    void start(const std::string &target,
               const QByteArray &method,
               const QByteArray &path,
               const Headers &headers,
               const QByteArray &body);

    /// Status of the answer, 0 before its head was received.
    [[nodiscard]] int status() const;
    /// Returns the value of an answer's header; empty if it is missing. @p name is in lower case.
    [[nodiscard]] QByteArray header(const QByteArray &name) const;

private:
    void read();
    void parseHead();
    void parseBody();
    /// Takes one chunk off the buffer; returns false if more bytes are needed.
    bool parseChunk();
    void finish(End end);

    QTcpSocket m_socket;
    QByteArray m_request;
    QByteArray m_buffer;
    bool m_connected = false;
    bool m_ended = false;
    int m_status = 0;
    Headers m_headers;
    bool m_chunked = false;
    /// Bytes of the body that are missing; negative if the body ends with the connection.
    qint64 m_missing = -1;
};

} // namespace ibismast::load
