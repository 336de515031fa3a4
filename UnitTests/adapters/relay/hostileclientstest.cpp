#include "UnitTests/adapters/relay/entryprogram.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
/// Legal limit of a body in the stand-in's configuration.
constexpr std::size_t MaxBodyBytes = 4 * MiB;

/// Bounds on the entry; its settings name the same limits.
constexpr std::int64_t MemoryMb = 48;
constexpr std::size_t Descriptors = 300;
/// Descriptors that the platform keeps for files.
constexpr std::size_t FileDescriptors = 200;
/// Descriptors of the entry that are no connections: its log, listeners, poll and timers.
constexpr std::size_t OwnDescriptors = 16;
#if defined(__SANITIZE_ADDRESS__)
/// Shadow memory and red zones of the sanitized program.
constexpr std::int64_t MemoryFactor = 3;
#else
constexpr std::int64_t MemoryFactor = 1;
#endif

/// What each client of a crowd sends before it falls silent with its connection open.
struct Crowd
{
    std::string name;
    std::size_t clients = 0;
    std::string head;
    std::string piece;
    std::size_t pieces = 0;
    bool reads = true;
    /// Connects to the balancer's page instead of the callers' port.
    bool toPage = false;
};

/// Client that sends its share of a crowd's bytes and stays.
class CrowdClient
{
public:
    CrowdClient(boost::asio::io_context &loop, const Crowd &crowd, std::size_t &moved)
        : m_peer(loop), m_crowd(&crowd), m_moved(&moved), m_left(crowd.pieces)
    {
    }
    void start(const tcp::endpoint &endpoint)
    {
        if (!m_crowd->reads) {
            m_peer.socket.open(endpoint.protocol());
            m_peer.socket.set_option(boost::asio::socket_base::receive_buffer_size(8 * KiB));
        }
        m_peer.socket.connect(endpoint);
        m_peer.socket.set_option(tcp::no_delay(true));
        if (m_crowd->reads) {
            m_peer.read();
        }
        send(m_crowd->head);
    }
    [[nodiscard]] bool settled() const
    {
        return m_settled;
    }

private:
    void send(const std::string &bytes)
    {
        boost::asio::async_write(m_peer.socket,
                                 boost::asio::buffer(bytes),
                                 [this](const boost::system::error_code &error, std::size_t size) {
                                     *m_moved += size;
                                     if (error || m_left == 0) {
                                         m_settled = true;
                                         return;
                                     }
                                     --m_left;
                                     send(m_crowd->piece);
                                 });
    }

    LoopbackPeer m_peer;
    const Crowd *m_crowd;
    std::size_t *m_moved;
    std::size_t m_left;
    bool m_settled = false;
};

std::string post(const std::string &headers)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: x1\r\n" + headers + "\r\n";
}

std::string withLength(std::size_t bytes)
{
    return post("Content-Length: " + std::to_string(bytes) + "\r\n");
}

