#include "UnitTests/adapters/relay/relayprocessfixture.h"

using namespace ibismast;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Guards against engine memory that stays reserved after a call: answered calls sent no release, and a lost release was
// not sent again.
TEST_CASE_METHOD(ProcessFixture, "reserved memory is released however a call ends", "[relay]")
{
    struct Row
    {
        /// What the engine sends.
        std::string response;
        /// Who closes its connection then; empty for nobody.
        std::string closes;
        /// Text that the caller receives; empty if it waits for none.
        std::string received;
    };
    const std::string head = "HTTP/1.1 200 OK\r\nIbismast-Attempt-Id: r1\r\nIbismast-Response-Seal: s\r\n"
                             "Content-Type: text/event-stream\r\nContent-Length: 14\r\n\r\n";
    const std::string event = "id:1\ndata:x\n\n";
    const auto row = GENERATE_COPY(values<Row>({
        {head + event + "\n", "", "data:x"},
        {head + event, "engine", "data:x"},
        {"", "engine", "HTTP/1.1 502"},
        {"HTTP/1.1 500 Error\r\nIbismast-Attempt-Id: r1\r\nIbismast-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno",
         "",
         "HTTP/1.1 500"},
        {head + event, "caller", "data:x"},
        {"", "caller", ""},
    }));
    orders.lostReleases = GENERATE(0, 3);
    CAPTURE(row.response, row.closes, orders.lostReleases);
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    caller.write("POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: r1\r\nIbismast-Token-Counts: 150000,100\r\n"
                 "Content-Length: 2\r\n\r\n{}");
    REQUIRE(await([this] {
        return upstream.received.find("{}") != std::string::npos;
    }));
    REQUIRE_FALSE(orders.reserved.empty());
    CHECK(orders.released.empty());
    if (!row.response.empty()) {
        upstream.write(row.response);
    }
    if (row.closes == "engine") {
        if (row.response.empty()) {
            upstream.reset();
        } else {
            upstream.socket.shutdown(tcp::socket::shutdown_send);
        }
    }
    CHECK(await([this, &row] {
        return caller.received.find(row.received) != std::string::npos;
    }));
    if (row.closes == "caller") {
        caller.socket.close();
    }
    CHECK(await([this] {
        return orders.released == orders.reserved;
    }));
}

// Guards against releases of memory that are repeated to an engine that has asked for a pause, while engines that have
// not are sent each release again until they answer.
TEST_CASE_METHOD(ProcessFixture, "a release is sent once to an engine that wants no requests", "[relay]")
{
    constexpr int ManyLost = 100;
    orders.lostReleases = ManyLost;
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    caller.write("POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: r1\r\nIbismast-Token-Counts: 150000,100\r\n"
                 "Content-Length: 2\r\n\r\n{}");
    REQUIRE(await([this] {
        return upstream.received.find("{}") != std::string::npos;
    }));
    REQUIRE(orders.holders.size() >= 2);
    const InstanceId paused = *orders.holders.begin();
    orders.pause(paused, 1min);
    upstream.reset();
    CHECK(await([this] {
        return orders.releaseOrders[*orders.holders.rbegin()] >= 3;
    }));
    CHECK(orders.releaseOrders[paused] == 1);
}

// Guards against requests to an upstream whose last answer said that it is leaving while the store still lists it
// (review case 4): the header is read from each answer, whatever the call, and also from answers to orders.
TEST_CASE_METHOD(ProcessFixture,
                 "an engine that has announced its leave in an answer gets no further request",
                 "[relay]")
{
    const std::string status = GENERATE(as<std::string>(), "200 OK", "500 Error");
    const bool inOrder = GENERATE(false, true);
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    const std::string head = " HTTP/1.1\r\nHost: h\r\nIbismast-Token-Counts: 1000,100\r\nContent-Length: 2\r\n";
    const auto engineOf = [this] {
        constexpr std::string_view Header = "Ibismast-Expect-Instance: ";
        const std::size_t start = upstream.received.rfind(Header);
        REQUIRE(start != std::string::npos);
        return upstream.received.substr(start + Header.size(), 2);
    };
    std::set<std::string> leaving;
    for (int number = 1; number <= 3; ++number) {
        const std::string id = "r" + std::to_string(number);
        upstream.received.clear();
        caller.received.clear();
        caller.write("POST /a" + head + "Ibismast-Attempt-Id: " + id + "\r\n\r\n{}");
        REQUIRE(await([this] {
            return upstream.received.find("{}") != std::string::npos;
        }));
        const std::string engine = engineOf();
        CHECK_FALSE(leaving.contains(engine));
        leaving.insert(engine);
        if (inOrder) {
            orders.leave(InstanceId(engine));
        }
        upstream.write(
            "HTTP/1.1 " + status + "\r\nIbismast-Attempt-Id: " + id + "\r\nIbismast-Response-Seal: s\r\n"
            + (inOrder ? "" : "Server-Leaving: 1\r\n")
            + "Connection: close\r\nContent-Type: text/event-stream\r\nContent-Length: 13\r\n\r\nid:1\ndata:x\n\n");
        REQUIRE(await([this] {
            return caller.received.find("data:x") != std::string::npos;
        }));
        acceptUpstream();
    }
    // All three engines are leaving.
    caller.received.clear();
    caller.write("POST /a" + head + "Ibismast-Attempt-Id: r4\r\n\r\n{}");
    CHECK(await([this] {
        return caller.received.find("HTTP/1.1 503") != std::string::npos;
    }));
}

