#include "ibismast/relay/eventscanner.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against incomplete events that reach a caller before the stream fails over to another upstream.
TEST_CASE("only complete events are returned, however the stream is split", "[relay]")
{
    const std::string stream = GENERATE(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                                        std::string("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"));
    const std::size_t piece = GENERATE(std::size_t {1}, std::size_t {3}, std::size_t {7}, std::size_t {100});
    EventScanner scanner(1024);
    std::string received;
    for (std::size_t start = 0; start < stream.size(); start += piece) {
        received += scanner.append(std::string_view(stream).substr(start, piece));
        const bool atEnd = received.empty() || received.ends_with("\n\n") || received.ends_with("\n\r\n");
        CHECK(atEnd);
    }
    CHECK(received == stream);
    CHECK(scanner.lastId() == "2");
    CHECK(scanner.takeIncomplete().empty());
}

// Guards against a stream that is resumed after an event that the caller has not received.
TEST_CASE("the id of an incomplete event is ignored", "[relay]")
{
    EventScanner scanner(1024);
    CHECK(scanner.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(scanner.lastId() == "1");
    CHECK(scanner.takeIncomplete() == "id: 2\nda");
    CHECK(scanner.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(scanner.lastId() == "2");
}

// Guards against unbounded buffering of an event that never ends.
TEST_CASE("an event above the size limit is reported", "[relay]")
{
    EventScanner scanner(16);
    CHECK(scanner.append("data: 0123456789").empty());
    CHECK_FALSE(scanner.overflowed());
    (void)scanner.append("0123456789");
    CHECK(scanner.overflowed());
    // The limit concerns one event; the ones after it are sound.
    (void)scanner.takeIncomplete();
    CHECK_FALSE(scanner.overflowed());
    CHECK(scanner.append("data: 1\n\n") == "data: 1\n\n");
    CHECK_FALSE(scanner.overflowed());
}
