#include "ibismast/entry/entrycoresettings.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against accepting settings with which an entry cannot work, and against errors that do not name the field.
TEST_CASE("the first invalid entry setting is named", "[entry]")
{
    using Change = void (*)(EntryCoreSettings &);
    const auto [field, change] = GENERATE(table<std::string, Change>({
        {"upstreams.subsetSize",
         [](EntryCoreSettings &settings) {
             settings.upstreams.subsetSize = 0;
         }},
        {"upstreams.lostAfter",
         [](EntryCoreSettings &settings) {
             settings.upstreams.lostAfter = Duration(1);
         }},
        {"heartbeatInterval",
         [](EntryCoreSettings &settings) {
             settings.heartbeatInterval = std::chrono::hours(1);
         }},
        {"tombstoneLead",
         [](EntryCoreSettings &settings) {
             settings.tombstoneLead = Duration(1);
         }},
        {"retryPolicy.maxAttempts",
         [](EntryCoreSettings &settings) {
             settings.retryPolicy.maxAttempts = 0;
         }},
        {"claims.largestValue",
         [](EntryCoreSettings &settings) {
             settings.claims.largestValue = 1'048'576;
         }},
        {"longPromptMemoryShare",
         [](EntryCoreSettings &settings) {
             settings.longPromptMemoryShare = 1.5;
         }},
    }));
    EntryCoreSettings settings;
    CHECK(errorOf(validate(settings)) == nullptr);
    change(settings);
    const auto result = validate(settings);
    REQUIRE(errorOf(result) != nullptr);
    CHECK(errorOf(result)->code == ResultCode::SettingsInvalid);
    CHECK(errorOf(result)->message.rfind(field, 0) == 0);
}
