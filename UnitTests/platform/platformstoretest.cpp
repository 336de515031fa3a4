#include "platform/platformstore.h"

#include "UnitTests/adapters/relay/loopbackpeer.h"
#include "adapters/plumbing/processclock.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

/// Store on a loopback socket whose answers a test writes.
class StoreFixture
{
protected:
    StoreFixture()
    {
        m_acceptor.async_accept(peer.socket, [this](const boost::system::error_code &error) {
            if (!error) {
                peer.read();
            }
        });
    }
    /// Waits for the next request and answers it.
    void answer(const std::string &era, const std::string &body)
    {
        REQUIRE(runUntil(loop, [this] {
            return peer.received.find("\r\n\r\n") != std::string::npos;
        }));
        peer.received.clear();
        peer.write("HTTP/1.1 200 OK\r\n" + (era.empty() ? "" : "Store-Era: " + era + "\r\n")
                   + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    boost::asio::io_context loop {1};
    LoopbackPeer peer {loop};

private:
    tcp::acceptor m_acceptor {loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};

protected:
    const tcp::endpoint endpoint = m_acceptor.local_endpoint();
    PlatformStore store {loop, endpoint};
};

std::string page(const std::string &key, bool more)
{
    return R"({"entries":[{"key":")" + key + R"(","value":"eA==","revision":4}],"more_pages":)"
        + (more ? "true" : "false") + R"(,"as_of":9})";
}

} // namespace

// Guards against revisions of a restored store that are taken for those of the former one.
TEST_CASE_METHOD(StoreFixture, "revisions carry the era that the store names", "[platform]")
{
    const auto [text, second] = GENERATE(
        table<std::string, std::int64_t>({{"4", 4}, {"3", 3}, {"", 3}, {"x", 3}, {"-1", 3}, {"4.5", 3}, {"4 ", 4}}));
    std::optional<StoredConfig> config;
    const auto read = [&] {
        config.reset();
        store.readConfig(5s, [&config](const Result<StoredConfig> &result) {
            REQUIRE(errorOf(result) == nullptr);
            config = std::get<StoredConfig>(result);
        });
    };
    const std::string body = R"({"key":"op/config","value":"eA==","revision":4,"as_of":9})";
    const auto arrived = [&config] {
        return config.has_value();
    };
    read();
    answer("3", body);
    REQUIRE(runUntil(loop, arrived));
    CHECK(config->revision == RecordRevision {9, StoreEra(3)});
    REQUIRE(config->record);
    CHECK(config->record->revision == RecordRevision {4, StoreEra(3)});
    read();
    answer(text, body);
    REQUIRE(runUntil(loop, arrived));
    CHECK(config->revision.era == StoreEra(second));
}

// Guards against a configuration that is never read because its transfer takes longer than the timeout of a read, at
// each attempt (issue 51).
TEST_CASE_METHOD(StoreFixture, "an answer may take longer than its timeout while it arrives", "[platform]")
{
    constexpr Duration Timeout = 20ms;
    constexpr std::size_t PieceBytes = 32 * 1024;
    const std::string value(std::size_t {1} << 20, 'A');
    const std::string body = R"({"key":"op/config","value":")" + value + R"(","revision":4,"as_of":9})";
    std::optional<Result<StoredConfig>> result;
    store.readConfig(Timeout, [&result](Result<StoredConfig> read) {
        result = std::move(read);
    });
    REQUIRE(runUntil(loop, [this] {
        return peer.received.find("\r\n\r\n") != std::string::npos;
    }));
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    const TimePoint start = processNow();
    std::size_t sent = 0;
    // The last piece is held back until the timeout has passed.
    while (!result && (sent + PieceBytes < body.size() || processNow() - start < 2 * Timeout)) {
        if (sent + PieceBytes < body.size()) {
            peer.write(body.substr(sent, PieceBytes));
            sent += PieceBytes;
        }
        loop.restart();
        loop.run_one_for(1ms);
    }
    REQUIRE_FALSE(result);
    peer.write(body.substr(sent));
    REQUIRE(runUntil(loop, [&result] {
        return result.has_value();
    }));
    REQUIRE(errorOf(*result) == nullptr);
    CHECK(std::get<StoredConfig>(*result).record->value.size() == value.size() / 4 * 3);
}

// Guards against an answer of the store that ends the process by a trailer of 64 KiB (review case 1). `HttpRequester`
// also reads the answers to orders and reports, and copies.
TEST_CASE_METHOD(StoreFixture, "an answer that the library cannot hold is no answer", "[platform]")
{
    const std::size_t size = GENERATE(as<std::size_t>(), 65'534, 65'600, 73'000);
    std::optional<bool> failed;
    store.readConfig(5s, [&failed](const Result<StoredConfig> &result) {
        failed = errorOf(result) != nullptr;
    });
    REQUIRE(runUntil(loop, [this] {
        return peer.received.find("\r\n\r\n") != std::string::npos;
    }));
    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX: " + std::string(size, 'y')
               + "\r\n\r\n");
    REQUIRE(runUntil(loop, [&failed] {
        return failed.has_value();
    }));
    CHECK(*failed);
}

// Guards against a list that is joined from pages of two histories, which may name an upstream twice or not at all.
TEST_CASE_METHOD(StoreFixture, "a list is read within one era of the store", "[platform]")
{
    const auto [era, whole] = GENERATE(table<std::string, bool>({{"3", true}, {"", true}, {"4", false}}));
    std::optional<Result<StoredUpstreams>> upstreams;
    store.readUpstreams(5s, [&upstreams](Result<StoredUpstreams> result) {
        upstreams = std::move(result);
    });
    answer("3", page("servers/a", true));
    answer(era, page("servers/b", false));
    REQUIRE(runUntil(loop, [&upstreams] {
        return upstreams.has_value();
    }));
    CHECK((errorOf(*upstreams) == nullptr) == whole);
    if (whole) {
        CHECK(std::get<StoredUpstreams>(*upstreams).records.size() == 2);
        CHECK(std::get<StoredUpstreams>(*upstreams).revision == RecordRevision {9, StoreEra(3)});
    }
}

// Guards against a list that is read without end, or never, because of characters in a key: the store takes `after` for
// another key and returns the same page again, or the request is malformed (review case 6).
TEST_CASE_METHOD(StoreFixture, "a list is read beyond a record of any key", "[platform]")
{
    const auto [key, encoded] = GENERATE(table<std::string, std::string>({
        {"servers/i-7f3a_91.c2~", "servers/i-7f3a_91.c2~"},
        {"servers/canary&blue", "servers/canary%26blue"},
        {"servers/a b", "servers/a%20b"},
        {"servers/a+b", "servers/a%2Bb"},
        {"servers/a%26b", "servers/a%2526b"},
        {"servers/a#b?c=d", "servers/a%23b%3Fc%3Dd"},
        {R"(servers/a\r\nX: y)", "servers/a%0D%0AX%3A%20y"},
        {R"(servers/a\u0000b)", "servers/a%00b"},
        {"servers/\xc3\xa9", "servers/%C3%A9"},
    }));
    // A value that is no base64 is unreadable, but the next page begins behind its key all the same.
    const std::string value = GENERATE("eA==", "?");
    std::optional<Result<StoredUpstreams>> upstreams;
    store.readUpstreams(5s, [&upstreams](Result<StoredUpstreams> result) {
        upstreams = std::move(result);
    });
    answer("", R"({"entries":[{"key":")" + key + R"(","value":")" + value + R"("}],"more_pages":true,"as_of":9})");
    REQUIRE(runUntil(loop, [this] {
        return peer.received.find("\r\n\r\n") != std::string::npos;
    }));
    CHECK(peer.received.substr(0, peer.received.find("\r\n"))
          == "GET /api/kv-range?path_prefix=servers/&after=" + encoded + " HTTP/1.1");
    answer("", page("servers/z", false));
    REQUIRE(runUntil(loop, [&upstreams] {
        return upstreams.has_value();
    }));
    REQUIRE(errorOf(*upstreams) == nullptr);
    CHECK(std::get<StoredUpstreams>(*upstreams).records.size() == (value == "?" ? 1 : 2));
}

// Guards against a read that asks for pages without end, and against a list that counts as whole though the store has
// further pages.
TEST_CASE_METHOD(StoreFixture, "a page must go beyond the page before it unless it is the last one", "[platform]")
{
    const auto [second, whole] = GENERATE(table<std::string, bool>({
        {page("servers/c", false), true},
        {page("servers/b", false), true},
        {page("servers/b", true), false},
        {page("servers/a", true), false},
        {R"({"entries":[{"key":"servers/b","value":"?"}],"more_pages":true,"as_of":9})", false},
        {R"({"entries":[],"more_pages":true,"as_of":9})", false},
        {R"({"entries":[{"value":"eA=="},7],"more_pages":true,"as_of":9})", false},
    }));
    std::optional<Result<StoredUpstreams>> upstreams;
    store.readUpstreams(5s, [&upstreams](Result<StoredUpstreams> result) {
        upstreams = std::move(result);
    });
    answer("",
           R"({"entries":[{"key":"servers/a","value":"eA=="},{"key":"servers/b","value":"?"}],)"
           R"("more_pages":true,"as_of":9})");
    answer("", second);
    (void)runUntil(loop, [this, &upstreams] {
        return upstreams.has_value() || peer.received.find("\r\n\r\n") != std::string::npos;
    });
    REQUIRE(upstreams);
    CHECK((errorOf(*upstreams) == nullptr) == whole);
}

// Guards against a process that other writers' records among those of the upstreams make exceed its memory.
TEST_CASE_METHOD(StoreFixture, "a value that no upstream writes is not kept", "[platform]")
{
    const auto [size, kept] = GENERATE(table<std::size_t, bool>({{300, true}, {16'383, true}, {999'999, false}}));
    std::optional<Result<StoredUpstreams>> upstreams;
    store.readUpstreams(5s, [&upstreams](Result<StoredUpstreams> result) {
        upstreams = std::move(result);
    });
    answer("",
           R"({"entries":[{"key":"servers/a","value":")" + std::string(size / 3 * 4, 'A')
               + R"("},)"
                 R"({"key":"servers/b","value":"eA=="}],"as_of":9})");
    REQUIRE(runUntil(loop, [&upstreams] {
        return upstreams.has_value();
    }));
    REQUIRE(errorOf(*upstreams) == nullptr);
    const auto &records = std::get<StoredUpstreams>(*upstreams).records;
    REQUIRE(records.size() == 2);
    // The record remains, so that it is logged as unreadable.
    CHECK(records[0].key == "servers/a");
    CHECK(records[0].value.size() == (kept ? size : 0));
    CHECK(records[1].value == "x");
}

