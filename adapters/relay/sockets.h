#pragma once

#include "ibismast/core/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>

namespace ibismast
{

/// Parses `ip:port`; returns nothing if @p text has another form.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(const std::string &text);
[[nodiscard]] std::optional<boost::asio::ip::udp::endpoint> parseUdpEndpoint(const std::string &text);

/// Makes @p socket send without delay and notice a peer that is gone: unacknowledged bytes and unanswered keep-alive
/// probes end the connection after about @p silence. A cut link gives no other sign.
void prepareSocket(boost::asio::ip::tcp::socket &socket, Duration silence);

/// Sets the time after which the kernel gives up @p socket, also behind its close, if the peer leaves bytes
/// unacknowledged or, though it acknowledges, keeps its window closed.
void setUnsentTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

/// State of a connection that tells a peer that reads slowly from one that is gone; from TCP_INFO.
struct PeerAcknowledgements
{
    /// Segments that have been sent and not acknowledged.
    std::uint32_t unacknowledged = 0;
    /// Probes of an idle connection or a closed window that have not been acknowledged.
    std::uint32_t unansweredProbes = 0;
    Duration sinceLast {};
};
/// Returns how long a peer has been silent that should have acknowledged something; zero if nothing is due.
[[nodiscard]] Duration peerSilence(const PeerAcknowledgements &acknowledgements);
/// The same for the peer of @p socket; zero if the system does not tell.
[[nodiscard]] Duration peerSilence(boost::asio::ip::tcp::socket &socket);

/// Returns whether the peer has closed or reset the connection and everything that it sent before has been read.
[[nodiscard]] bool closedByPeer(boost::asio::ip::tcp::socket &socket);

} // namespace ibismast
