#include "adapters/relay/upstreamconnection.h"

#include "adapters/plumbing/processclock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <charconv>

namespace ibismast
{

namespace
{

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int FirstFinalStatus = 200;

/// Returns the `timeout` of a Keep-Alive header.
std::optional<std::chrono::seconds> keepAliveTimeout(std::string_view value)
{
    constexpr std::string_view Key = "timeout=";
    const std::size_t start = value.find(Key);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *first = value.data() + start + Key.size();
    if (std::from_chars(first, value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context &loop,
                                       const tcp::endpoint &endpoint,
                                       const UpstreamConnectionSettings &settings)
    : m_socket(loop), m_timer(loop), m_endpoint(endpoint), m_settings(settings)
{
}

bool UpstreamConnection::isIdle() const
{
    return (m_state == State::New || (m_state == State::Open && m_reusable)) && !m_handler;
}

void UpstreamConnection::send(std::string request, AnswerHandler handler)
{
    m_request = std::move(request);
    m_handler = std::make_shared<const AnswerHandler>(std::move(handler));
    m_parser = std::make_unique<HttpMessageParser>(HttpMessageKind::Response, m_settings.limits);
    m_headReported = false;
    m_skipping = false;
    m_skippedResponses = 0;
    m_skippedBytes = 0;
    m_reusable = false;
    m_paused = false;
    if (m_state == State::New) {
        connect();
    } else {
        write();
    }
}

void UpstreamConnection::connect()
{
    m_state = State::Connecting;
    const std::shared_ptr<UpstreamConnection> self = shared_from_this();
    m_timer.expires_after(m_settings.connectTimeout);
    m_timer.async_wait([self](const ErrorCode &error) {
        if (!error && self->m_state == State::Connecting) {
            self->fail(AttemptFailure::NotSent, "connecting took too long");
        }
    });
    ErrorCode ignored;
    m_socket.open(m_endpoint.protocol(), ignored);
    m_socket.set_option(boost::asio::socket_base::receive_buffer_size(m_settings.receiveBufferBytes), ignored);
    m_socket.async_connect(m_endpoint, [self](const ErrorCode &error) {
        if (self->m_state != State::Connecting) {
            return;
        }
        self->m_timer.cancel();
        if (error) {
            self->fail(AttemptFailure::NotSent, "connecting failed: " + error.message());
            return;
        }
        self->m_state = State::Open;
        prepareSocket(self->m_socket, self->m_settings.silence);
        self->write();
        self->read();
    });
}

void UpstreamConnection::allowSlowReading()
{
    m_slowReading = true;
    setUnsentTimeout(m_socket, m_settings.unreadTime);
    checkSilence();
}

void UpstreamConnection::checkSilence()
{
    const std::shared_ptr<UpstreamConnection> self = shared_from_this();
    m_timer.expires_after(m_settings.silence / 2);
    m_timer.async_wait([self](const ErrorCode &error) {
        if (error || self->m_state != State::Open || !self->m_slowReading) {
            return;
        }
        if (peerSilence(self->m_socket) >= self->m_settings.silence) {
            self->fail(AttemptFailure::Broken, "the upstream acknowledges nothing");
        } else {
            self->checkSilence();
        }
    });
}

void UpstreamConnection::write()
{
    if (m_request.size() > m_settings.maxSmallRequestBytes) {
        allowSlowReading();
    }
    m_writing = true;
    const std::shared_ptr<UpstreamConnection> self = shared_from_this();
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_request), [self](const ErrorCode &error, std::size_t /*size*/) {
            self->m_writing = false;
            if (error && self->m_state == State::Open) {
                // The reader reports the end together with what has arrived before it. The kernel reports a reset once
                // only, so that the reader may see an orderly end now.
                self->m_writeFailed = true;
                self->m_reusable = false;
            }
        });
}

void UpstreamConnection::read()
{
    const std::shared_ptr<UpstreamConnection> self = shared_from_this();
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_buffer), [self](const ErrorCode &error, std::size_t size) {
        self->m_reading = false;
        if (self->m_state != State::Open) {
            return;
        }
        if (error && self->m_writing) {
            // If the same reset has ended the write, the write's handler is due next.
            boost::asio::post(self->m_socket.get_executor(), [self, error] {
                if (self->m_state == State::Open) {
                    self->connectionEnded(error);
                }
            });
            return;
        }
        if (error) {
            self->connectionEnded(error);
            return;
        }
        self->received(std::string_view(self->m_buffer.data(), size));
        if (self->m_state == State::Open && !self->m_paused && !self->m_reading) {
            self->read();
        }
    });
}

