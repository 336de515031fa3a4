#include "adapters/relay/sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>

namespace ibismast
{

namespace
{

using boost::asio::ip::tcp;

using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

struct AddressParts
{
    boost::asio::ip::address address;
    std::uint16_t port = 0;
};

std::optional<AddressParts> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    AddressParts parts;
    parts.address = boost::asio::ip::make_address(text.substr(0, colon), error);
    const char *end = text.data() + text.size();
    const auto [parsed, portError] = std::from_chars(text.data() + colon + 1, end, parts.port);
    if (error || portError != std::errc() || parsed != end) {
        return std::nullopt;
    }
    return parts;
}

int inMs(Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

std::optional<tcp::endpoint> parseTcpEndpoint(const std::string &text)
{
    const std::optional<AddressParts> parts = parseAddress(text);
    return parts ? std::optional(tcp::endpoint(parts->address, parts->port)) : std::nullopt;
}

std::optional<boost::asio::ip::udp::endpoint> parseUdpEndpoint(const std::string &text)
{
    const std::optional<AddressParts> parts = parseAddress(text);
    return parts ? std::optional(boost::asio::ip::udp::endpoint(parts->address, parts->port)) : std::nullopt;
}

void prepareSocket(tcp::socket &socket, Duration silence)
{
    const int silenceMs = inMs(silence);
    // A socket that closes meanwhile refuses options; its next read reports that.
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(1), ignored);
    socket.set_option(KeepAliveInterval(1), ignored);
    socket.set_option(KeepAliveCount(std::max(1, silenceMs / 1000)), ignored);
    socket.set_option(UserTimeout(silenceMs), ignored);
}

void setUnsentTimeout(tcp::socket &socket, Duration timeout)
{
    boost::system::error_code ignored;
    socket.set_option(UserTimeout(inMs(timeout)), ignored);
}

Duration peerSilence(const PeerAcknowledgements &acknowledgements)
{
    // The answer to a single probe may be held back by the peer's rate limit, or lost.
    constexpr std::uint32_t MinProbes = 2;
    const bool due = acknowledgements.unacknowledged > 0 || acknowledgements.unansweredProbes >= MinProbes;
    return due ? acknowledgements.sinceLast : Duration::zero();
}

Duration peerSilence(tcp::socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return Duration::zero();
    }
    return peerSilence(
        PeerAcknowledgements {info.tcpi_unacked, info.tcpi_probes, std::chrono::milliseconds(info.tcpi_last_ack_recv)});
}

bool closedByPeer(tcp::socket &socket)
{
    char next = 0;
    const ssize_t size = ::recv(socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace ibismast
