#include "UnitTests/adapters/relay/relayprocessfixture.h"

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against a process that stops while callers are still reading their answers: answers of 7 MB that were read at
// 1 MB/s were cut (review, `stop`).
TEST_CASE_METHOD(ProcessFixture, "a stopping instance waits until its answers have been sent", "[relay]")
{
    constexpr std::size_t AnswerBytes = 7'000'000;
    const bool answeredBefore = GENERATE(true, false);
    const bool leaves = GENERATE(false, true);
    CAPTURE(answeredBefore, leaves);
    decoder.kind = CallKind::AtMostOnce;
    REQUIRE(await([this] {
        return store.listRead && process.limits().maxBodyBytes == MaxBodyBytes;
    }));
    caller.socket.set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024));
    caller.write("POST /a HTTP/1.1\r\nHost: h\r\nIbismast-Attempt-Id: r1\r\nContent-Length: 2\r\n\r\n{}");
    REQUIRE(await([this] {
        return upstream.received.find("{}") != std::string::npos;
    }));
    caller.pause();
    std::optional<std::size_t> cut;
    const auto stop = [this, &cut] {
        process.stop([&cut](std::size_t count) {
            cut = count;
        });
    };
    if (!answeredBefore) {
        stop();
    }
    const std::string answer =
        "HTTP/1.1 200 OK\r\nIbismast-Attempt-Id: r1\r\nIbismast-Response-Seal: s\r\nContent-Length: "
        + std::to_string(AnswerBytes) + "\r\n\r\n" + std::string(AnswerBytes, 'x');
    boost::asio::async_write(
        upstream.socket, boost::asio::buffer(answer), [](const boost::system::error_code &, std::size_t) {});
    REQUIRE(await([this] {
        return connection->unsentBytes() > AnswerBytes / 4;
    }));
    if (answeredBefore) {
        stop();
    }
    loop.restart();
    loop.run_for(300ms);
    CHECK_FALSE(cut.has_value());
    if (leaves) {
        caller.reset();
    } else {
        caller.resume();
    }
    CHECK(await([&cut] {
        return cut.has_value();
    }));
    CHECK(cut == std::size_t {0});
}
