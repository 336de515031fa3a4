#pragma once

#include "adapters/relay/callerconnection.h"

#include <unordered_set>

namespace ibismast
{

/// Accepts HTTP connections on one address.
class CallerServer
{
public:
    CallerServer(boost::asio::io_context &loop, CallerHandler &handler, std::size_t maxConnections);

    /// Listens on @p endpoint. Fails with `SettingsInvalid` if the address cannot be used.
    [[nodiscard]] Result<Success> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Accepts no more connections.
    void stopListening();
    /// Lets all connections close after their present or next answer.
    void closeAfterAnswers();
    /// Closes all connections without a request.
    void closeIdle();
    /// Closes connections that have outlived their times.
    void enforceTimes(TimePoint now);
    [[nodiscard]] std::size_t connections() const
    {
        return m_connections.size();
    }
    /// Number of ended answers of which bytes still wait for their callers to read.
    [[nodiscard]] std::size_t unsentAnswers() const;
    /// Port that is listened on; differs from the asked one if that was 0.
    [[nodiscard]] std::uint16_t port() const;

private:
    void accept();

    CallerHandler *m_handler;
    std::size_t m_maxConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    std::unordered_set<std::shared_ptr<CallerConnection>> m_connections;
    bool m_closing = false;
};

} // namespace ibismast
