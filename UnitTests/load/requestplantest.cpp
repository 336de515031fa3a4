#include "load/requestplan.h"

#include "ibismast/core/priorityclass.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace ibismast;
using namespace ibismast::load;

namespace
{

LoadSettings settings()
{
    LoadSettings settings;
    settings.targets = {"127.0.0.1:1"};
    settings.customers = {{"small", "k1", 1.0}, {"large", "k2", 3.0}};
    settings.rate = 200.0;
    settings.duration = std::chrono::seconds(30);
    return settings;
}

double count(const std::vector<PlannedRequest> &plan, const std::function<bool(const PlannedRequest &)> &predicate)
{
    return static_cast<double>(std::ranges::count_if(plan, predicate));
}

} // namespace

// Guards against a load that is easier than the one the targets speak of.
TEST_CASE("the plan has the prompt lengths, the peak and the customers of its settings", "[load]")
{
    const std::vector<PlannedRequest> plan = planRequests(settings());
    const auto total = static_cast<double>(plan.size());
    CHECK(total == Approx(200.0 * 40).epsilon(0.05));
    CHECK(count(plan,
                [](const auto &request) {
                    return request.promptTokens > LongPromptLimit;
                })
              / total
          == Approx(0.02).epsilon(0.25));
    CHECK(std::ranges::all_of(plan, [](const auto &request) {
        return request.promptTokens >= Tokens(1'000) && request.promptTokens <= Tokens(1'000'000);
    }));
    CHECK(count(plan,
                [](const auto &request) {
                    return request.customer == 1;
                })
              / total
          == Approx(0.75).epsilon(0.05));
    CHECK(count(plan,
                [](const auto &request) {
                    return request.start >= std::chrono::seconds(10) && request.start < std::chrono::seconds(20);
                })
              / total
          == Approx(0.5).epsilon(0.05));
}

TEST_CASE("the same seed gives the same plan and another seed another one", "[load]")
{
    LoadSettings first = settings();
    LoadSettings second = settings();
    CHECK(planRequests(first)[5].start == planRequests(second)[5].start);
    second.seed = 2;
    CHECK(planRequests(first)[5].start != planRequests(second)[5].start);
}

// Guards against answers that match although they belong to another request.
TEST_CASE("prompts have the planned length and differ between requests", "[load]")
{
    PlannedRequest request;
    request.promptTokens = Tokens(1'001);
    request.sharedTokens = Tokens(500);
    const std::string first = promptText(request, settings());
    request.number = 1;
    const std::string second = promptText(request, settings());
    CHECK(first.size() == 4 * 1'001);
    CHECK(first.substr(0, 2'000) == second.substr(0, 2'000));
    CHECK(first.substr(2'000, 64) != second.substr(2'000, 64));
}

TEST_CASE("invalid settings of the load are refused with the field's name", "[load]")
{
    LoadSettings invalid = settings();
    CHECK(errorOf(validate(invalid)) == nullptr);
    std::string field;
    SECTION("no targets")
    {
        invalid.targets.clear();
        field = "targets:";
    }
    SECTION("no rate")
    {
        invalid.rate = 0;
        field = "rate:";
    }
    SECTION("reversed bounds")
    {
        invalid.maxPrompt = 10;
        field = "maxPrompt:";
    }
    SECTION("unnamed service")
    {
        invalid.serviceFraction = 0.5;
        field = "service:";
    }
    const Result<Success> result = validate(invalid);
    REQUIRE(field.empty() == (errorOf(result) == nullptr));
    if (const Error *error = errorOf(result)) {
        CHECK(error->message.starts_with(field));
    }
}
