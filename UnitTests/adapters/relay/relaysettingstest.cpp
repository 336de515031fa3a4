#include "adapters/relay/relaysettings.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against an entry that reads no evacuations although its settings bound the time for them, and against a wait
// at the store that outlasts this time.
TEST_CASE("the time for evacuations is read and bounds the wait at the store", "[relay]")
{
    struct Row
    {
        std::string text;
        std::optional<Duration> applyTime;
        Duration configWait;
        bool valid = true;
    };
    const Row row = GENERATE(values<Row>({
        {"", std::nullopt, 1'200ms},
        {"[evacuation]\napply_ms = 5000\n", 5s, 1'200ms},
        {"[evacuation]\napply_ms = 2000\n", 2s, 500ms},
        {"[evacuation]\napply_ms = 300\n", std::nullopt, 1'200ms, false},
        {"[evacuation]\napply_ms = soon\n", std::nullopt, 1'200ms, false},
        {"[evacuation]\napply_s = 5\n", std::nullopt, 1'200ms, false},
    }));
    Result<SettingsFile> file = SettingsFile::parse("entry.ini",
                                                    "[instance]\nid = a\ndomain = z\n"
                                                    "[http]\nlisten = 10.1.0.40:1\nready = 10.1.0.40:2\n"
                                                    "[peers]\ncopy_listen = 10.1.0.40:3\nports = 4,5\n"
                                                    "[store]\naddress = 10.1.0.7:1\n"
                                                        + row.text);
    REQUIRE(errorOf(file) == nullptr);
    auto &settings = std::get<SettingsFile>(file);
    const RelaySettings read = readRelaySettings(settings);
    CHECK(settings.finish().has_value() != row.valid);
    if (row.valid) {
        CHECK(read.core.evacuations.applyTime == row.applyTime);
        CHECK(read.watch.configWait == row.configWait);
    }
}
