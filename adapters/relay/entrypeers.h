#pragma once

#include "adapters/relay/sockets.h"
#include "wire/relaycodec.h"

#include <array>
#include <functional>

namespace ibismast
{

/// Sends and receives datagrams between entries.
class EntryPeers
{
public:
    using NewsHandler = std::function<void(const EntryNews &news)>;

    EntryPeers(boost::asio::io_context &loop, NewsHandler handler);

    /// Binds to @p endpoint. Fails with `SettingsInvalid` if the address cannot be used.
    [[nodiscard]] Result<Success> open(const boost::asio::ip::udp::endpoint &endpoint);
    /// Sends @p news to all @p addresses; a datagram that cannot be sent at once is lost.
    void send(const EntryNews &news, const std::vector<std::string> &addresses);
    void close();
    /// Datagrams that could not be decoded.
    [[nodiscard]] std::uint64_t undecodable() const
    {
        return m_undecodable;
    }

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 16384> m_buffer {};
    NewsHandler m_handler;
    std::uint64_t m_undecodable = 0;
};

} // namespace ibismast
