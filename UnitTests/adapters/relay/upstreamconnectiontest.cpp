#include "adapters/relay/upstreamconnection.h"
#include "UnitTests/adapters/relay/loopbackpeer.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using boost::asio::ip::tcp;

namespace
{

const std::string Mine = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok";
const std::string Foreign = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong";
const std::string Unframed = "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\n\r\nok";
const std::string Cut = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nok";
const std::string Chunked = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";

/// Upstream that accepts one connection, and a connection to it.
class ConnectionFixture
{
protected:
    ConnectionFixture() : upstream(loop), m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        m_acceptor.async_accept(upstream.socket, [this](const boost::system::error_code & /*error*/) {
            upstream.read();
        });
        connection =
            std::make_shared<UpstreamConnection>(loop, m_acceptor.local_endpoint(), UpstreamConnectionSettings());
    }
    ~ConnectionFixture()
    {
        connection->close();
        loop.restart();
        loop.poll();
    }
    /// Sends a request and waits until the upstream has it.
    void send()
    {
        upstream.received.clear();
        start("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(runUntil(loop, [this] {
            return upstream.received.ends_with("\r\n\r\n");
        }));
    }
    /// Begins to send @p request.
    void start(const std::string &request)
    {
        body.clear();
        outcome.clear();
        connection->send(request,
                         {[](const HttpHead &head) {
                              return head.header("Id") == "mine";
                          },
                          [this](std::string_view bytes) {
                              body.append(bytes);
                          },
                          [this] {
                              outcome = "complete";
                          },
                          [this](AttemptFailure failure, const std::string & /*reason*/) {
                              outcome = failure == AttemptFailure::NotSent ? "unsent" : "broken";
                          }});
    }
    void await()
    {
        REQUIRE(runUntil(loop, [this] {
            return !outcome.empty();
        }));
    }

    boost::asio::io_context loop {1};
    LoopbackPeer upstream;
    std::shared_ptr<UpstreamConnection> connection;
    std::string body;
    std::string outcome;

private:
    tcp::acceptor m_acceptor;
};

} // namespace