namespace
{

/// Store that is asked for evacuations too.
class EvacuationStoreFixture : public StoreFixture
{
protected:
    /// Waits for the next request, checks that it contains @p target, and answers it.
    void answerTo(const std::string &target, const std::string &era, const std::string &body)
    {
        REQUIRE(runUntil(loop, [this] {
            return peer.received.find("\r\n\r\n") != std::string::npos;
        }));
        CHECK(peer.received.find(target) != std::string::npos);
        answer(era, body);
    }
    void keep(const Result<StoredConfig> &answered)
    {
        result = answered;
    }
    void awaitResult()
    {
        REQUIRE(runUntil(loop, [this] {
            return result.has_value();
        }));
    }

    std::optional<Result<StoredConfig>> result;
    PlatformStore operators {loop, endpoint, PlatformStore::OperatorRecords::ConfigAndEvacuations};
};

std::string item(const std::string &key, std::int64_t revision, const std::string &value = "e30=")
{
    return R"({"key":")" + key + R"(","value":")" + value + R"(","revision":)" + std::to_string(revision) + "}";
}

std::string deletion(const std::string &key, std::int64_t revision)
{
    return R"({"key":")" + key + R"(","revision":)" + std::to_string(revision) + R"(,"deleted":true})";
}

} // namespace

