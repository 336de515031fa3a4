#include "ibismast/relay/transferdeadline.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against a time limit on whole transfers, which cuts large answers on slow links at each attempt (issue 51),
// and against answers that hold a request for ever by trickling.
TEST_CASE("an answer is given up when it no longer arrives steadily", "[relay]")
{
    struct Arrival
    {
        Duration after;
        std::size_t bytes;
    };
    struct Row
    {
        std::string name;
        std::vector<Arrival> arrivals;
        Duration due;
    };
    const Row row = GENERATE(values<Row>({
        {"nothing arrives", {}, 500ms},
        {"a part arrives early", {{10ms, 1'000}}, 510ms},
        {"a part arrives late", {{490ms, 500'000}}, 990ms},
        {"a large answer arrives steadily", {{100ms, 200'000}, {500ms, 200'000}, {900ms, 200'000}}, 1'400ms},
        {"it stalls", {{100ms, 200'000}, {500ms, 200'000}}, 1'000ms},
        {"it trickles", {{100ms, 1}, {450ms, 1}, {490ms, 1}}, 500'045us},
        {"it keeps the least rate", {{100ms, 65'536}, {550ms, 16'384}, {1'000ms, 16'384}}, 1'500ms},
        {"it falls below the least rate", {{100ms, 10'000}, {590ms, 6'384}, {700ms, 16'384}}, 1'000ms},
    }));
    CAPTURE(row.name);
    const TimePoint start(1'000s);
    TransferDeadline deadline(TransferSettings(), 500ms, start);
    for (const Arrival &arrival : row.arrivals) {
        REQUIRE(start + arrival.after < deadline.due());
        deadline.received(arrival.bytes, start + arrival.after);
    }
    CHECK(deadline.due() - start == row.due);
}
