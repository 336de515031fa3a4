#pragma once

#include "adapters/plumbing/httpmessage.h"
#include "adapters/relay/sockets.h"

#include "ibismast/relay/callflow.h"

#include <array>
#include <functional>
#include <memory>

namespace ibismast
{

/// Receives the answer to one request. After `onFailed` or `onEnd` nothing more is reported.
struct AnswerHandler
{
    /// Returns false if the answer belongs to another call; it is skipped then.
    std::function<bool(const HttpHead &head)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    std::function<void()> onEnd;
    std::function<void(AttemptFailure failure, const std::string &reason)> onFailed;
};

/// Times and limits of a connection to an upstream.
struct UpstreamConnectionSettings
{
    /// Longest time to connect. A lost first packet is sent again after a second, when another upstream is the better
    /// try.
    Duration connectTimeout = std::chrono::milliseconds(300);
    /// A peer that acknowledges nothing for this long is gone.
    Duration silence = std::chrono::milliseconds(1500);
    /// The kernel of an upstream takes requests up to this size whether or not the upstream reads them.
    std::size_t maxSmallRequestBytes = std::size_t {64} * 1024;
    /// Time for which an upstream that acknowledges may leave a larger request unread. Callers wait less.
    Duration unreadTime = std::chrono::seconds(60);
    /// Time for which an idle connection is kept if the upstream names none.
    Duration defaultIdle = std::chrono::seconds(3);
    /// An idle connection is given up this long before the upstream would close it.
    Duration idleMargin = std::chrono::milliseconds(1000);
    /// Limits on the responses that are skipped before the one that is due: interim ones, and those to other calls.
    int maxSkippedResponses = 8;
    std::size_t maxSkippedBytes = std::size_t {256} * 1024;
    HttpMessageLimits limits {64 * 1024, std::uint64_t {64} * 1024 * 1024};
    /// Bytes that the kernel may hold of an answer that is not read. They count as memory of the process.
    int receiveBufferBytes = 128 * 1024;
};

/// One HTTP/1.1 connection to an upstream; it carries one request at a time.
///
/// Answers that are reset are told apart from answers that end with their connection. Bytes that come while no answer
/// is due end the connection, since they belong to no request.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(boost::asio::io_context &loop,
                       const boost::asio::ip::tcp::endpoint &endpoint,
                       const UpstreamConnectionSettings &settings);

    /// Sends @p request, connecting first if need be.
    void send(std::string request, AnswerHandler handler);
    /// Stops or resumes reading the answer under way, so that TCP holds the upstream back. Nothing is noticed of the
    /// upstream meanwhile.
    void setPaused(bool paused);
    /// Closes the connection without a report.
    void close();
    /// True if another request may be sent.
    [[nodiscard]] bool isIdle() const;
    /// True if the connection has carried an answer before, which the upstream may repeat.
    [[nodiscard]] bool hasAnswered() const
    {
        return m_hasAnswered;
    }
    /// Time until which the upstream is expected to keep the idle connection.
    [[nodiscard]] TimePoint idleUntil() const
    {
        return m_idleUntil;
    }

private:
    enum class State : std::uint8_t {
        New,
        Connecting,
        Open,
        Closed,
    };

    void connect();
    void write();
    /// Lets the upstream read a large request slowly, as long as it acknowledges.
    void allowSlowReading();
    /// Fails the call if the upstream acknowledges nothing, and looks again later otherwise.
    void checkSilence();
    void read();
    void received(std::string_view bytes);
    void parse(std::string_view bytes);
    /// Reports the head and body that the parser holds.
    void report();
    /// True if more was skipped before the response than a sound upstream sends.
    [[nodiscard]] bool skippedTooMuch() const;
    void answerComplete();
    void connectionEnded(const boost::system::error_code &error);
    void fail(AttemptFailure failure, const std::string &reason);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::tcp::endpoint m_endpoint;
    UpstreamConnectionSettings m_settings;
    State m_state = State::New;
    std::array<char, 8192> m_buffer {};
    std::string m_request;
    bool m_writing = false;
    /// True once a request could not be written, since the connection was reset.
    bool m_writeFailed = false;
    bool m_reading = false;
    /// True while the upstream may read slowly.
    bool m_slowReading = false;
    bool m_paused = false;
    /// Shared, since a handler may close the connection while it runs.
    std::shared_ptr<const AnswerHandler> m_handler;
    std::unique_ptr<HttpMessageParser> m_parser;
    bool m_headReported = false;
    bool m_skipping = false;
    int m_skippedResponses = 0;
    std::size_t m_skippedBytes = 0;
    bool m_reusable = false;
    bool m_hasAnswered = false;
    TimePoint m_idleUntil;
};

} // namespace ibismast
