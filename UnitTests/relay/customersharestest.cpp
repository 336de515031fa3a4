#include "ibismast/relay/customershares.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;

namespace
{

const ServiceName Pool("pool");
const CustomerId Hot("hot");
const CustomerId Calm("calm");
const InstanceId Entry("entry");
const TimePoint Start {1'000s};

CustomerShares shares(bool enabled = true)
{
    CustomerSharesSettings settings;
    settings.enabled = enabled;
    return CustomerShares(settings);
}

CustomerWork work(const CustomerId &customer, Duration sent, Duration waiting = 0s)
{
    return {Pool, customer, sent, waiting};
}

} // namespace

// Guards against one customer at ten times its usual that takes the room of the others, and against customers that are
// held to a share on an idle fleet, alone, or for a few calls.
TEST_CASE("a customer is above its share by work, not by number of calls", "[relay][shares]")
{
    struct Row
    {
        Duration hot;
        Duration calm;
        Duration age;
        bool enabled;
        bool above;
    };
    const Row row = GENERATE(values<Row>({
        {10s, 1s, 0s, true, true},
        {10s, 1s, 0s, false, false},
        {10s, 9s, 0s, true, false},
        {10s, 6'500ms, 0s, true, false},
        {10s, 5'500ms, 0s, true, true},
        {10s, 0s, 0s, true, false},
        {1s, 100ms, 0s, true, false},
        // The work is forgotten.
        {10s, 1s, 30s, true, false},
    }));
    CustomerShares table = shares(row.enabled);
    for (int call = 0; call < 10; ++call) {
        table.noteSent(Pool, Hot, row.hot / 10, Start);
    }
    for (int call = 0; call < 100 && row.calm > 0s; ++call) {
        table.noteSent(Pool, Calm, row.calm / 100, Start);
    }
    const TimePoint now = Start + row.age;
    table.expire(now);
    CHECK(table.isAboveShare(Pool, Hot, now) == row.above);
    CHECK_FALSE(table.isAboveShare(Pool, Calm, now));
    CHECK_FALSE(table.isAboveShare(Pool, CustomerId("other"), now));
    CHECK_FALSE(table.isAboveShare(ServiceName("other"), Hot, now));
}

// Guards against a customer that escapes its share because its calls are spread over the entries, and against work that
// is counted twice or not at all when heartbeats are lost, an entry restarts, or all are killed.
TEST_CASE("the work sent by other entries counts once", "[relay][shares]")
{
    struct Row
    {
        std::string event;
        bool above;
    };
    const Row row = GENERATE(values<Row>({
        {"first report only", false},
        {"second report", true},
        {"report lost", true},
        {"same report twice", true},
        {"entry restarted", false},
        {"older report", false},
    }));
    CustomerShares table = shares();
    table.noteSent(Pool, Calm, 1s, Start);
    table.applyReport(Entry, {work(Hot, 100s)}, Start);
    if (row.event == "second report" || row.event == "same report twice") {
        table.applyReport(Entry, {work(Hot, 105s)}, Start);
    }
    if (row.event == "same report twice") {
        table.applyReport(Entry, {work(Hot, 105s)}, Start);
        CHECK(table.useOfShare(Pool, Hot, Start) == Approx(5.0 * 2 / 6));
    } else if (row.event == "report lost") {
        table.applyReport(Entry, {work(Hot, 110s)}, Start + 1s);
    } else if (row.event == "entry restarted") {
        table.dropEntry(Entry);
        table.applyReport(Entry, {work(Hot, 50s)}, Start);
    } else if (row.event == "older report") {
        table.applyReport(Entry, {work(Hot, 90s)}, Start);
        table.applyReport(Entry, {work(Hot, 100s)}, Start);
    }
    CHECK(table.isAboveShare(Pool, Hot, Start) == row.above);
}

// Guards against customers that yield to calls that do not wait any more, to their own, or to those of another service.
TEST_CASE("a customer yields only while calls of others wait", "[relay][shares]")
{
    CustomerShares table = shares();
    CHECK_FALSE(table.othersWait(Pool, Hot, Start));
    table.applyReport(Entry, {work(Calm, 1s, 10ms)}, Start);
    CHECK(table.othersWait(Pool, Hot, Start));
    CHECK_FALSE(table.othersWait(Pool, Calm, Start));
    CHECK_FALSE(table.othersWait(ServiceName("other"), Hot, Start));
    const std::string event = GENERATE("entry freezes", "room", "entry lost");
    if (event == "entry freezes") {
        CHECK(table.othersWait(Pool, Hot, Start + 1'200ms));
        CHECK_FALSE(table.othersWait(Pool, Hot, Start + 1'201ms));
        return;
    }
    if (event == "room") {
        table.applyReport(Entry, {work(Calm, 1s)}, Start);
    } else {
        table.dropEntry(Entry);
    }
    CHECK_FALSE(table.othersWait(Pool, Hot, Start));
}

// Guards against datagrams that grow with the number of customers, and against entries that disagree for long: each
// applies the report of the other and comes to the same use of the shares.
TEST_CASE("two entries agree after one heartbeat of each", "[relay][shares]")
{
    CustomerShares first = shares();
    CustomerShares second = shares();
    first.applyReport(InstanceId("second"), {work(Hot, 0s)}, Start);
    second.applyReport(InstanceId("first"), {work(Hot, 0s)}, Start);
    first.noteSent(Pool, Hot, 8s, Start);
    second.noteSent(Pool, Calm, 2s, Start);
    CHECK_FALSE(second.isAboveShare(Pool, Hot, Start));
    first.applyReport(InstanceId("second"), second.ownReport({}), Start);
    second.applyReport(InstanceId("first"), first.ownReport({}), Start);
    CHECK(first.useOfShare(Pool, Hot, Start) == Approx(1.6));
    CHECK(second.useOfShare(Pool, Hot, Start) == Approx(1.6));
    for (int customer = 0; customer < 100; ++customer) {
        first.noteSent(Pool, CustomerId("c" + std::to_string(customer)), 1ms, Start);
    }
    const std::vector<CustomerWork> report = first.ownReport({work(Calm, 0s, 5s)});
    REQUIRE(report.size() == CustomerSharesSettings().maxReported);
    CHECK(report[0] == work(Hot, 8s));
    CHECK(report[1] == work(Calm, 0s, 5s));
}

// Guards against settings with which shares divide by zero or are never applied.
TEST_CASE("the settings of the shares are validated", "[relay][shares]")
{
    CHECK(errorOf(CustomerSharesSettings().validate()) == nullptr);
    CustomerSharesSettings settings;
    const std::string field = GENERATE("window", "tolerance", "customers");
    settings.window = field == "window" ? 0s : settings.window;
    settings.tolerance = field == "tolerance" ? -1.0 : settings.tolerance;
    settings.maxCustomers = field == "customers" ? 0 : settings.maxCustomers;
    CHECK(errorOf(settings.validate()) != nullptr);
}