std::string repeated(const std::string &text, std::size_t times)
{
    std::string result;
    for (std::size_t index = 0; index < times; ++index) {
        result += text;
    }
    return result;
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string LargeChunk = "4000\r\n" + std::string(16 * KiB, 'x') + "\r\n";
const std::string ByteChunks = repeated("1\r\nx\r\n", 4'096);

const std::string Limits =
    "[limits]\ndescriptors = " + std::to_string(Descriptors) + "\nmemory_mb = " + std::to_string(MemoryMb) + "\n";

} // namespace

// Guards against clients outside the limits that end an entry for want of memory or shut out ordinary callers: an entry
// took 950 MB for 240 unfinished bodies (issue 45).
TEST_CASE("an entry outlives a crowd of hostile clients", "[clients][serial]")
{
    const Crowd crowd = GENERATE(values<Crowd>({
        {"whole bodies that stop short", 40, withLength(MaxBodyBytes), std::string(MaxBodyBytes - 100, 'x'), 1},
        {"bodies in pieces that stop short", 40, withLength(MaxBodyBytes), std::string(4 * KiB, 'x'), 1'023},
        {"bodies of half the limit that stop short", 80, withLength(2 * MiB), std::string(16 * KiB, 'x'), 127},
        {"large chunks that stop short", 40, post(Chunked), LargeChunk, 255},
        {"chunks of one byte that stop short", 40, post(Chunked), ByteChunks, 24},
        {"small bodies that stop short", 400, withLength(64 * KiB), std::string(32 * KiB, 'x'), 1},
        {"announced over the limit", 80, withLength(100 * MiB), std::string(64 * KiB, 'x'), 96},
        {"sent over the limit", 40, post(Chunked), LargeChunk, 384},
        {"more than announced", 40, withLength(100), std::string(64 * KiB, 'x'), 96},
        {"heads that never end", 200, "POST /a HTTP/1.1\r\nHost: h\r\nX: ", std::string(15 * KiB, 'x'), 1},
        {"no byte at all", 200, "", "", 0},
        {"answers that are never read",
         40,
         "GET /large HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: x1\r\n\r\n",
         "",
         0,
         false},
        {"no byte at all to the page", 200, "", "", 0, true, true},
        {"bodies to the page that stop short",
         40,
         withLength(MaxBodyBytes),
         std::string(4 * KiB, 'x'),
         1'023,
         true,
         true},
    }));
    CAPTURE(crowd.name);
    constexpr Duration Quiet = 1s;
    boost::asio::io_context loop(1);
    EntryProgram entry(loop, IBISMAST_RELAY_PROGRAM, Limits);
    const bool ready = entry.awaitReady();
    INFO(entry.log());
    REQUIRE(ready);

    std::size_t moved = 0;
    std::vector<std::unique_ptr<CrowdClient>> clients;
    for (std::size_t index = 0; index < crowd.clients; ++index) {
        clients.push_back(std::make_unique<CrowdClient>(loop, crowd, moved));
        clients.back()->start(crowd.toPage ? entry.page() : entry.callers());
    }
    // Some of the crowd may be held back for as long as it stays; the crowd is in place when nothing moves any more.
    std::size_t before = 0;
    auto lastMove = std::chrono::steady_clock::now();
    (void)runUntil(loop, [&] {
        const auto now = std::chrono::steady_clock::now();
        if (moved + static_cast<std::size_t>(entry.requestsRun()) != before) {
            before = moved + static_cast<std::size_t>(entry.requestsRun());
            lastMove = now;
        }
        return now - lastMove > Quiet;
    });

    const std::size_t descriptors = entry.descriptors();
    const std::string answer = entry.ask(entry.callers(), withLength(5) + "hello", "read 5 bytes");
    REQUIRE(entry.lives());
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(answer.find("read 5 bytes") != std::string::npos);
    for (int question = 0; question < 4; ++question) {
        const std::string ready = entry.ask(entry.page(), "GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n", "ready\n");
        CHECK(ready.find("HTTP/1.1 200") == 0);
    }
    CHECK(entry.peakMemory() / static_cast<std::int64_t>(MiB) < MemoryMb * MemoryFactor);
    CHECK(descriptors <= Descriptors - FileDescriptors + OwnDescriptors);
}

// Guards against limits on hostile clients that refuse a request of the largest legal size.
TEST_CASE("the largest legal request is served in calm", "[clients][serial]")
{
    const std::string request = GENERATE(withLength(MaxBodyBytes) + std::string(MaxBodyBytes, 'x'),
                                         post(Chunked) + repeated(LargeChunk, 256) + "0\r\n\r\n");
    boost::asio::io_context loop(1);
    EntryProgram entry(loop, IBISMAST_RELAY_PROGRAM, Limits);
    const bool ready = entry.awaitReady();
    INFO(entry.log());
    REQUIRE(ready);
    for (int repetition = 0; repetition < 3; ++repetition) {
        CHECK(entry.ask(entry.callers(), request, " bytes").find("read 4194304 bytes") != std::string::npos);
    }
}