// Guards against evacuations on a later page that are missed, against other records of the operators that count as
// such, and against ones that are missed because of their value.
TEST_CASE_METHOD(EvacuationStoreFixture, "evacuated domains are read with the configuration", "[platform]")
{
    const auto [era, whole] = GENERATE(table<std::string, bool>({{"3", true}, {"4", false}}));
    operators.readConfig(5s, [this](const Result<StoredConfig> &answered) {
        keep(answered);
    });
    answerTo("path_prefix=op/ ",
             "3",
             R"({"entries":[)" + item("op/config", 4, "eA==") + "," + item("op/evacuate", 4) + ","
                 + item("op/evacuate/", 5) + "," + item("op/evacuate/z1", 5, "?")
                 + R"(],"more_pages":true,"as_of":9})");
    answerTo("&after=op/evacuate/z1 ",
             era,
             R"({"entries":[)" + item("op/evacuate/z2", 8) + "," + item("op/other/z3", 8)
                 + R"(,7,{"value":"e30="}],"more_pages":false,"as_of":12})");
    awaitResult();
    REQUIRE((errorOf(*result) == nullptr) == whole);
    if (whole) {
        const auto &config = std::get<StoredConfig>(*result);
        CHECK(config.revision == RecordRevision {9, StoreEra(3)});
        REQUIRE(config.record);
        CHECK(config.record->value == "x");
        CHECK(config.evacuated == std::set {FailureDomain("z1"), FailureDomain("z2")});
    }
}

