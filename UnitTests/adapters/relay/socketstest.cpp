#include "adapters/relay/sockets.h"

#include "UnitTests/adapters/relay/loopbackpeer.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Guards against a peer that reads slowly and counts as gone, since the probes of its closed window are far apart, and
// against one that is gone and counts as slow.
TEST_CASE("a peer is silent only if it owes an acknowledgement", "[relay]")
{
    const auto [unacknowledged, probes, silence] = GENERATE(table<std::uint32_t, std::uint32_t, Duration>({
        {0, 0, 0s},
        {0, 1, 0s},
        {0, 2, 5s},
        {1, 0, 5s},
        {3, 2, 5s},
    }));
    CHECK(peerSilence(PeerAcknowledgements {unacknowledged, probes, 5s}) == silence);
}

// Guards against a slow reader that counts as gone on a real connection.
TEST_CASE("a peer with a closed window is not silent", "[relay]")
{
    boost::asio::io_context loop {1};
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    tcp::socket reader(loop);
    reader.open(tcp::v4());
    reader.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
    reader.connect(acceptor.local_endpoint());
    tcp::socket writer = acceptor.accept();
    prepareSocket(writer, 10s);
    const std::string bytes(std::size_t {8} << 20, 'x');
    boost::asio::async_write(writer, boost::asio::buffer(bytes), [](const boost::system::error_code &, std::size_t) {});
    // Long enough for a probe whose answer the peer's rate limit has held back.
    loop.run_for(1s);
    CHECK(peerSilence(writer) == Duration::zero());
}
