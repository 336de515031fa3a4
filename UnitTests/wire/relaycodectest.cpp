#include "wire/relaycodec.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace ibismast;
using namespace std::chrono_literals;

// Guards against fields that are lost between entries.
TEST_CASE("news between entries survive the wire", "[wire]")
{
    EntryNews news;
    const FailureDomain domain(GENERATE(as<std::string>(), "", "east"));
    news.sender = {InstanceId("entry-1"), Incarnation(7), "10.0.0.1:1", domain};
    if (!domain.empty()) {
        news.domainLoad = DomainLoad {0.75, 340ms};
    }
    const std::optional<Duration> listAge = GENERATE(std::optional<Duration>(), std::optional<Duration>(250ms));
    news.knowledge = {
        "10.0.0.1:2", RelayConfigVersion(9), listAge.has_value(), listAge ? 0xfedcba9876543210U : 0, listAge, {}};
    news.heard = {"10.0.0.2:1"};
    news.listRevision = 44;
    Placement placement;
    placement.id = {InstanceId("entry-1"), CallNumber(3)};
    placement.decodingEngine = InstanceId("e1");
    placement.pauseTarget = 250ms;
    placement.memory = Tokens(6'000);
    placement.expected = 2s;
    placement.prefills = {{InstanceId("e1"), 30ms, Tokens()}, {InstanceId("e2"), 30ms, Tokens(500)}};
    news.load = {{placement}, {CallNumber(2)}, {CallNumber(1)}, {0xfedcba9876543210U}};
    news.quarantine.brokenStarts = {
        {UpstreamRunKey(0xfedcba9876543210U),
         RequestHash(3),
         {PromptPartId(1), PromptPartId(0xfedcba9876543210U)},
         20ms,
         true},
        {UpstreamRunKey(2), RequestHash(0xfedcba9876543210U), {PromptPartId(1)}, 20ms, false}};
    news.quarantine.quarantined = {{{PromptPartId(5), PromptPartId(6)}, 9min}};
    news.quarantine.sound = {{PromptPartId(6), 0ms}};
    news.load.rateLimits = {{UpstreamRunKey(0xfedcba9876543210U), RequestRate {2.8}, 20ms, 7},
                            {UpstreamRunKey(4), std::nullopt, 0ms, 0}};
    news.load.coldUpstreams = {{UpstreamRunKey(0xfedcba9876543210U), 2500ms, 7}, {UpstreamRunKey(4), 0ms, 0}};
    news.load.paces = {{UpstreamRunKey(0xfedcba9876543210U), 0.25, 20ms}, {UpstreamRunKey(4), 1.0, 0ms}};
    news.load.customerWork = {{ServiceName("pool"), CustomerId("north"), 400s, 20ms},
                              {ServiceName("pool"), CustomerId(), 1ms, 0ms}};
    const Result<EntryNews> result = decodeEntryNews(encodeEntryNews(news));
    REQUIRE(errorOf(result) == nullptr);
    const auto &decoded = std::get<EntryNews>(result);
    CHECK(decoded.load.customerWork == news.load.customerWork);
    CHECK(decoded.load.rateLimits == news.load.rateLimits);
    CHECK(decoded.load.paces == news.load.paces);
    CHECK(decoded.load.coldUpstreams == news.load.coldUpstreams);
    CHECK(decoded.quarantine.brokenStarts == news.quarantine.brokenStarts);
    CHECK(decoded.quarantine.quarantined == news.quarantine.quarantined);
    CHECK(decoded.quarantine.sound == news.quarantine.sound);
    CHECK(decoded.sender == news.sender);
    CHECK(decoded.knowledge == news.knowledge);
    CHECK(decoded.heard == news.heard);
    CHECK(decoded.domainLoad == news.domainLoad);
    CHECK(decoded.listRevision == news.listRevision);
    CHECK(decoded.load.placed == news.load.placed);
    CHECK(decoded.load.prefillsDone == news.load.prefillsDone);
    CHECK(decoded.load.ended == news.load.ended);
    CHECK(decoded.load.refused == news.load.refused);
}

// Guards against a datagram of some bytes that claims millions of elements, for which the process would allocate more
// than its memory limit before it finds them missing.
TEST_CASE("a list with more elements than bytes is refused before it is allocated", "[wire]")
{
    // Compact protocol: field number and type, size and type of the elements, and the number of elements as a varint.
    const std::string count = GENERATE(as<std::string>(), "\x80\x08", "\xff\xff\x7f", "\xff\xff\xff\xff\x07");
    const std::string field = GENERATE(as<std::string>(), "\x79\xfc", "\x89\xf6", "\x49\xf8");
    const Result<EntryNews> news = decodeEntryNews(field + count);
    REQUIRE(errorOf(news) != nullptr);
    CHECK(errorOf(news)->code == ResultCode::ProtocolError);
    CHECK(errorOf(news)->message.find("size limit") != std::string::npos);
}

// Guards against work that cannot be true and would hold all other customers to nothing, and against long reports.
TEST_CASE("impossible reports on customers' work are left out", "[wire][shares]")
{
    EntryNews news;
    const CustomerWork good {ServiceName("pool"), CustomerId("north"), 1s, 1s};
    CustomerWork odd = good;
    const std::string fault = GENERATE("service", "sent", "much sent", "none", "much waiting");
    odd.service = fault == "service" ? ServiceName() : odd.service;
    odd.sent = fault == "sent" ? Duration(-1) : fault == "much sent" ? Duration::max() : odd.sent;
    odd.waiting = fault == "much waiting" ? 2h : odd.waiting;
    const bool kept = fault == "none";
    news.load.customerWork.assign(100, good);
    news.load.customerWork.insert(news.load.customerWork.begin(), odd);
    const Result<EntryNews> result = decodeEntryNews(encodeEntryNews(news));
    REQUIRE(errorOf(result) == nullptr);
    const std::vector<CustomerWork> &decoded = std::get<EntryNews>(result).load.customerWork;
    CHECK(decoded.size() == 64);
    CHECK(decoded.front() == (kept ? odd : good));
}

// Guards against an age that overflows where it is subtracted from a time.
TEST_CASE("an age beyond an hour is left out", "[wire]")
{
    EntryNews news;
    news.sender = {InstanceId("entry-1"), Incarnation(7), "10.0.0.1:1", {}};
    const auto [age, kept] = GENERATE(
        table<Duration, bool>({{0ms, true}, {1h, true}, {1h + 1ms, false}, {-1ms, false}, {Duration::max(), false}}));
    news.knowledge = {"10.0.0.1:2", RelayConfigVersion(9), false, 5, age, {}};
    const Result<EntryNews> result = decodeEntryNews(encodeEntryNews(news));
    REQUIRE(errorOf(result) == nullptr);
    CHECK(std::get<EntryNews>(result).knowledge.listAge.has_value() == kept);
}

// Guards against the age of a prompt part's report that overflows where it is subtracted from a time.
TEST_CASE("reports on prompt parts with an age out of range are left out", "[wire]")
{
    EntryNews news;
    news.sender = {InstanceId("entry-1"), Incarnation(7), "10.0.0.1:1", {}};
    const auto [age, kept] = GENERATE(
        table<Duration, bool>({{0ms, true}, {1h, true}, {1h + 1ms, false}, {-1ms, false}, {Duration::max(), false}}));
    news.quarantine = {
        {{UpstreamRunKey(1), RequestHash(2), {}, age}}, {{{PromptPartId(3)}, age}}, {{PromptPartId(4), age}}};
    const Result<EntryNews> result = decodeEntryNews(encodeEntryNews(news));
    REQUIRE(errorOf(result) == nullptr);
    const QuarantineUpdate &decoded = std::get<EntryNews>(result).quarantine;
    CHECK(decoded.brokenStarts.size() == (kept ? 1 : 0));
    CHECK(decoded.quarantined.size() == (kept ? 1 : 0));
    CHECK(decoded.sound.size() == (kept ? 1 : 0));
}

// Guards against a load report that overflows or that no comparison holds for.
TEST_CASE("a load report out of range is left out", "[wire]")
{
    const auto [slotUse, backlog, kept] = GENERATE(table<double, Duration, bool>({
        {0.0, 0ms, true},
        {12.5, 1h, true},
        {-0.1, 0ms, false},
        {std::numeric_limits<double>::quiet_NaN(), 0ms, false},
        {std::numeric_limits<double>::infinity(), 0ms, false},
        {0.5, -1ms, false},
        {0.5, 2h, false},
    }));
    EntryNews news;
    news.sender = {InstanceId("entry-1"), Incarnation(7), "10.0.0.1:1", FailureDomain("east")};
    news.domainLoad = DomainLoad {slotUse, backlog};
    const Result<EntryNews> result = decodeEntryNews(encodeEntryNews(news));
    REQUIRE(errorOf(result) == nullptr);
    CHECK(std::get<EntryNews>(result).domainLoad.has_value() == kept);
}

// Guards against records that change between entries; values need not be text.
TEST_CASE("a copy of the records survives the wire", "[wire]")
{
    const StoreEra era(GENERATE(0, 3));
    RecordCopy copy;
    copy.config = StoredRecord {"c", std::string("\0\xff{}", 4), {12, era}};
    copy.upstreams = {{{"a", "x", {1, era}}, {"b", "", {2, era}}}, {15, era}};
    copy.age = 300ms;
    const Result<RecordCopy> result = decodeRecordCopy(encodeRecordCopy(copy));
    REQUIRE(errorOf(result) == nullptr);
    const auto &decoded = std::get<RecordCopy>(result);
    CHECK(decoded.config == copy.config);
    CHECK(decoded.upstreams.records == copy.upstreams.records);
    CHECK(decoded.upstreams.revision == RecordRevision {15, era});
    CHECK(decoded.age == 300ms);
}

// Guards against a crash by bytes from elsewhere.
TEST_CASE("foreign bytes are refused", "[wire]")
{
    const std::string bytes =
        GENERATE(std::string(), std::string("\x00\x01", 2), std::string(100, '\xff'), std::string("GET / HTTP/1.1"));
    CHECK(errorOf(decodeEntryNews(bytes)) != nullptr);
    CHECK(errorOf(decodeRecordCopy(bytes)) != nullptr);
}

// Guards against evacuated domains that are lost between entries, and against some that no store has named.
TEST_CASE("evacuated domains survive the wire if they are valid", "[wire]")
{
    const auto [evacuated, kept] = GENERATE(table<EvacuatedDomains, bool>({
        {{{}, {7}}, true},
        {{{FailureDomain("east"), FailureDomain("west")}, {7, StoreEra(2)}}, true},
        {{{FailureDomain("east")}, {0}}, false},
        {{{FailureDomain("east")}, {-1}}, false},
        {{{FailureDomain("")}, {7}}, false},
        {{{FailureDomain(std::string(201, 'x'))}, {7}}, false},
    }));
    const std::optional<EvacuatedDomains> expected = kept ? std::optional(evacuated) : std::nullopt;
    EntryNews news;
    news.sender = {InstanceId("entry-1"), Incarnation(7), "10.0.0.1:1", {}};
    news.knowledge.evacuations = evacuated;
    const Result<EntryNews> decodedNews = decodeEntryNews(encodeEntryNews(news));
    REQUIRE(errorOf(decodedNews) == nullptr);
    CHECK(std::get<EntryNews>(decodedNews).knowledge.evacuations == expected);
    RecordCopy copy;
    copy.evacuations = evacuated;
    const Result<RecordCopy> decodedCopy = decodeRecordCopy(encodeRecordCopy(copy));
    REQUIRE(errorOf(decodedCopy) == nullptr);
    CHECK(std::get<RecordCopy>(decodedCopy).evacuations == expected);
}
