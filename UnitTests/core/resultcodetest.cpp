#include "ibismast/core/resultcode.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace ibismast;

TEST_CASE("result codes are unique and ordered by number", "[core]")
{
    CHECK(std::ranges::is_sorted(resultCodes(), std::less_equal<>(), &ResultCodeInfo::code));
}

// Guards against a code that callers see without an explanation in the documentation.
TEST_CASE("docs/ERRORS.md lists every result code with its text", "[core]")
{
    std::ifstream file(IBISMAST_SOURCE_DIR "/docs/ERRORS.md");
    REQUIRE(file.good());
    std::stringstream page;
    page << file.rdbuf();
    for (const ResultCodeInfo &info : resultCodes()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.httpStatus << " | "
            << (info.notRun ? "yes" : "no") << " | " << info.text << " |";
        INFO(row.str());
        CHECK(page.str().find(row.str()) != std::string::npos);
    }
}