// Guards against events without end, or a fast upstream, that fill the memory of an entry whose callers read slowly
// (reports of other operators, issue 40).
TEST_CASE_METHOD(ProcessFixture, "an engine is held back while the caller of its stream does not read", "[relay]")
{
    // Buffers of the kernel on both connections and those of the process, far below the memory of an entry.
    constexpr std::size_t MostTaken = std::size_t {8} << 20;
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    caller.socket.set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024));
    caller.write("POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: r1\r\nIbismast-Token-Counts: 1000,100\r\n"
                 "Content-Length: 2\r\n\r\n{}");
    REQUIRE(await([this] {
        return upstream.received.find("{}") != std::string::npos;
    }));
    caller.pause();
    upstream.socket.set_option(boost::asio::socket_base::send_buffer_size(64 * 1024));
    upstream.write("HTTP/1.1 200 OK\r\nIbismast-Attempt-Id: r1\r\nIbismast-Response-Seal: s\r\n"
                   "Content-Type: text/event-stream\r\n\r\n");
    const std::string event = "id:1\ndata:" + std::string(980, 'x') + "\n\n";
    std::string events;
    while (events.size() < std::size_t {64} << 10) {
        events += event;
    }
    std::size_t taken = 0;
    bool upstreamCut = false;
    const std::function<void()> send = [&] {
        boost::asio::async_write(upstream.socket,
                                 boost::asio::buffer(events),
                                 [&](const boost::system::error_code &error, std::size_t size) {
                                     taken += size;
                                     upstreamCut = upstreamCut || error;
                                     if (!error && taken < 8 * MostTaken) {
                                         send();
                                     }
                                 });
    };
    send();
    loop.restart();
    loop.run_for(1s);
    CHECK(taken <= MostTaken);
    CHECK_FALSE(upstreamCut);
    CHECK(connection->isOpen());
    CHECK(connection->unsentBytes() <= 128 * 1024);
    // The stream goes on as soon as the caller reads.
    const std::size_t before = taken;
    caller.resume();
    CHECK(await([&] {
        return taken > before + MostTaken / 2;
    }));
    CHECK_FALSE(upstreamCut);
    upstream.socket.close();
    loop.restart();
    loop.run_for(50ms);
}

// Guards against a repeated answer without an id that reaches the next call of its connection (review case 2), and
// against the answer to that call being lost with it. On a new connection there is nothing to repeat, so that nothing
// else is waited for.
TEST_CASE_METHOD(ProcessFixture, "an answer without an id reaches no caller", "[relay]")
{
    const bool keptConnection = GENERATE(true, false);
    const std::string status = GENERATE(as<std::string>(), "500 Error", "404 Not Found", "503 Busy", "200 OK");
    const std::string notice = GENERATE(as<std::string>(), "", "Ibismast-Not-Executed: 1\r\n");
    CAPTURE(keptConnection, status, notice);
    store.ids = {"e1"};
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    const auto sendCall = [this](const std::string &id) {
        caller.received.clear();
        caller.write("POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Token-Counts: 1000,100\r\nContent-Length: 2\r\n"
                     "Ibismast-Attempt-Id: "
                     + id + "\r\n\r\n{}");
        REQUIRE(await([this, &id] {
            return upstream.received.find("Ibismast-Attempt-Id: " + id) != std::string::npos;
        }));
    };
    const auto answerTo = [](const std::string &id) {
        return "HTTP/1.1 200 OK\r\nIbismast-Attempt-Id: " + id
            + "\r\nIbismast-Response-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\n"
              "id:1\ndata:x\n\n\n";
    };
    if (keptConnection) {
        sendCall("r1");
        upstream.write(answerTo("r1"));
        REQUIRE(await([this] {
            return caller.received.find("data:x\n\n\n") != std::string::npos;
        }));
    }
    sendCall("r2");
    upstream.write("HTTP/1.1 " + status + "\r\nIbismast-Response-Seal: old\r\n" + notice
                   + "Content-Length: 6\r\n\r\nfailed" + answerTo("r2"));
    const std::string expected = keptConnection ? "data:x\n\n\n" : "HTTP/1.1 502";
    CHECK(await([this, &expected] {
        return caller.received.find(expected) != std::string::npos;
    }));
    CHECK(caller.received.find("old") == std::string::npos);
    CHECK(caller.received.find("HTTP/1.1 ") == caller.received.rfind("HTTP/1.1 "));
}

