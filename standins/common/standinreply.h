#pragma once

#include "ibismast/core/units.h"

#include <QByteArray>
#include <QJsonObject>
#include <QList>
#include <QPair>
#include <QPointer>
#include <QTcpSocket>

#include <deque>
#include <functional>
#include <memory>

namespace ibismast
{

/// Answer to one HTTP request, written to the socket directly so that faults can be injected at the byte level.
///
/// Writing after the client has left is safe and does nothing.
class StandinReply : public std::enable_shared_from_this<StandinReply>
{
public:
    using Headers = QList<QPair<QByteArray, QByteArray>>;

    explicit StandinReply(QTcpSocket *socket);

    /// Sends a whole answer.
    void send(int status, const QByteArray &contentType, const QByteArray &body, const Headers &headers = {});
    /// Sends @p object as `application/json`.
    void sendJson(int status, const QJsonObject &object, const Headers &headers = {});
    /// Starts an answer of status 200 in chunked transfer encoding.
    void beginStream(const QByteArray &contentType, const Headers &headers = {});
    /// Sends one chunk of a streamed answer.
    void writeChunk(const QByteArray &data);
    /// Ends a streamed answer.
    void endStream();
    /// Closes the connection without the rest of the answer.
    void abort();

    /// Returns true while the client is connected.
    [[nodiscard]] bool isOpen() const;
    /// Bytes that wait in this process for the client to read.
    [[nodiscard]] qint64 pendingBytes() const;
    /// Calls @p callback when the client leaves.
    void onClosed(std::function<void()> callback);

    /// Fault: each write happens @p delay later.
    void setDelay(Duration delay);
    /// Fault: the connection closes instead of passing more than @p bytes of the answer.
    void loseAfter(qint64 bytes);
    /// Fault: keeps writes back until `cross`.
    void hold();
    /// Fault: @p first and @p second answer each other's request from now on, and writes kept back are sent.
    static void cross(StandinReply &first, StandinReply &second);

private:
    void write(const QByteArray &data);
    void writeDelayed();
    void writeNow(const QByteArray &data);

    QPointer<QTcpSocket> m_socket;
    Duration m_delay {};
    std::deque<QByteArray> m_delayed;
    qint64 m_loseAfter = -1;
    qint64 m_written = 0;
    bool m_held = false;
    QByteArray m_heldData;
};

} // namespace ibismast
