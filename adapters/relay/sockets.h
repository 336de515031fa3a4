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

/// Returns whether the peer has closed or reset the connection and everything that it sent before has been read.
[[nodiscard]] bool closedByPeer(boost::asio::ip::tcp::socket &socket);

} // namespace ibismast
