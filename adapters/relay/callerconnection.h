#pragma once

#include "adapters/relay/httpwriter.h"
#include "adapters/relay/sockets.h"

#include "ibismast/relay/clientlimits.h"

#include <array>
#include <memory>

namespace ibismast
{

class CallerConnection;

/// Receives the requests of a server's connections.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;

    /// A whole request has arrived; it is answered by one of the connection's functions, now or later.
    virtual void requestReceived(const std::shared_ptr<CallerConnection> &connection, std::string body) = 0;
    /// The caller has closed the connection before its answer ended.
    virtual void callerGone(const std::shared_ptr<CallerConnection> &connection) = 0;
    /// Bytes of answers have been handed to the kernel; see `CallerConnection::unsentBytes`.
    virtual void outputSent(const std::shared_ptr<CallerConnection> & /*connection*/) { }
    /// The unsent bytes of one connection change by @p change.
    virtual void unsentBytesChanged(std::int64_t /*change*/) { }
    /// Limits for the next request.
    [[nodiscard]] virtual RelayLimits limits() const = 0;
};

/// Keeps the account of what the connections of a server hold.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;

    /// What the connection holds has changed to @p state. Connections are told to give way after the current step.
    virtual void stateChanged(const CallerConnection &connection, const ClientState &state) = 0;
    virtual void connectionClosed(const CallerConnection &connection) = 0;
    /// True if the connection is to be read now; otherwise it is resumed later.
    [[nodiscard]] virtual bool mayRead(const CallerConnection &connection) = 0;
};

/// One HTTP/1.1 connection of a caller. Requests are answered one at a time, in their order.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// A caller that acknowledges nothing for this long is gone.
    static constexpr Duration DefaultSilence = std::chrono::seconds(4);

    CallerConnection(boost::asio::ip::tcp::socket socket, CallerHandler &handler, Duration silence = DefaultSilence);

    /// Begins to read. @p owner, if there is one, knows the connection as @p number.
    void start(ConnectionOwner *owner = nullptr, ClientNumber number = ClientNumber());
    [[nodiscard]] ClientNumber number() const
    {
        return m_number;
    }
    /// Reads on after `ConnectionOwner::mayRead` has returned false.
    void resume();
    /// Gives up what the connection holds: an unfinished request is refused with @p error, an answer under way is cut.
    void giveWay(const Error &error);
    /// Head of the request that is being answered.
    [[nodiscard]] const HttpHead &request() const
    {
        return m_request;
    }

    /// Keeps the connection until @p end, also behind its close, although the caller reads nothing: it may still want
    /// its answer then. One that does not even acknowledge is noticed sooner.
    void keepUnreadUntil(TimePoint end);
    /// Time for which bytes may wait in the kernel for a caller that reads nothing.
    [[nodiscard]] Duration unreadTime() const
    {
        return m_unreadTime;
    }
    /// Answers with a whole body. @p head lacks the headers of the connection.
    void answer(HttpHeadBuilder head, std::string_view body);
    /// Begins an answer whose body comes in parts.
    void beginBody(HttpHeadBuilder head);
    void sendBody(std::string_view bytes);
    void endBody();
    /// Closes the connection; an answer under way does not look complete.
    void cut();
    /// Returns whether the caller has closed the connection behind what has been read of it.
    [[nodiscard]] bool callerHasLeft();

    /// From now on the connection closes after its present or next answer.
    void closeAfterAnswer()
    {
        m_closing = true;
    }
    /// Bytes of answers that wait for the caller to read.
    [[nodiscard]] std::size_t unsentBytes() const
    {
        return m_out.size() + m_writing.size();
    }
    /// True from a whole request to the end of its answer.
    [[nodiscard]] bool isAnswering() const
    {
        return m_answering;
    }
    /// True while no request is being read or answered.
    [[nodiscard]] bool isIdle() const;
    /// Closes the connection if reading a request or the pause before it has taken too long.
    void enforceTimes(TimePoint now);
    [[nodiscard]] bool isOpen() const
    {
        return m_open;
    }

private:
    void read();
    void received(std::string_view bytes);
    void parse();
    void refuse(const Error &error);
    /// Passes the request that has been read to the handler.
    void dispatch();
    /// True if a request has been read that waits until the answers before it have been sent.
    [[nodiscard]] bool hasWaitingRequest() const;
    void write(std::string_view bytes, std::string_view moreBytes = {});
    void reportState();
    [[nodiscard]] ClientState state() const;
    /// Closes the connection and tells the handler if it has an open request.
    void closeAnswering();
    void flush();
    void announceClose(HttpHeadBuilder &head);
    void answerEnded();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    CallerHandler *m_handler;
    std::array<char, 8192> m_buffer {};
    /// Bytes that have arrived behind the request under way.
    std::string m_pending;
    std::unique_ptr<HttpMessageParser> m_parser;
    HttpHead m_request;
    std::string m_out;
    std::string m_writing;
    ConnectionOwner *m_owner = nullptr;
    ClientNumber m_number;
    /// State that the owner knows of; the handler knows its unsent bytes.
    ClientState m_reported;
    /// Bytes that were dropped behind the last request.
    std::size_t m_discardedBytes = 0;
    bool m_open = true;
    bool m_waiting = false;
    bool m_requestSeen = false;
    bool m_answering = false;
    bool m_continueSent = false;
    /// The connection closes behind the present or next answer.
    bool m_closing = false;
    /// The last answer has been handed over and the connection closes behind it.
    bool m_lastAnswer = false;
    TimePoint m_phaseStart;
    Duration m_silence;
    Duration m_unreadTime;
};

} // namespace ibismast
