#include "platform/platformorders.h"

#include "UnitTests/adapters/relay/loopbackpeer.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using boost::asio::ip::tcp;

namespace
{

/// Engine on a loopback socket whose answers to orders a test writes.
class OrdersFixture
{
protected:
    OrdersFixture()
    {
        m_acceptor.async_accept(engine.socket, [this](const boost::system::error_code &error) {
            if (!error) {
                engine.read();
            }
        });
        holder.upstream.id = InstanceId("e1");
        holder.upstream.address = UpstreamAddress("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
        holder.reserved = Tokens(1'000);
        holder.reservationId = "r.1.1";
        orders.setNoticeHandler([this](const UpstreamRecord &upstream, const UpstreamNotice &notice) {
            CHECK(upstream.id == holder.upstream.id);
            notices.push_back(notice);
        });
    }
    /// Sends an order or question and waits until the engine has it.
    void send(const std::string &kind)
    {
        if (kind == "reserve") {
            orders.reserve(holder, std::chrono::seconds(3), [this](ReserveOutcome result) {
                outcome = result == ReserveOutcome::Granted ? "granted"
                    : result == ReserveOutcome::Refused     ? "refused"
                                                            : "unanswered";
            });
        } else if (kind == "release") {
            orders.release(holder, [this](bool answered) {
                outcome = answered ? "answered" : "unanswered";
            });
        } else {
            orders.inspect(holder, [this](ReservationState state) {
                outcome = state == ReservationState::Unknown ? "unknown" : "known";
            });
        }
        REQUIRE(runUntil(loop, [this] {
            return engine.received.find("\r\n\r\n") != std::string::npos;
        }));
    }
    [[nodiscard]] bool awaitOutcome()
    {
        return runUntil(loop, [this] {
            return !outcome.empty();
        });
    }

    boost::asio::io_context loop {1};
    LoopbackPeer engine {loop};
    PlatformOrders orders {loop};
    AttemptHelper holder;
    std::vector<UpstreamNotice> notices;
    std::string outcome;

private:
    tcp::acceptor m_acceptor {loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
};

} // namespace

// Guards against a leave, a pause or a rate limit that an engine names in its answer to an order and that is
// overlooked.
TEST_CASE_METHOD(OrdersFixture, "the answer to an order says what it says of its engine", "[platform]")
{
    const std::string kind = GENERATE(as<std::string>(), "reserve", "release", "inspect");
    const auto [status, header, notice] = GENERATE(table<std::string, std::string, UpstreamNotice>({
        {"200 OK", "Server-Leaving: 1\r\n", {true, std::nullopt, std::nullopt}},
        {"409 Conflict", "Server-Leaving: 1\r\n", {true, std::nullopt, std::nullopt}},
        {"503 Busy", "Retry-After: 2\r\n", {false, std::nullopt, std::chrono::seconds(2)}},
        {"200 OK", "Server-Limit: 2.5\r\n", {false, RequestRate {2.5}, std::nullopt}},
        {"421 Misdirected", "Server-Leaving: 1\r\n", {}},
        {"200 OK", "", {}},
    }));
    send(kind);
    engine.write("HTTP/1.1 " + status + "\r\n" + header + "Content-Length: 2\r\n\r\n{}");
    REQUIRE(awaitOutcome());
    CHECK(notices == (notice == UpstreamNotice() ? std::vector<UpstreamNotice>() : std::vector {notice}));
}

// Guards against an engine in trouble whose answer to an order never ends: the bytes of a few of them together exceeded
// the memory of an entry before their time was over (reports of other operators, issue 40).
TEST_CASE_METHOD(OrdersFixture, "an answer to an order that never ends is given up at a limit", "[platform]")
{
    const auto [kind, expected] = GENERATE(table<std::string, std::string>(
        {{"reserve", "unanswered"}, {"release", "unanswered"}, {"inspect", "unknown"}}));
    const auto [start, piece] = GENERATE(table<std::string, std::string>({
        {"HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x')},
        {"HTTP/1.1 200 OK\r\nContent-Length: 4000000000000\r\n\r\n", std::string(4096, 'x')},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + std::string(4096, 'x') + "\r\n"},
        {"", std::string(4096, 'x')},
    }));
    send(kind);
    engine.write(start);
    // The answer's limit and the buffers of the kernel; the time limit of an order lets far more through.
    constexpr std::size_t MostTaken = std::size_t {8} << 20;
    std::size_t taken = 0;
    boost::system::error_code error;
    while (!error && taken < 4 * MostTaken && outcome.empty()) {
        taken += boost::asio::write(engine.socket, boost::asio::buffer(piece), error);
        loop.poll();
        loop.restart();
    }
    REQUIRE(awaitOutcome());
    CHECK(outcome == expected);
    CHECK(taken <= MostTaken);
    CHECK(notices.empty());
}

// Guards against an order that may still be carried out and is taken for a refused one.
TEST_CASE_METHOD(OrdersFixture, "an order to reserve tells a refusal from a missing answer", "[platform]")
{
    const auto [status, expected] = GENERATE(table<std::string, std::string>({
        {"200 OK", "granted"},
        {"409 Conflict", "refused"},
        {"503 Busy", "refused"},
        {"421 Misdirected", "refused"},
        {"", "unanswered"},
    }));
    send("reserve");
    if (!status.empty()) {
        engine.write("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}");
    }
    REQUIRE(awaitOutcome());
    CHECK(outcome == expected);
}
