#pragma once

#include "adapters/relay/callerconnection.h"

#include <unordered_map>

namespace ibismast
{

/// Accepts HTTP connections on one address and keeps them within limits.
class CallerServer final : public ConnectionOwner
{
public:
    CallerServer(boost::asio::io_context &loop, CallerHandler &handler, const ClientLimitsSettings &limits);
    /// Uses the default limits except for the number of connections.
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
    /// Account of what the connections hold.
    [[nodiscard]] ClientLimits &limits()
    {
        return m_limits;
    }
    /// Clients that have given way, by reason.
    [[nodiscard]] const std::map<GiveWayReason, std::uint64_t> &givenWay() const
    {
        return m_givenWay;
    }
    /// Port that is listened on; differs from the asked one if that was 0.
    [[nodiscard]] std::uint16_t port() const;

    void stateChanged(const CallerConnection &connection, const ClientState &state) override;
    void connectionClosed(const CallerConnection &connection) override;
    [[nodiscard]] bool mayRead(const CallerConnection &connection) override;

private:
    void accept();
    void add(boost::asio::ip::tcp::socket socket);
    /// Closes the least useful connection; returns false if all have open requests.
    bool makePlace();
    /// Calls `relieve` after the current step, in which a connection may be that gives way.
    void postRelief();
    /// Lets clients give way until what is held is within the limits, and reads on where it is.
    void relieve();
    void giveWay(const GivenWay &givenWay);

    boost::asio::io_context *m_loop;
    CallerHandler *m_handler;
    ClientLimits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_peer;
    boost::asio::steady_timer m_pause;
    std::unordered_map<ClientNumber, std::shared_ptr<CallerConnection>> m_connections;
    std::map<GiveWayReason, std::uint64_t> m_givenWay;
    /// Closed connections that are still in the table.
    std::vector<ClientNumber> m_closed;
    bool m_reliefPosted = false;
    bool m_closing = false;
};

} // namespace ibismast
