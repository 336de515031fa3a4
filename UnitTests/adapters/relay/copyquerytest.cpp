#include "adapters/relay/copyquery.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against entries of an older build that get a copy without the configuration that they rely on.
TEST_CASE("a request for a copy says whether it needs the configuration", "[relay]")
{
    struct Row
    {
        std::string query;
        std::optional<std::int64_t> after;
    };
    const Row row = GENERATE(values<Row>({
        {"config_after=none", std::nullopt},
        {"config_after=0", 0},
        {"config_after=12", 12},
        {"", -1},
        {"config_after=", -1},
        {"config_after=12x", -1},
        {"config_after=99999999999999999999", -1},
        {"other=1", -1},
    }));
    CAPTURE(row.query);
    const CopyContents contents = decodeCopyQuery(row.query);
    CHECK(contents.configAfter.has_value() == row.after.has_value());
    if (row.after) {
        CHECK(contents.configAfter == RelayConfigVersion(*row.after));
    }
    CHECK(decodeCopyQuery(encodeCopyQuery(contents)) == contents);
}
