#include "adapters/relay/httprequester.h"

#include "adapters/plumbing/processclock.h"
#include "adapters/relay/httpwriter.h"

#include <cassert>

namespace ibismast
{

HttpRequester::HttpRequester(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &endpoint)
    : m_loop(&loop), m_endpoint(endpoint), m_timer(loop)
{
}

HttpRequester::~HttpRequester()
{
    if (m_connection) {
        m_connection->close();
    }
}

void HttpRequester::get(const std::string &target, Duration timeout, Handler handler)
{
    assert(!m_handler);
    m_handler = std::move(handler);
    m_answer = {};
    if (!m_connection || !m_connection->isIdle() || m_connection->idleUntil() <= processNow()) {
        if (m_connection) {
            m_connection->close();
        }
        m_connection = std::make_shared<UpstreamConnection>(*m_loop, m_endpoint, UpstreamConnectionSettings());
    }
    m_timer.expires_after(timeout);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && m_handler) {
            m_connection->close();
            finish(Error {ResultCode::StoreUnavailable, "no answer in time", std::nullopt});
        }
    });
    const std::string host = m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port());
    m_connection->send(HttpHeadBuilder::request("GET", target).header("Host", host).build(),
                       {[this](const HttpHead &head) {
                            m_answer.status = head.status;
                            return true;
                        },
                        [this](std::string_view bytes) {
                            m_answer.body.append(bytes);
                        },
                        [this] {
                            finish(std::move(m_answer));
                        },
                        [this](AttemptFailure /*failure*/, const std::string &reason) {
                            finish(Error {ResultCode::StoreUnavailable, reason, std::nullopt});
                        }});
}

void HttpRequester::finish(Result<HttpAnswer> result)
{
    m_timer.cancel();
    const Handler handler = std::exchange(m_handler, nullptr);
    handler(std::move(result));
}

} // namespace ibismast
