#include "adapters/relay/callerconnection.h"

#include "adapters/plumbing/processclock.h"

#include <boost/asio/write.hpp>

namespace ibismast
{

namespace
{

using ErrorCode = boost::system::error_code;

/// Bytes behind the present request that are kept; a caller that sends more ahead is cut.
constexpr std::size_t MaxPendingBytes = std::size_t {64} * 1024;
/// Bytes that wait for a caller that does not read.
constexpr std::size_t MaxUnsentBytes = std::size_t {16} * 1024 * 1024;
/// Unsent bytes above which the next request of the connection waits.
constexpr std::size_t MaxBacklogBytes = std::size_t {64} * 1024;
/// Buffers above this size are freed after use, so that one large answer does not hold memory for ever.
constexpr std::size_t KeptBufferBytes = std::size_t {64} * 1024;

constexpr int HeadTooLargeStatus = 431;

} // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket, CallerHandler &handler, Duration silence)
    : m_socket(std::move(socket))
    , m_handler(&handler)
    , m_phaseStart(processNow())
    , m_silence(silence)
    , m_unreadTime(silence)
{
}

void CallerConnection::start(ConnectionOwner *owner, ClientNumber number)
{
    m_owner = owner;
    m_number = number;
    prepareSocket(m_socket, m_silence);
    read();
}

bool CallerConnection::isIdle() const
{
    return !m_answering && !(m_parser && m_parser->started()) && m_pending.empty() && m_out.empty()
        && m_writing.empty();
}

void CallerConnection::read()
{
    if (m_owner != nullptr && !m_owner->mayRead(*this)) {
        m_waiting = true;
        return;
    }
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    m_socket.async_read_some(boost::asio::buffer(m_buffer), [self](const ErrorCode &error, std::size_t size) {
        if (!self->m_open) {
            return;
        }
        if (error) {
            self->closeAnswering();
            return;
        }
        self->received(std::string_view(self->m_buffer.data(), size));
        self->reportState();
        if (self->m_open) {
            self->read();
        }
    });
}

void CallerConnection::resume()
{
    if (std::exchange(m_waiting, false) && m_open) {
        read();
    }
}

void CallerConnection::giveWay(const Error &error)
{
    if (!m_open) {
        return;
    }
    if (state().phase == ClientPhase::Receiving) {
        refuse(error);
    } else {
        closeAnswering();
    }
}

void CallerConnection::closeAnswering()
{
    const bool waiting = m_answering;
    close();
    if (waiting) {
        m_handler->callerGone(shared_from_this());
    }
}

void CallerConnection::received(std::string_view bytes)
{
    if (m_lastAnswer) {
        m_discardedBytes += bytes.size();
        // A caller that sends a whole body of legal size before it reads must still find the refusal.
        if (m_discardedBytes > m_handler->limits().maxBodyBytes) {
            close();
        }
        return;
    }
    m_requestSeen = true;
    m_pending.append(bytes);
    if (m_answering || hasWaitingRequest()) {
        if (m_pending.size() > MaxPendingBytes) {
            closeAnswering();
        }
        return;
    }
    parse();
}

bool CallerConnection::hasWaitingRequest() const
{
    return m_parser && m_parser->done();
}

void CallerConnection::parse()
{
    if (m_pending.empty()) {
        return;
    }
    if (!m_parser) {
        const RelayLimits limits = m_handler->limits();
        m_parser = std::make_unique<HttpMessageParser>(HttpMessageKind::Request,
                                                       HttpMessageLimits {limits.maxHeadBytes, limits.maxBodyBytes});
        m_phaseStart = processNow();
        m_continueSent = false;
    }
    const Result<std::size_t> used = m_parser->consume(m_pending);
    if (const Error *error = errorOf(used)) {
        refuse(*error);
        return;
    }
    m_pending.erase(0, std::get<std::size_t>(used));
    if (m_parser->headDone() && !m_parser->done() && !m_continueSent
        && equalNoCase(m_parser->head().header("Expect"), "100-continue")) {
        m_continueSent = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    dispatch();
}

void CallerConnection::dispatch()
{
    if (!hasWaitingRequest() || unsentBytes() > MaxBacklogBytes) {
        return;
    }
    m_request = m_parser->head();
    std::string body = m_parser->takeBody();
    m_parser.reset();
    m_answering = true;
    reportState();
    resume();
    if (!m_request.keepAlive) {
        m_closing = true;
    }
    m_handler->requestReceived(shared_from_this(), std::move(body));
}

void CallerConnection::keepUnreadUntil(TimePoint end)
{
    // Whole seconds, so that the timeout does not change with each request.
    const Duration time = std::chrono::ceil<std::chrono::seconds>(end - processNow());
    if (m_open && time > m_unreadTime) {
        m_unreadTime = time;
        setUnsentTimeout(m_socket, time);
    }
}

bool CallerConnection::callerHasLeft()
{
    return closedByPeer(m_socket);
}

void CallerConnection::refuse(const Error &error)
{
    const bool headTooLarge = error.message.find("head exceeds") != std::string::npos;
    const int status = headTooLarge ? HeadTooLargeStatus : resultCodeInfo(error.code).httpStatus;
    m_answering = true;
    m_closing = true;
    m_parser.reset();
    std::string().swap(m_pending);
    answer(HttpHeadBuilder::response(status).header("Content-Type", "text/plain"), error.message + "\n");
    // What the caller still sends is dropped, so that a close with unread bytes does not destroy the answer.
    resume();
    reportState();
}

void CallerConnection::answer(HttpHeadBuilder head, std::string_view body)
{
    head.header("Content-Length", std::to_string(body.size()));
    announceClose(head);
    write(head.build(), body);
    answerEnded();
}

void CallerConnection::beginBody(HttpHeadBuilder head)
{
    head.header("Transfer-Encoding", "chunked");
    announceClose(head);
    write(head.build());
}

void CallerConnection::announceClose(HttpHeadBuilder &head)
{
    if (m_closing) {
        head.header("Connection", "close");
    }
}

void CallerConnection::sendBody(std::string_view bytes)
{
    if (!m_open || bytes.empty()) {
        return;
    }
    std::string chunk;
    appendChunk(chunk, bytes);
    write(chunk);
}

void CallerConnection::endBody()
{
    write(LastChunk);
    answerEnded();
}

void CallerConnection::cut()
{
    close();
}

void CallerConnection::answerEnded()
{
    m_answering = false;
    // A head of many short headers takes much more memory than its bytes, for as long as the connection stays idle.
    m_request = HttpHead();
    m_phaseStart = processNow();
    // A stream that began before the stop could not announce the close. Kept open, its connection would bring requests
    // that the process has no time left to answer.
    m_lastAnswer = m_closing;
    flush();
    if (m_open && !m_lastAnswer && !m_pending.empty()) {
        parse();
    }
}

void CallerConnection::write(std::string_view bytes, std::string_view moreBytes)
{
    if (!m_open) {
        return;
    }
    const std::size_t size = m_out.size() + bytes.size() + moreBytes.size();
    if (size > MaxUnsentBytes) {
        closeAnswering();
        return;
    }
    if (size > KeptBufferBytes) {
        m_out.reserve(size);
    }
    m_out.append(bytes);
    m_out.append(moreBytes);
    reportState();
    flush();
}

ClientState CallerConnection::state() const
{
    ClientState state;
    if (!m_open) {
        state.phase = ClientPhase::Closing;
        return state;
    }
    state.unsent = static_cast<std::int64_t>(unsentBytes());
    if (m_lastAnswer) {
        state.phase = state.unsent > 0 ? ClientPhase::Answering : ClientPhase::Closing;
        return state;
    }
    state.unfinished = static_cast<std::int64_t>(m_pending.size() + (m_parser ? m_parser->heldBytes() : 0));
    if (m_answering || state.unsent > 0) {
        state.phase = ClientPhase::Answering;
    } else if (state.unfinished > 0) {
        state.phase = ClientPhase::Receiving;
    } else {
        state.phase = m_requestSeen ? ClientPhase::Idle : ClientPhase::Silent;
    }
    return state;
}

void CallerConnection::reportState()
{
    const ClientState now = state();
    const ClientState before = std::exchange(m_reported, now);
    if (now.unsent != before.unsent) {
        m_handler->unsentBytesChanged(now.unsent - before.unsent);
    }
    if (m_owner != nullptr && m_open && now != before) {
        m_owner->stateChanged(*this, now);
    }
}

void CallerConnection::flush()
{
    if (!m_open || !m_writing.empty()) {
        return;
    }
    if (m_out.empty()) {
        if (m_lastAnswer) {
            // Everything has been handed to the kernel, which delivers it behind the close.
            ErrorCode ignored;
            m_socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
        }
        if (!m_answering && !(m_parser && m_parser->started())) {
            // The pause before the next request begins when the answer has been sent.
            m_phaseStart = processNow();
        }
        return;
    }
    m_writing.swap(m_out);
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_writing), [self](const ErrorCode &error, std::size_t /*size*/) {
            self->m_writing.clear();
            if (self->m_writing.capacity() > KeptBufferBytes) {
                std::string().swap(self->m_writing);
            }
            if (!self->m_open) {
                return;
            }
            self->reportState();
            if (error) {
                return;
            }
            self->flush();
            self->m_handler->outputSent(self);
            if (self->m_open && !self->m_answering) {
                self->dispatch();
            }
        });
}

