#pragma once

#include "ibismast/operator/operatormessages.h"

#include <QtCore/QTimer>
#include <QtNetwork/QTcpSocket>

#include <functional>

namespace ibismast
{

class OperatorDriver;

/// Limits on the connection of an operator.
struct OperatorConnectionSettings
{
    /// Largest frame of a call. The declarations of a whole fleet take a few megabytes.
    std::size_t maxFrameBytes = std::size_t {16} * 1024 * 1024;
    /// Time without a call after which the connection is closed; it also bounds the TLS handshake.
    Duration idleTimeout = std::chrono::minutes(5);
};

/// Connection of an operator: Thrift frames with calls of wire/operator.thrift, answered in order.
class OperatorConnection : public QObject
{
public:
    /// @p socket is connected and becomes a child of the connection. @p identity returns who sends the calls, once the
    /// socket can be read; nothing refuses the connection. @p onClosed is called once, from the event loop.
    OperatorConnection(QTcpSocket *socket,
                       const OperatorConnectionSettings &settings,
                       OperatorDriver &driver,
                       std::function<std::optional<OperatorIdentity>()> identity,
                       std::function<void()> onClosed);
    ~OperatorConnection() override;

private:
    void read();
    void handleFrame(std::string_view frame);
    void send(const std::string &frame);
    void refuse(const std::string &reason);

    QTcpSocket *m_socket;
    OperatorConnectionSettings m_settings;
    OperatorDriver &m_driver;
    std::function<std::optional<OperatorIdentity>()> m_identity;
    std::string m_buffer;
    QTimer m_idleTimer;
    /// True while a call waits for its answer; further ones stay in the buffer.
    bool m_answering = false;
};

} // namespace ibismast
