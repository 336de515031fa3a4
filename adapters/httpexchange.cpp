#include "adapters/httpexchange.h"

#include "adapters/errorbody.h"

#include <array>
#include <charconv>

namespace ibismast
{

HttpExchange::HttpExchange(QHttpServerResponder &&responder)
    : m_responder(std::move(responder)), m_socket(qobject_cast<GuardedSocket *>(m_responder.socket()))
{
    if (m_socket) {
        m_request = m_socket->requestHead();
    }
}

const HttpHead &HttpExchange::request() const
{
    return m_request;
}

std::string HttpExchange::takeBody()
{
    return m_socket ? m_socket->takeRequestBody() : std::string();
}

bool HttpExchange::gone() const
{
    return !m_socket || m_socket->state() != QAbstractSocket::ConnectedState;
}

bool HttpExchange::busy() const
{
    return m_socket && m_socket->bytesToWrite() > 0;
}

void HttpExchange::addHeader(std::string name, std::string value)
{
    m_headers.emplace_back(std::move(name), std::move(value));
}

void HttpExchange::send(int status, std::string_view contentType, std::string_view body)
{
    if (gone() || m_ended) {
        return;
    }
    m_responder.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
    addHeader("Content-Type", std::string(contentType));
    addHeader("Content-Length", std::to_string(body.size()));
    writeHeaders();
    m_responder.writeBody(body.data(), static_cast<qint64>(body.size()));
    end();
}

void HttpExchange::sendError(const Error &error)
{
    const std::string retryAfter = retryAfterSeconds(error);
    if (!retryAfter.empty()) {
        addHeader("Retry-After", retryAfter);
    }
    send(resultCodeInfo(error.code).httpStatus, "application/json", errorBody(error));
}

void HttpExchange::beginStream()
{
    if (gone() || m_streaming || m_ended) {
        return;
    }
    m_streaming = true;
    m_responder.writeStatusLine(QHttpServerResponder::StatusCode::Ok);
    addHeader("Content-Type", "text/event-stream");
    addHeader("Cache-Control", "no-store");
    addHeader("Transfer-Encoding", "chunked");
    writeHeaders();
}

bool HttpExchange::streaming() const
{
    return m_streaming;
}

void HttpExchange::sendPart(std::string_view part)
{
    if (gone() || m_ended || part.empty()) {
        return;
    }
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.begin(), digits.end(), part.size(), 16).ptr;
    std::string chunk(digits.begin(), end);
    chunk.reserve(chunk.size() + part.size() + 4);
    chunk += "\r\n";
    chunk += part;
    chunk += "\r\n";
    m_responder.writeBody(chunk.data(), static_cast<qint64>(chunk.size()));
}

void HttpExchange::endStream()
{
    if (gone() || m_ended) {
        return;
    }
    m_responder.writeBody("0\r\n\r\n", 5);
    end();
}

void HttpExchange::whenGone(std::function<void()> function)
{
    if (m_socket && !m_ended) {
        QObject::connect(m_socket, &QTcpSocket::disconnected, &m_context, [this, call = std::move(function)] {
            if (!m_ended) {
                m_ended = true;
                // The call may delete this object.
                const auto kept = call;
                kept();
            }
        });
    }
}

void HttpExchange::whenDrained(std::function<void()> function)
{
    if (m_socket && !m_ended) {
        QObject::connect(m_socket, &QTcpSocket::bytesWritten, &m_context, [this, call = std::move(function)] {
            if (!m_ended && !busy()) {
                call();
            }
        });
    }
}

void HttpExchange::end()
{
    m_ended = true;
    m_socket->disconnect(&m_context);
    m_socket->answerEnded();
}

void HttpExchange::writeHeaders()
{
    for (const auto &[name, value] : m_headers) {
        m_responder.writeHeader(QByteArray::fromStdString(name), QByteArray::fromStdString(value));
    }
}

} // namespace ibismast