void UpstreamConnection::setPaused(bool paused)
{
    m_paused = paused && m_handler;
    if (m_state == State::Open && !m_paused && !m_reading) {
        read();
    }
}

void UpstreamConnection::received(std::string_view bytes)
{
    if (!m_handler) {
        // Nothing was asked: the bytes answer nobody.
        close();
        return;
    }
    parse(bytes);
}

void UpstreamConnection::parse(std::string_view bytes)
{
    while (!bytes.empty() && m_handler) {
        const Result<std::size_t> used = m_parser->consume(bytes);
        if (const Error *error = errorOf(used)) {
            fail(AttemptFailure::Broken, error->message);
            return;
        }
        bytes.remove_prefix(std::get<std::size_t>(used));
        report();
        if (m_skipping && skippedTooMuch()) {
            fail(AttemptFailure::Broken, "the upstream sends responses to other calls without end");
            return;
        }
        if (m_state != State::Open || !m_parser->done()) {
            continue;
        }
        if (m_skipping) {
            m_parser = std::make_unique<HttpMessageParser>(HttpMessageKind::Response, m_settings.limits);
            m_headReported = false;
            m_skipping = false;
            continue;
        }
        if (!bytes.empty()) {
            m_reusable = false;
        }
        answerComplete();
        if (!bytes.empty()) {
            close();
        }
        return;
    }
}

void UpstreamConnection::report()
{
    if (!m_parser->headDone()) {
        return;
    }
    const std::shared_ptr<const AnswerHandler> handler = m_handler;
    if (!m_headReported) {
        const HttpHead head = m_parser->head();
        m_headReported = true;
        m_skipping = head.status < FirstFinalStatus || !handler->onHead(head);
        m_skippedResponses += m_skipping ? 1 : 0;
        m_reusable = head.keepAlive;
        const auto idle = keepAliveTimeout(head.header("Keep-Alive"));
        m_idleUntil = processNow() + (idle ? Duration(*idle) : m_settings.defaultIdle + m_settings.idleMargin)
            - m_settings.idleMargin;
    }
    std::string body = m_parser->takeBody();
    if (m_skipping) {
        m_skippedBytes += body.size();
    } else if (!body.empty() && m_handler) {
        handler->onBody(body);
    }
}

bool UpstreamConnection::skippedTooMuch() const
{
    return m_skippedResponses > m_settings.maxSkippedResponses || m_skippedBytes > m_settings.maxSkippedBytes;
}

void UpstreamConnection::answerComplete()
{
    // An answer that came before the whole request was read leaves the connection in an unknown state.
    m_reusable = m_reusable && !m_writing;
    m_hasAnswered = true;
    m_paused = false;
    if (std::exchange(m_slowReading, false)) {
        m_timer.cancel();
        setUnsentTimeout(m_socket, m_settings.silence);
    }
    if (!m_writing) {
        // An idle connection must not keep the body of its last request.
        std::string().swap(m_request);
    }
    const std::shared_ptr<const AnswerHandler> handler = std::exchange(m_handler, nullptr);
    if (!m_reusable) {
        close();
    }
    handler->onEnd();
}

void UpstreamConnection::connectionEnded(const ErrorCode &error)
{
    if (!m_handler) {
        close();
        return;
    }
    const bool orderly = error == boost::asio::error::eof && !m_writeFailed;
    if (orderly && m_headReported && !m_skipping && !errorOf(m_parser->finish())) {
        report();
        m_reusable = false;
        answerComplete();
        return;
    }
    const std::string cause = m_writeFailed ? "the request could not be written" : error.message();
    fail(AttemptFailure::Broken, orderly ? "the connection ended early" : "the connection broke: " + cause);
}

void UpstreamConnection::fail(AttemptFailure failure, const std::string &reason)
{
    const std::shared_ptr<const AnswerHandler> handler = std::exchange(m_handler, nullptr);
    close();
    if (handler) {
        handler->onFailed(failure, reason);
    }
}

void UpstreamConnection::close()
{
    m_state = State::Closed;
    m_reusable = false;
    m_handler.reset();
    m_timer.cancel();
    ErrorCode ignored;
    m_socket.close(ignored);
}

} // namespace ibismast
