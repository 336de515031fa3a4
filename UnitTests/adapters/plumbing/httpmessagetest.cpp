#include "adapters/plumbing/httpmessage.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

constexpr std::uint32_t UpstreamHeadLimit = 64 * 1024;
/// Largest limit of the settings of entry and agent; the platform's configuration may name a larger one.
constexpr std::uint32_t LargestHeadLimit = 1024 * 1024;
/// The HTTP library holds the size of a name or value in 16 bits, two of which are separators, and throws above that.
constexpr std::size_t LibraryLimit = 65'533;

const std::string ChunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
const std::string ChunkedRequest = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";

/// Result of feeding a message to a parser in pieces.
struct Outcome
{
    bool failed = false;
    bool done = false;
};

Outcome feed(HttpMessageKind kind, std::uint32_t headLimit, std::string_view bytes, std::size_t piece)
{
    HttpMessageParser parser(kind, {headLimit, std::uint64_t {1} << 20U});
    while (!bytes.empty() && !parser.done()) {
        const Result<std::size_t> used = parser.consume(bytes.substr(0, piece));
        if (errorOf(used) != nullptr) {
            // Readers ask for what is known of a message that has failed.
            if (parser.headDone()) {
                (void)parser.head();
            }
            (void)parser.takeBody();
            return {true, false};
        }
        bytes.remove_prefix(std::get<std::size_t>(used));
    }
    return {errorOf(parser.finish()) != nullptr, parser.done()};
}

} // namespace

// Guards against a process that ends because the HTTP library throws for a name or value of 64 KiB (review case 1).
TEST_CASE("a header or trailer of any size is parsed or refused", "[adapters]")
{
    const std::size_t size =
        GENERATE(as<std::size_t>(), 65'500, LibraryLimit, LibraryLimit + 1, 65'600, 73'000, 200'000);
    const std::size_t piece = GENERATE(as<std::size_t>(), 1'000, 8'192, 300'000);
    const std::uint32_t headLimit = GENERATE(UpstreamHeadLimit, LargestHeadLimit);
    const std::string fill(size, 'y');
    const std::string half(size / 2, 'y');
    const auto [kind, bytes] = GENERATE_COPY(table<HttpMessageKind, std::string>({
        {HttpMessageKind::Response, ChunkedResponse + "X: " + fill + "\r\n\r\n"},
        {HttpMessageKind::Response, ChunkedResponse + fill + ": x\r\n\r\n"},
        {HttpMessageKind::Response, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + fill + "\r\n\r\n"},
        {HttpMessageKind::Response, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fill + ": x\r\n\r\n"},
        {HttpMessageKind::Response, "HTTP/1.1 200 " + fill + "\r\nContent-Length: 0\r\n\r\n"},
        {HttpMessageKind::Response, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + half + "\r\n " + half + "\r\n\r\n"},
        {HttpMessageKind::Request, ChunkedRequest + "X: " + fill + "\r\n\r\n"},
        {HttpMessageKind::Request, "GET / HTTP/1.1\r\nHost: h\r\nX: " + fill + "\r\n\r\n"},
        {HttpMessageKind::Request, "GET /" + fill + " HTTP/1.1\r\nHost: h\r\n\r\n"},
        {HttpMessageKind::Request, fill + " / HTTP/1.1\r\nHost: h\r\n\r\n"},
    }));
    CAPTURE(size, piece, headLimit, bytes.substr(0, 90));
    Outcome outcome;
    REQUIRE_NOTHROW(outcome = feed(kind, headLimit, bytes, piece));
    CHECK((outcome.failed || outcome.done));
}

// Guards against trailers and chunk extensions that exceed the limit by the bytes of one read.
TEST_CASE("trailers and chunk extensions keep to the limit of the head however they arrive", "[adapters]")
{
    constexpr std::uint32_t Limit = 1'024;
    const std::size_t piece = GENERATE(as<std::size_t>(), 100, 1'000, 8'192);
    const auto [size, fails] = GENERATE(table<std::size_t, bool>({{900, false}, {1'100, true}, {3'000, true}}));
    const std::string fill(size, 'y');
    const std::string bytes = GENERATE_COPY(ChunkedRequest + "X: " + fill + "\r\n\r\n",
                                            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;" + fill
                                                + "\r\nok\r\n0\r\n\r\n");
    CAPTURE(piece, size);
    const Outcome outcome = feed(HttpMessageKind::Request, Limit, bytes, piece);
    CHECK(outcome.failed == fails);
    CHECK(outcome.done != fails);
}

// Guards against a process that ends, or reserves more than its memory, because a message claims a very large body.
TEST_CASE("a claimed length reserves no memory", "[adapters]")
{
    constexpr std::uint64_t Terabyte = std::uint64_t {1} << 40U;
    const std::uint64_t length = GENERATE(as<std::uint64_t>(), 1'000, std::uint64_t {1} << 33U, Terabyte - 1);
    const bool request = GENERATE(false, true);
    const std::string body(500, 'x');
    HttpMessageParser parser(request ? HttpMessageKind::Request : HttpMessageKind::Response, {16 * 1024, Terabyte});
    const std::string bytes = std::string(request ? "POST / HTTP/1.1\r\nHost: h" : "HTTP/1.1 200 OK")
        + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
    const Result<std::size_t> used = parser.consume(bytes);
    REQUIRE(errorOf(used) == nullptr);
    CHECK(std::get<std::size_t>(used) == bytes.size());
    const std::string received = parser.takeBody();
    CHECK(received == body);
    CHECK(received.capacity() < 64 * 1024);
    CHECK_FALSE(parser.done());
}

// Guards against an answer without a valid status that is passed on, or skipped as an interim one until the call's time
// is over (report of other operators: status 000, issue 58).
TEST_CASE("only statuses from 100 to 599 begin a response", "[adapters]")
{
    const auto [status, valid] = GENERATE(table<std::string, bool>({
        {"000", false},
        {"001", false},
        {"099", false},
        {"100", true},
        {"101", false},
        {"200", true},
        {"599", true},
        {"600", false},
        {"999", false},
    }));
    const std::size_t piece = GENERATE(as<std::size_t>(), 1, 1'000);
    const std::string response = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
    CHECK(feed(HttpMessageKind::Response, UpstreamHeadLimit, response, piece).failed == !valid);
}