// Guards against requests that an entry which has fallen behind sends to upstreams after their callers have left (GONE
// on khonkae-fair-grown).
TEST_CASE_METHOD(ProcessFixture, "a request whose caller has left before it is read is not served", "[relay]")
{
    struct Row
    {
        std::string name;
        std::string framedBody;
        bool reset;
        bool served;
    };
    const Row row = GENERATE(values<Row>({
        {"stays", "Content-Length: 2\r\n\r\n{}", false, true},
        {"closed", "Content-Length: 2\r\n\r\n{}", false, false},
        {"closed behind chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", false, false},
        {"reset", "Content-Length: 2\r\n\r\n{}", true, false},
    }));
    CAPTURE(row.name);
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    caller.write("POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: r1\r\nIbismast-Token-Counts: 150000,100\r\n"
                 + row.framedBody);
    if (row.reset) {
        caller.reset();
    } else if (!row.served) {
        caller.socket.close();
    }
    CHECK(await([this, &row] {
        return row.served ? !orders.reserved.empty() : !connection->isOpen();
    }));
    CHECK(orders.reserved.empty() != row.served);
}

// Guards against an answer that is cut because its caller reads nothing for some seconds while it still waits for it
// (review case 10).
TEST_CASE_METHOD(ProcessFixture, "an unread answer is kept as long as its caller waits", "[relay]")
{
    const auto [timeLeft, kept] = GENERATE(table<std::string, std::chrono::seconds>({
        {"1500", 4s},
        {"7300", 8s},
        {"9000", 9s},
        // The timeout of the route is 10 s.
        {"60000", 10s},
        {"", 10s},
    }));
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    caller.write("POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: r1\r\n"
                 + (timeLeft.empty() ? "" : "Ibismast-Deadline-Ms: " + timeLeft + "\r\n")
                 + "Content-Length: 2\r\n\r\n{}");
    REQUIRE(await([this] {
        return upstream.received.find("{}") != std::string::npos;
    }));
    CHECK(connection->unreadTime() == kept);
}

// Guards against a caller that gets the part of an answer, or an answer whose status does not exist, as its answer
// (reports of other operators, issue 58): the upstream answers a long request at once and resets the connection while
// the request is still being written.
TEST_CASE_METHOD(ProcessFixture, "what is no whole answer does not reach a caller as one", "[relay]")
{
    constexpr std::size_t BodyBytes = std::size_t {12} << 20;
    struct Row
    {
        CallKind kind;
        std::string status;
        bool resets;
        /// What the caller gets at the beginning and at the end.
        std::string begin;
        std::string end;
    };
    const Row row = GENERATE(values<Row>({
        {CallKind::AtMostOnce, "200 OK", true, "HTTP/1.1 502 ", "}"},
        {CallKind::AtMostOnce, "200 OK", false, "HTTP/1.1 200 ", "id:1\ndata:x\n\n"},
        {CallKind::Stream, "200 OK", true, "HTTP/1.1 200 ", "id:1\ndata:x\n\n\r\n"},
        {CallKind::Stream, "200 OK", false, "HTTP/1.1 200 ", "id:1\ndata:x\n\n\r\n0\r\n\r\n"},
        {CallKind::AtMostOnce, "000 X", false, "HTTP/1.1 502 ", "}"},
        {CallKind::Stream, "000 X", false, "HTTP/1.1 502 ", "}"},
    }));
    CAPTURE(static_cast<int>(row.kind), row.status, row.resets);
    decoder.kind = row.kind;
    decoder.maxBodyBytes = BodyBytes;
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == BodyBytes;
    }));
    const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: r1\r\nContent-Length: "
        + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x');
    boost::asio::async_write(
        caller.socket, boost::asio::buffer(request), [](const boost::system::error_code &, std::size_t) {});
    REQUIRE(await([this] {
        return upstream.received.size() > 1'000;
    }));
    upstream.pause();
    upstream.write("HTTP/1.1 " + row.status
                   + "\r\nIbismast-Attempt-Id: r1\r\nIbismast-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
                     "Connection: close\r\n\r\nid:1\ndata:x\n\n");
    // The answer is read before the connection ends.
    loop.restart();
    loop.run_for(100ms);
    if (row.resets) {
        upstream.reset();
    } else {
        upstream.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }
    REQUIRE(await([this, &row] {
        return caller.received.ends_with(row.end) && (!row.resets || row.kind != CallKind::Stream || caller.ended);
    }));
    CHECK(caller.received.starts_with(row.begin));
}
