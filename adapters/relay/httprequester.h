#pragma once

#include "adapters/relay/upstreamconnection.h"

#include "ibismast/core/result.h"
#include "ibismast/relay/transferdeadline.h"

namespace ibismast
{

/// Answer to a request of this process's own.
struct HttpAnswer
{
    int status = 0;
    HttpHead head;
    std::string body;
};

/// Sends requests of this process's own to one server, one at a time, on a kept connection.
class HttpRequester
{
public:
    using Handler = std::function<void(Result<HttpAnswer> result)>;

    /// @p maxBodyBytes limits the body of an answer. A larger one ends the connection and counts as no answer.
    HttpRequester(boost::asio::io_context &loop,
                  const boost::asio::ip::tcp::endpoint &endpoint,
                  std::uint64_t maxBodyBytes);
    ~HttpRequester();
    HttpRequester(const HttpRequester &) = delete;
    HttpRequester &operator=(const HttpRequester &) = delete;

    /// Sends a GET. @p handler is called exactly once, unless the object is destroyed before. An answer may take longer
    /// than @p timeout only while it arrives steadily (`TransferDeadline`). A request whose answer is given up ends its
    /// connection, so that the answer cannot be taken for that of the next one.
    void get(const std::string &target, Duration timeout, Handler handler);
    /// Sends a POST of a JSON body; like `get` otherwise.
    void post(const std::string &target, const std::string &body, Duration timeout, Handler handler);

private:
    void send(std::string request, Duration timeout, Handler handler);
    [[nodiscard]] std::string host() const;
    /// Arms the timer for the time at which the answer is given up.
    void awaitDeadline();
    void finish(Result<HttpAnswer> result);

    boost::asio::io_context *m_loop;
    boost::asio::ip::tcp::endpoint m_endpoint;
    UpstreamConnectionSettings m_connectionSettings;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<UpstreamConnection> m_connection;
    Handler m_handler;
    HttpAnswer m_answer;
    std::optional<TransferDeadline> m_deadline;
};

} // namespace ibismast