void CallerConnection::enforceTimes(TimePoint now)
{
    if (!m_open) {
        return;
    }
    const Duration elapsed = now - m_phaseStart;
    // A caller that is owed an answer keeps its connection long, so one that is gone is looked for here.
    const bool hasAnswer = m_answering || unsentBytes() > 0;
    if (hasAnswer && elapsed >= m_silence && peerSilence(m_socket) >= m_silence) {
        closeAnswering();
        return;
    }
    if (m_answering) {
        return;
    }
    const RelayLimits limits = m_handler->limits();
    if (!m_lastAnswer && m_parser && m_parser->started()) {
        // A body may take as long as an idle connection.
        const Duration limit = m_parser->headDone() ? limits.headTimeout + limits.idleTimeout : limits.headTimeout;
        if (elapsed > limit) {
            refuse({ResultCode::RequestTimeout, "the request was sent too slowly", std::nullopt});
        }
        return;
    }
    Duration limit = limits.idleTimeout;
    if (unsentBytes() > 0) {
        // An answer may be read as slowly as a body may be sent.
        limit += limits.headTimeout;
    } else if (m_lastAnswer) {
        // The caller closes its side when it has read the answer; it is not waited for longer.
        limit = limits.headTimeout;
    }
    if (elapsed > limit) {
        close();
    }
}

void CallerConnection::close()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    reportState();
    if (m_owner != nullptr) {
        m_owner->connectionClosed(*this);
    }
    ErrorCode ignored;
    m_socket.close(ignored);
}

} // namespace ibismast
