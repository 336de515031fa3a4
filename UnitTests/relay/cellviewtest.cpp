#include "ibismast/relay/cellview.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against a small fleet that is divided: its domains are too small for long prompts.
TEST_CASE("a domain forms a cell if the fleet and the domain are large", "[relay]")
{
    const auto [entries, engines, expected] = GENERATE(table<std::size_t, std::size_t, bool>({
        {3, 8, false},
        {4, 23, false},
        {20, 6, false},
        {26, 26, false},
        {39, 20, false},
        {40, 19, false},
        {40, 20, true},
        {103, 39, true},
    }));
    CHECK(CellView(CellViewSettings(), FailureDomain("a")).isCell(entries, engines) == expected);
}

// Load: callers of one domain ask for more than its engines can do. Guards against work that leaves the cell for a
// domain that is as loaded, for one whose report is out of date, or back and forth between two domains.
TEST_CASE("work leaves the cell only for a domain that is clearly less loaded", "[relay][load]")
{
    struct Row
    {
        DomainLoad own;
        DomainLoad other;
        Duration age;
        bool leaves;
    };
    const Row row = GENERATE(values<Row>({
        {{0.9, 500ms}, {0.2, 100ms}, 0ms, true},
        {{0.9, 500ms}, {0.9, 300ms}, 0ms, true},
        {{0.9, 500ms}, {0.9, 360ms}, 0ms, false},
        {{0.9, 0ms}, {0.7, 0ms}, 0ms, true},
        {{0.9, 0ms}, {0.8, 0ms}, 0ms, false},
        {{0.9, 0ms}, {0.2, 100ms}, 0ms, false},
        {{0.2, 500ms}, {0.3, 0ms}, 0ms, false},
        {{0.9, 500ms}, {0.2, 100ms}, 2s, true},
        {{0.9, 500ms}, {0.2, 100ms}, 2'001ms, false},
    }));
    EventListener listener;
    const DomainEvacuations none(DomainEvacuationsSettings(), listener);
    CellView view(CellViewSettings(), FailureDomain("a"));
    const TimePoint now(1'000s);
    view.noteLoad(FailureDomain("a"), {}, now);
    CHECK_FALSE(view.lessLoadedDomain(row.own, none, now));
    view.noteLoad(FailureDomain("b"), row.other, now);
    CHECK(view.lessLoadedDomain(row.own, none, now + row.age).has_value() == row.leaves);
    // The other domain does not send work back at the same time.
    CellView back(CellViewSettings(), FailureDomain("b"));
    back.noteLoad(FailureDomain("a"), row.own, now);
    CHECK_FALSE((row.leaves && back.lessLoadedDomain(row.other, none, now)));
}

// Guards against all work that leaves a cell going to a domain that is not the least loaded one, and against work that
// stays in an overloaded cell because the least loaded domain is evacuated.
TEST_CASE("the domain with the smallest backlog is chosen", "[relay][load]")
{
    struct Row
    {
        std::set<FailureDomain> evacuated;
        std::optional<FailureDomain> expected;
    };
    const FailureDomain b("b");
    const FailureDomain c("c");
    const FailureDomain d("d");
    const Row row = GENERATE_COPY(values<Row>({{{}, c}, {{b}, c}, {{c}, d}, {{b, c, d}, std::nullopt}}));
    EventListener listener;
    DomainEvacuations evacuations({5s}, listener);
    CellView view(CellViewSettings(), FailureDomain("a"));
    const TimePoint now(1'000s);
    view.noteLoad(FailureDomain("b"), {0.1, 300ms}, now);
    view.noteLoad(FailureDomain("c"), {0.2, 100ms}, now);
    view.noteLoad(FailureDomain("d"), {0.3, 200ms}, now);
    (void)evacuations.apply({row.evacuated, {1}}, "store", now);
    CHECK(view.lessLoadedDomain({0.9, 900ms}, evacuations, now) == row.expected);
}