// Guards against evacuations that are not applied while the configuration's record is missing or unreadable, and
// against a whole read behind which no change can be awaited.
TEST_CASE_METHOD(EvacuationStoreFixture, "a read of the operators' records needs a revision only", "[platform]")
{
    const auto [body, valid, hasConfig, domains] = GENERATE(table<std::string, bool, bool, std::size_t>({
        {R"({"entries":[{"key":"op/config","value":"eA==","revision":4}],"as_of":9})", true, true, 0},
        {R"({"entries":[{"key":"op/config","value":"eA==","revision":4}]})", false, false, 0},
        {R"({"entries":[{"key":"op/config2","value":"eA==","revision":4}],"as_of":9})", true, false, 0},
        {R"({"entries":[{"key":"op/config","value":"?","revision":4}],"as_of":9})", true, false, 0},
        {R"({"entries":[],"as_of":9})", true, false, 0},
        {R"({"entries":[{"key":"op/evacuate/z1","value":"e30=","revision":4}],"as_of":9})", true, false, 1},
    }));
    operators.readConfig(5s, [this](const Result<StoredConfig> &answered) {
        keep(answered);
    });
    answer("", body);
    awaitResult();
    REQUIRE((errorOf(*result) == nullptr) == valid);
    if (valid) {
        const auto &config = std::get<StoredConfig>(*result);
        CHECK(config.record.has_value() == hasConfig);
        REQUIRE(config.evacuated);
        CHECK(config.evacuated->size() == domains);
    }
}

// Guards against an evacuation that is not ended because its deletion is taken for a record, and against changes of one
// domain that are applied in the wrong order.
TEST_CASE_METHOD(EvacuationStoreFixture, "a wait reports the last change of each domain", "[platform]")
{
    struct Row
    {
        std::string events;
        std::map<FailureDomain, bool> changes;
        bool config = false;
    };
    const FailureDomain zone("z1");
    const Row row = GENERATE_COPY(values<Row>({
        {"", {}},
        {item("op/evacuate/z1", 10), {{zone, true}}},
        {deletion("op/evacuate/z1", 10), {{zone, false}}},
        {item("op/evacuate/z1", 10) + "," + deletion("op/evacuate/z1", 11), {{zone, false}}},
        {deletion("op/evacuate/z1", 11) + "," + item("op/evacuate/z1", 12), {{zone, true}}},
        {deletion("op/evacuate/z1", 11) + "," + item("op/evacuate/z1", 10), {{zone, false}}},
        {item("op/evacuate/z1", 10, "?"), {{zone, true}}},
        {item("op/config", 10) + "," + deletion("op/evacuate/z1", 11), {{zone, false}}, true},
        {deletion("op/config", 10), {}},
        {item("op/other", 10) + "," + item("op/evacuate/", 11) + "," + item("op/evacuate", 12) + R"(,3,{"key":5})", {}},
    }));
    operators.awaitConfig(9, 1s, 5s, [this](const Result<StoredConfig> &answered) {
        keep(answered);
    });
    answerTo("path_prefix=op/&after=9&wait_ms=1000 ", "3", R"({"events":[)" + row.events + R"(],"as_of":14})");
    awaitResult();
    REQUIRE(errorOf(*result) == nullptr);
    const auto &config = std::get<StoredConfig>(*result);
    CHECK(config.evacuationChanges == row.changes);
    CHECK(config.record.has_value() == row.config);
    CHECK_FALSE(config.evacuated);
    CHECK(config.revision == RecordRevision {14, StoreEra(3)});
}

// Guards against calls that change where no evacuations are used.
TEST_CASE_METHOD(EvacuationStoreFixture, "without evacuations only the configuration is read", "[platform]")
{
    store.readConfig(5s, [this](const Result<StoredConfig> &answered) {
        keep(answered);
    });
    answerTo("GET /api/kv-key?key=op/config ", "", R"({"key":"op/config","value":"eA==","revision":4,"as_of":9})");
    awaitResult();
    REQUIRE(errorOf(*result) == nullptr);
    CHECK_FALSE(std::get<StoredConfig>(*result).evacuated);
    result.reset();
    store.awaitConfig(9, 1s, 5s, [this](const Result<StoredConfig> &answered) {
        keep(answered);
    });
    answerTo("path_prefix=op/config&after=9&", "", R"({"events":[],"as_of":9})");
    awaitResult();
    REQUIRE(errorOf(*result) == nullptr);
}
