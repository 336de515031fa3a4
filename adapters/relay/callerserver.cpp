#include "adapters/relay/callerserver.h"

#include "adapters/plumbing/logging.h"

#include <algorithm>

namespace ibismast
{

namespace
{

using ErrorCode = boost::system::error_code;

/// Pause after a failed accept, most likely for want of descriptors.
constexpr std::chrono::milliseconds AcceptPause(20);

} // namespace

CallerServer::CallerServer(boost::asio::io_context &loop, CallerHandler &handler, std::size_t maxConnections)
    : m_handler(&handler), m_maxConnections(maxConnections), m_acceptor(loop), m_pause(loop)
{
}

Result<Success> CallerServer::listen(const boost::asio::ip::tcp::endpoint &endpoint)
{
    ErrorCode error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error {ResultCode::SettingsInvalid,
                      "cannot listen on " + endpoint.address().to_string() + ":" + std::to_string(endpoint.port())
                          + ": " + error.message(),
                      std::nullopt};
    }
    accept();
    return Success {};
}

void CallerServer::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &error, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            logEvent(spdlog::level::warn, "accept_failed", {{"reason", error.message()}});
            m_pause.expires_after(AcceptPause);
            m_pause.async_wait([this](const ErrorCode &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        if (m_connections.size() < m_maxConnections) {
            auto connection = std::make_shared<CallerConnection>(std::move(socket), *m_handler);
            if (m_closing) {
                connection->closeAfterAnswer();
            }
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void CallerServer::stopListening()
{
    ErrorCode ignored;
    m_acceptor.close(ignored);
    m_pause.cancel();
}

void CallerServer::closeAfterAnswers()
{
    m_closing = true;
    for (const auto &connection : m_connections) {
        connection->closeAfterAnswer();
    }
}

void CallerServer::closeIdle()
{
    for (const auto &connection : m_connections) {
        if (connection->isIdle()) {
            connection->cut();
        }
    }
}

void CallerServer::enforceTimes(TimePoint now)
{
    std::erase_if(m_connections, [now](const std::shared_ptr<CallerConnection> &connection) {
        connection->enforceTimes(now);
        return !connection->isOpen();
    });
}

std::size_t CallerServer::unsentAnswers() const
{
    const auto count = std::ranges::count_if(m_connections, [](const std::shared_ptr<CallerConnection> &connection) {
        return connection->isOpen() && !connection->isAnswering() && connection->unsentBytes() > 0;
    });
    return static_cast<std::size_t>(count);
}

std::uint16_t CallerServer::port() const
{
    ErrorCode ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

} // namespace ibismast
