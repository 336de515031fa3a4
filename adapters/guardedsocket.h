#pragma once

#include "adapters/plumbing/httpmessage.h"

#include <QtNetwork/QTcpSocket>

#include <optional>

namespace ibismast
{

/// Limits and times of the HTTP front end, enforced before Qt's HTTP server sees a request.
struct HttpGuardSettings
{
    HttpMessageLimits message;
    /// Time for the head of a request, counted from the connection or from its first byte.
    Duration headTimeout = std::chrono::seconds(10);
    /// Time for the body of a request, plus one second for each `minBodyRate` bytes.
    Duration bodyTimeout = std::chrono::seconds(10);
    /// Bytes per second that a sender must reach.
    std::uint64_t minBodyRate = 65'536;
    /// Time that a connection may stay open without a request.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Time in which the rest of a refused request is read, so that the sender sees the answer and not a reset.
    Duration lingerTime = std::chrono::seconds(2);
    /// Largest number of open connections.
    std::size_t maxConnections = 20'000;
};

/// Socket between a caller and Qt's HTTP server.
///
/// Qt 6.4's server buffers a body without limit, accepts a negative `Content-Length`, waits for a slow sender for ever
/// and ends a connection without an answer when a second request arrives early. This socket reads and checks the whole
/// request first and then shows the server only a valid head without a body; the handler takes the body from here, so
/// it is held once.
class GuardedSocket : public QTcpSocket
{
    Q_OBJECT

public:
    /// Takes ownership of @p inner, which is connected.
    GuardedSocket(QTcpSocket *inner, const HttpGuardSettings &settings, TimePoint now);
    ~GuardedSocket() override;

    /// Returns the head of the request that is being answered.
    [[nodiscard]] const HttpHead &requestHead() const;
    /// Returns the body of the request that is being answered; a second call returns an empty text.
    [[nodiscard]] std::string takeRequestBody();
    /// Tells that the last byte of the answer has been written; the next request may be read.
    void answerEnded();

    /// True if an answer is due or has not been sent completely.
    [[nodiscard]] bool isAnswering() const;
    /// Refuses or closes the connection if its current phase has lasted too long at @p now.
    void enforceTimes(TimePoint now);
    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();

    void disconnectFromHost() override;
    void close() override;
    [[nodiscard]] qint64 bytesAvailable() const override;
    [[nodiscard]] qint64 bytesToWrite() const override;

protected:
    qint64 readData(char *data, qint64 maxSize) override;
    qint64 writeData(const char *data, qint64 size) override;

private:
    enum class Phase : std::uint8_t {
        Idle,
        Head,
        Body,
        Answering,
        Draining,
    };

    void onReadable();
    void onDisconnected();
    void passToServer();
    void checkHead();
    void refuse(const Error &error);
    void enter(Phase phase, std::optional<Duration> limit);

    HttpGuardSettings m_settings;
    QTcpSocket *m_inner;
    std::unique_ptr<HttpMessageParser> m_parser;
    HttpHead m_head;
    std::string m_body;
    QByteArray m_toServer;
    Phase m_phase = Phase::Idle;
    std::optional<TimePoint> m_limit;
    TimePoint m_now;
    bool m_headChecked = false;
    bool m_pipelined = false;
    bool m_reading = false;
};

} // namespace ibismast
