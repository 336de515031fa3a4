#include "platform/platformstore.h"

#include "UnitTests/adapters/relay/loopbackpeer.h"

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
    PlatformStore store {loop, m_acceptor.local_endpoint()};
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
