#pragma once

#include "adapters/guardedsocket.h"

#include <QtCore/QPointer>
#include <QtHttpServer/QHttpServerResponder>

#include <functional>

namespace ibismast
{

/// Answer to one HTTP request, written whole or in chunks. Writing does nothing once the caller has gone.
class HttpExchange
{
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    explicit HttpExchange(QHttpServerResponder &&responder);

    /// Returns the head of the request.
    [[nodiscard]] const HttpHead &request() const;
    /// Returns the body of the request; a second call returns an empty text.
    [[nodiscard]] std::string takeBody();
    /// True if the caller has left.
    [[nodiscard]] bool gone() const;
    /// True while earlier bytes wait for the caller to read.
    [[nodiscard]] bool busy() const;

    /// Adds a header to the answer, which must not have begun.
    void addHeader(std::string name, std::string value);
    /// Answers with one body.
    void send(int status, std::string_view contentType, std::string_view body);
    /// Answers with the JSON form of @p error.
    void sendError(const Error &error);

    /// Begins an event stream.
    void beginStream();
    [[nodiscard]] bool streaming() const;
    /// Sends a part of the stream.
    void sendPart(std::string_view part);
    void endStream();

    /// Calls @p function once if the caller leaves before the answer has ended.
    void whenGone(std::function<void()> function);
    /// Calls @p function each time the caller has read what was written.
    void whenDrained(std::function<void()> function);

private:
    void end();
    void writeHeaders();

    QHttpServerResponder m_responder;
    QPointer<GuardedSocket> m_socket;
    HttpHead m_request;
    Headers m_headers;
    bool m_streaming = false;
    bool m_ended = false;
    /// Receiver of the socket's signals; its destruction ends them.
    QObject m_context;
};

} // namespace ibismast