// Guards against a cut answer that looks complete, above all one without a length that is reset, and against an answer
// to another call that is passed on.
TEST_CASE_METHOD(ConnectionFixture, "an answer is complete only if nothing of it is missing", "[relay]")
{
    struct Row
    {
        std::string bytes;
        /// How the upstream goes on: it stays, closes or resets.
        std::string end;
        std::string outcome;
        bool reusable;
    };
    const Row row = GENERATE(values<Row>({
        {Mine, "stays", "complete", true},
        {Chunked, "stays", "complete", true},
        {Unframed, "closes", "complete", false},
        {Unframed, "resets", "broken", false},
        {Cut, "closes", "broken", false},
        {Cut, "resets", "broken", false},
        {Foreign + Mine, "stays", "complete", true},
        {Foreign, "closes", "broken", false},
        {Mine + Foreign, "stays", "complete", false},
        {"no answer at all\r\n\r\n", "stays", "broken", false},
        {"HTTP/1.1 000 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", "stays", "broken", false},
        {"HTTP/1.1 000 X\r\nId: mine\r\n\r\nok", "closes", "broken", false},
        {"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + Mine, "stays", "broken", false},
        {"HTTP/1.1 100 Continue\r\n\r\n" + Mine, "stays", "complete", true},
        {"", "closes", "broken", false},
    }));
    send();
    upstream.write(row.bytes);
    if (row.end == "resets") {
        // The bytes arrive first; the reset must not overtake them.
        (void)runUntil(loop, [this] {
            return body == "ok";
        });
        upstream.reset();
    } else if (row.end == "closes") {
        upstream.socket.shutdown(tcp::socket::shutdown_send);
    }
    await();
    CHECK(outcome == row.outcome);
    CHECK((outcome != "complete" || body == "ok"));
    CHECK(connection->isIdle() == row.reusable);
}

// Guards against the part of an answer that is passed on as a whole one: the upstream answers a long request at once,
// without a length, and resets the connection while the request is still being written (report of other operators,
// issue 58). The kernel then tells the writer of the reset and the reader of an orderly end.
TEST_CASE_METHOD(ConnectionFixture, "an answer whose upload is reset is complete only by its own length", "[relay]")
{
    struct Row
    {
        std::string bytes;
        /// How the upstream goes on: it resets, or closes its side and reads the rest.
        std::string end;
        std::string outcome;
    };
    const Row row = GENERATE(values<Row>({
        {Unframed, "resets", "broken"},
        {Cut, "resets", "broken"},
        {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "resets", "broken"},
        {Mine, "resets", "complete"},
        {Chunked, "resets", "complete"},
        {Unframed, "closes", "complete"},
    }));
    CAPTURE(row.bytes, row.end);
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ";
    constexpr std::size_t BodyBytes = std::size_t {16} << 20;
    start(head + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x'));
    REQUIRE(runUntil(loop, [this] {
        return upstream.received.size() > 1'000;
    }));
    upstream.pause();
    upstream.write(row.bytes);
    REQUIRE(runUntil(loop, [this] {
        return body == "ok";
    }));
    if (row.end == "resets") {
        upstream.reset();
    } else {
        upstream.socket.shutdown(tcp::socket::shutdown_send);
    }
    await();
    CHECK(outcome == row.outcome);
    CHECK_FALSE(connection->isIdle());
}

// Guards against a success with an empty or short body, framed as whole, when the upstream stops in the middle of its
// answer's head (reports of other operators, issue 29).
TEST_CASE_METHOD(ConnectionFixture, "an answer that ends inside its head is broken off", "[relay]")
{
    const std::string head = GENERATE(as<std::string>(),
                                      "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\n",
                                      "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
                                      "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n");
    const std::size_t missing = GENERATE(1, 2, 3, 4, 12, 20, 25);
    const bool resets = GENERATE(false, true);
    send();
    upstream.write(head.substr(0, head.size() - missing));
    if (resets) {
        upstream.reset();
    } else {
        upstream.socket.shutdown(tcp::socket::shutdown_send);
    }
    await();
    CHECK(outcome == "broken");
    CHECK(body.empty());
    CHECK_FALSE(connection->isIdle());
}

// Guards against a late second answer that is taken for that of the next call.
TEST_CASE_METHOD(ConnectionFixture, "bytes on an idle connection end it", "[relay]")
{
    send();
    upstream.write(Mine);
    await();
    REQUIRE(connection->isIdle());
    upstream.write(Foreign);
    CHECK(runUntil(loop, [this] {
        return !connection->isIdle();
    }));
}

// Guards against a long request that is broken off, and may have run, because its upstream reads slowly: it
// acknowledges with a closed window for longer than an upstream that is gone is waited for.
TEST_CASE("an upstream may read a long request slowly", "[relay]")
{
    constexpr Duration Silence = std::chrono::milliseconds(200);
    // Small ones fit into the buffers of the kernel.
    const std::size_t bodyBytes = GENERATE(as<std::size_t>(), 1'000, std::size_t {12} << 20);
    boost::asio::io_context loop(1);
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(8'192));
    UpstreamConnectionSettings settings;
    settings.silence = Silence;
    const auto connection = std::make_shared<UpstreamConnection>(loop, acceptor.local_endpoint(), settings);
    std::string outcome;
    const auto send = [&] {
        outcome.clear();
        connection->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                             + std::string(bodyBytes, 'x'),
                         {[](const HttpHead & /*head*/) {
                              return true;
                          },
                          [](std::string_view /*bytes*/) {},
                          [&outcome] {
                              outcome = "complete";
                          },
                          [&outcome](AttemptFailure /*failure*/, const std::string &reason) {
                              outcome = reason;
                          }});
    };
    LoopbackPeer upstream(loop);
    acceptor.async_accept(upstream.socket, [](const boost::system::error_code & /*error*/) {});
    std::size_t expected = 0;
    for (int request = 0; request < 2; ++request) {
        upstream.pause();
        send();
        loop.restart();
        loop.run_for(7 * Silence);
        CHECK(outcome.empty());
        upstream.resume();
        expected += bodyBytes;
        REQUIRE(runUntil(loop, [&] {
            return upstream.received.size() > expected || !outcome.empty();
        }));
        if (outcome.empty()) {
            upstream.write(Mine);
        }
        REQUIRE(runUntil(loop, [&outcome] {
            return !outcome.empty();
        }));
        REQUIRE(outcome == "complete");
    }
    connection->close();
    upstream.socket.close();
    loop.restart();
    loop.poll();
}

// Guards against an unsent call that is taken for one that may have run.
TEST_CASE("a refused connection counts as unsent", "[relay]")
{
    boost::asio::io_context loop(1);
    tcp::endpoint nobody;
    {
        const tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        nobody = acceptor.local_endpoint();
    }
    std::string outcome;
    const auto connection = std::make_shared<UpstreamConnection>(loop, nobody, UpstreamConnectionSettings());
    connection->send("GET / HTTP/1.1\r\n\r\n",
                     {[](const HttpHead & /*head*/) {
                          return true;
                      },
                      [](std::string_view /*bytes*/) {},
                      [] {},
                      [&outcome](AttemptFailure failure, const std::string & /*reason*/) {
                          outcome = failure == AttemptFailure::NotSent ? "unsent" : "broken";
                      }});
    REQUIRE(runUntil(loop, [&outcome] {
        return !outcome.empty();
    }));
    CHECK(outcome == "unsent");
}

namespace
{

/// Bytes that an upstream in trouble sends: a start, and a piece that it repeats without end.
struct EndlessRow
{
    std::string name;
    std::string start;
    std::string piece;
};

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against an upstream in trouble whose bytes never end: memory and time must stay bounded, and no answer may
// come of them.
TEST_CASE_METHOD(ConnectionFixture, "bytes without end are given up at a limit", "[relay]")
{
    const EndlessRow row = GENERATE(values<EndlessRow>({
        {"no line end", "", std::string(4096, 'x')},
        {"status line without end", "HTTP/1.1 200 ", std::string(4096, 'x')},
        {"header without end", "HTTP/1.1 200 OK\r\nX: ", std::string(4096, 'x')},
        {"headers without end", "HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"},
        {"chunk size without end", ChunkedHead, std::string(4096, '0')},
        {"chunk extension without end", ChunkedHead + "2;", std::string(4096, 'x')},
        {"trailers without end", ChunkedHead + "0\r\n", "X-Trailer: value\r\n"},
        {"trailer without end", ChunkedHead + "0\r\nX: ", std::string(4096, 'x')},
        {"long trailers without end", ChunkedHead + "0\r\n", "X-Fill: " + std::string(65'600, 'y') + "\r\n\r\n"},
        {"interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"responses to other calls without end", "", Foreign},
        {"a response to another call without end",
         "HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\n\r\n",
         std::string(4096, 'x')},
    }));
    CAPTURE(row.name);
    send();
    // Sound upstreams stay far below this; the process's memory is a hundred times as large.
    constexpr std::size_t Limit = std::size_t {1} << 20;
    std::size_t written = row.start.size();
    std::string bytes = row.start;
    while (bytes.size() < 4096) {
        bytes += row.piece;
    }
    boost::system::error_code error;
    while (outcome.empty() && !error && written < Limit) {
        written += boost::asio::write(upstream.socket, boost::asio::buffer(bytes), error);
        bytes = row.piece;
        while (bytes.size() < 4096) {
            bytes += row.piece;
        }
        loop.restart();
        loop.run_for(std::chrono::milliseconds(1));
    }
    await();
    CHECK(outcome == "broken");
    CHECK(body.size() <= 2);
    CHECK_FALSE(connection->isIdle());
}

// Guards against an answer that is read on although its caller is slow, so that the bytes fill the memory of the
// process or, if the kernel may hold any number of them, that of the machine.
TEST_CASE_METHOD(ConnectionFixture, "a paused answer holds its upstream back", "[relay]")
{
    constexpr std::size_t BodyBytes = std::size_t {8} << 20;
    send();
    const std::string answer = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: " + std::to_string(BodyBytes)
        + "\r\n\r\n" + std::string(BodyBytes, 'x');
    boost::system::error_code error;
    upstream.socket.set_option(boost::asio::socket_base::send_buffer_size(64 * 1024), error);
    bool written = false;
    std::size_t sent = 0;
    boost::asio::async_write(
        upstream.socket, boost::asio::buffer(answer), [&](const boost::system::error_code &code, std::size_t size) {
            written = !code;
            sent = size;
        });
    REQUIRE(runUntil(loop, [this] {
        return !body.empty();
    }));
    connection->setPaused(true);
    const std::size_t atPause = body.size();
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
    CHECK_FALSE(written);
    CHECK(body.size() <= atPause + 8192);
    CHECK(outcome.empty());
    connection->setPaused(false);
    await();
    CHECK(outcome == "complete");
    CHECK(body.size() == BodyBytes);
    CHECK(connection->isIdle());
    // The idle connection still notices its end.
    upstream.socket.close();
    CHECK(runUntil(loop, [this] {
        return !connection->isIdle();
    }));
}

// Guards against a chunk whose size overflows, which would make the bytes after it part of the body or of an answer.
TEST_CASE_METHOD(ConnectionFixture, "a chunk size out of range ends the answer", "[relay]")
{
    const std::string size =
        GENERATE(as<std::string>(), "10000000000000000", "ffffffffffffffff", "-1", "+2", "fffffffffffffffff2");
    send();
    upstream.write(ChunkedHead + size + "\r\nok\r\n0\r\n\r\n");
    if (size == "ffffffffffffffff") {
        upstream.socket.shutdown(tcp::socket::shutdown_send);
    }
    await();
    CHECK(outcome == "broken");
    CHECK_FALSE(connection->isIdle());
}

// Guards against a second copy of an answer that the next call on the connection gets as its own, however the copy is
// split and whenever it arrives.
TEST_CASE_METHOD(ConnectionFixture, "a late second copy of an answer reaches no other call", "[relay]")
{
    const std::string earlier = GENERATE(as<std::string>(),
                                         "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno",
                                         "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n"
                                         "2\r\nno\r\n0\r\n\r\n",
                                         "HTTP/1.1 503 Busy\r\nId: other\r\nContent-Length: 0\r\n\r\n");
    const std::size_t cut = GENERATE(as<std::size_t>(), 0, 5, 20, 45, 1000);
    send();
    upstream.write(earlier.substr(0, cut));
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
    upstream.write(earlier.size() > cut ? earlier.substr(cut) : std::string());
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
    CHECK(outcome.empty());
    CHECK(body.empty());
    upstream.write(Mine);
    await();
    CHECK(outcome == "complete");
    CHECK(body == "ok");
}
