#pragma once

#include "adapters/httpendpoint.h"
#include "adapters/plumbing/httpmessage.h"

#include <QtCore/QTimer>
#include <QtNetwork/QTcpSocket>

#include <functional>

namespace ibismast
{

/// How an outgoing call ended.
struct CallEnd
{
    /// Set if there is no complete answer.
    std::optional<Error> error;
    /// False only if the request never left this process.
    bool mayHaveBeenSent = true;
    HttpHead head;
    /// Part of the body that was not passed to the body handler.
    std::string body;
};

/// One HTTP/1.1 request on a connection of its own.
///
/// QNetworkAccessManager of Qt 6.4 sends a POST again by itself if the server closes the connection before it answers,
/// which would run a booking twice, and opens at most 6 connections to a host, fewer than an engine has streams.
class OutgoingCall : public QObject
{
    Q_OBJECT

public:
    using EndHandler = std::function<void(CallEnd end)>;
    using BodyHandler = std::function<void(const HttpHead &head, std::string part)>;

    /// @p method and @p target form the first line of the request.
    OutgoingCall(const HttpEndpoint &endpoint, const QByteArray &method, const QByteArray &target);
    ~OutgoingCall() override;

    void setHeader(const QByteArray &name, const QByteArray &value);
    void setBody(const QByteArray &contentType, QByteArray body);
    /// Limits the time until the end of the answer. Without a limit only connecting is limited, to 2 s.
    void setTimeout(Duration timeout);
    /// Passes the body on in parts as they arrive.
    void setBodyHandler(BodyHandler handler);

    /// Sends the request. @p handler is called exactly once, unless `abandon` is called before. The object deletes
    /// itself afterwards.
    void start(EndHandler handler);
    /// Closes the connection and deletes the object without calling a handler.
    void abandon();
    /// Stops or resumes reading the answer, so that the sender is held back by TCP.
    void setPaused(bool paused);

private:
    void onConnected();
    void onReadable();
    void parse(std::string_view bytes);
    void onDisconnected();
    void end(std::optional<Error> error);

    HttpEndpoint m_endpoint;
    QByteArray m_head;
    QByteArray m_body;
    QTcpSocket m_socket;
    QTimer m_timer;
    std::optional<Duration> m_timeout;
    /// Bytes of the request that the kernel has not taken yet.
    qint64 m_unwritten = 0;
    std::unique_ptr<HttpMessageParser> m_parser;
    /// Body so far, if there is no body handler.
    std::string m_collected;
    EndHandler m_endHandler;
    BodyHandler m_bodyHandler;
    bool m_connected = false;
    bool m_paused = false;
    bool m_ended = false;
};

} // namespace ibismast
