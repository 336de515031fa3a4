#include "adapters/relay/httprequester.h"

#include "adapters/plumbing/processclock.h"
#include "adapters/relay/httpwriter.h"

#include <cassert>

namespace ibismast
{

HttpRequester::HttpRequester(boost::asio::io_context &loop,
                             const boost::asio::ip::tcp::endpoint &endpoint,
                             std::uint64_t maxBodyBytes)
    : m_loop(&loop), m_endpoint(endpoint), m_timer(loop)
{
    m_connectionSettings.limits.maxBodyBytes = maxBodyBytes;
}

HttpRequester::~HttpRequester()
{
    if (m_connection) {
        m_connection->close();
    }
}

void HttpRequester::get(const std::string &target, Duration timeout, Handler handler)
{
    send(HttpHeadBuilder::request("GET", target).header("Host", host()).build(), timeout, std::move(handler));
}

void HttpRequester::post(const std::string &target, const std::string &body, Duration timeout, Handler handler)
{
    HttpHeadBuilder head = HttpHeadBuilder::request("POST", target);
    head.header("Host", host())
        .header("Content-Type", "application/json")
        .header("Content-Length", std::to_string(body.size()));
    send(head.build() + body, timeout, std::move(handler));
}

std::string HttpRequester::host() const
{
    return m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port());
}

void HttpRequester::send(std::string request, Duration timeout, Handler handler)
{
    assert(!m_handler);
    m_handler = std::move(handler);
    m_answer = {};
    if (!m_connection || !m_connection->isIdle() || m_connection->idleUntil() <= processNow()) {
        if (m_connection) {
            m_connection->close();
        }
        m_connection = std::make_shared<UpstreamConnection>(*m_loop, m_endpoint, m_connectionSettings);
    }
    m_deadline.emplace(TransferSettings(), timeout, processNow());
    awaitDeadline();
    m_connection->send(std::move(request),
                       {[this](const HttpHead &head) {
                            m_answer.status = head.status;
                            m_answer.head = head;
                            return true;
                        },
                        [this](std::string_view bytes) {
                            m_deadline->received(bytes.size(), processNow());
                            m_answer.body.append(bytes);
                        },
                        [this] {
                            finish(std::move(m_answer));
                        },
                        [this](AttemptFailure /*failure*/, const std::string &reason) {
                            finish(Error {ResultCode::StoreUnavailable, reason, std::nullopt});
                        }});
}

void HttpRequester::awaitDeadline()
{
    m_timer.expires_after(m_deadline->due() - processNow());
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error || !m_handler) {
            return;
        }
        if (processNow() < m_deadline->due()) {
            awaitDeadline();
            return;
        }
        m_connection->close();
        finish(Error {ResultCode::StoreUnavailable,
                      "no answer in time, " + std::to_string(m_deadline->receivedBytes()) + " bytes of it received",
                      std::nullopt});
    });
}

void HttpRequester::finish(Result<HttpAnswer> result)
{
    m_timer.cancel();
    const Handler handler = std::exchange(m_handler, nullptr);
    handler(std::move(result));
}

} // namespace ibismast
