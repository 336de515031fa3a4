#include "adapters/relay/callerserver.h"

#include "adapters/plumbing/logging.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ibismast
{

namespace
{

using ErrorCode = boost::system::error_code;

/// Pause after a failed accept, most likely for want of descriptors.
constexpr std::chrono::milliseconds AcceptPause(20);
/// Bytes that the kernel may hold of a request that is not read; see `ClientLimitsSettings::unreadBytes`.
constexpr int ReceiveBufferBytes = 64 * 1024;

} // namespace

CallerServer::CallerServer(boost::asio::io_context &loop, CallerHandler &handler, const ClientLimitsSettings &limits)
    : m_loop(&loop), m_handler(&handler), m_limits(limits), m_acceptor(loop), m_pause(loop)
{
}

CallerServer::CallerServer(boost::asio::io_context &loop, CallerHandler &handler, std::size_t maxConnections)
    : CallerServer(loop, handler, ClientLimitsSettings {.maxConnections = maxConnections})
{
}

Result<Success> CallerServer::listen(const boost::asio::ip::tcp::endpoint &endpoint)
{
    ErrorCode error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
        // Accepted sockets inherit the size.
        ErrorCode ignored;
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
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
    m_acceptor.async_accept(m_peer, [this](const ErrorCode &error, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            logEvent(spdlog::level::warn, "accept_failed", {{"reason", error.message()}});
            makePlace();
            m_pause.expires_after(AcceptPause);
            m_pause.async_wait([this](const ErrorCode &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        add(std::move(socket));
        accept();
    });
}

void CallerServer::add(boost::asio::ip::tcp::socket socket)
{
    if (m_limits.full() && !makePlace()) {
        return;
    }
    const ClientNumber number = m_limits.connected(ClientAddress(m_peer.address().to_string()));
    auto connection = std::make_shared<CallerConnection>(std::move(socket), *m_handler);
    if (m_closing) {
        connection->closeAfterAnswer();
    }
    m_connections.emplace(number, connection);
    connection->start(this, number);
}

bool CallerServer::makePlace()
{
    const std::optional<ClientNumber> least = m_limits.leastUseful();
    if (!least) {
        return false;
    }
    ++m_givenWay[GiveWayReason::Connections];
    m_connections.at(*least)->cut();
    return true;
}

void CallerServer::stateChanged(const CallerConnection &connection, const ClientState &state)
{
    m_limits.update(connection.number(), state);
    if (m_limits.needsAction()) {
        postRelief();
    }
}

void CallerServer::connectionClosed(const CallerConnection &connection)
{
    m_limits.disconnected(connection.number());
    m_closed.push_back(connection.number());
    postRelief();
}

bool CallerServer::mayRead(const CallerConnection &connection)
{
    const bool reading = m_limits.mayRead(connection.number());
    if (!reading && m_limits.needsAction()) {
        postRelief();
    }
    return reading;
}

void CallerServer::postRelief()
{
    if (m_reliefPosted) {
        return;
    }
    m_reliefPosted = true;
    boost::asio::post(*m_loop, [this] {
        m_reliefPosted = false;
        relieve();
    });
}

void CallerServer::relieve()
{
    for (const ClientNumber number : std::exchange(m_closed, {})) {
        m_connections.erase(number);
    }
    while (const std::optional<GivenWay> next = m_limits.nextToGiveWay()) {
        giveWay(*next);
    }
    for (const ClientNumber number : m_limits.takeResumed()) {
        m_connections.at(number)->resume();
    }
}

void CallerServer::giveWay(const GivenWay &givenWay)
{
    ++m_givenWay[givenWay.reason];
    const Error error = givenWay.reason == GiveWayReason::StalledRequest
        ? Error {ResultCode::RequestTimeout, "the request was sent too slowly while memory was short", std::nullopt}
        : Error {ResultCode::QueueFull, "requests hold too much memory", std::nullopt};
    m_connections.at(givenWay.client)->giveWay(error);
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
    for (const auto &[number, connection] : m_connections) {
        connection->closeAfterAnswer();
    }
}

void CallerServer::closeIdle()
{
    for (const auto &[number, connection] : m_connections) {
        if (connection->isIdle()) {
            connection->cut();
        }
    }
}

void CallerServer::enforceTimes(TimePoint now)
{
    for (const GivenWay &stalled : m_limits.stalled()) {
        giveWay(stalled);
    }
    for (const auto &[number, connection] : m_connections) {
        connection->enforceTimes(now);
    }
    relieve();
}

std::size_t CallerServer::unsentAnswers() const
{
    const auto count = std::ranges::count_if(m_connections, [](const auto &entry) {
        const std::shared_ptr<CallerConnection> &connection = entry.second;
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
