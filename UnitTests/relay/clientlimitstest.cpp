#include "ibismast/relay/clientlimits.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibismast;

namespace
{

constexpr std::int64_t KiB = 1024;
constexpr std::int64_t MiB = 1024 * KiB;

/// Clients of an instance with 24 MiB for them: 12 MiB for unfinished requests, 9 MiB for unsent responses.
class LimitsFixture
{
protected:
    static ClientLimitsSettings settings()
    {
        ClientLimitsSettings result;
        result.maxConnections = 100;
        result.maxBytes = 24 * MiB;
        return result;
    }
    ClientNumber connect(const std::string &address, const ClientState &state)
    {
        const ClientNumber number = limits.connected(ClientAddress(address));
        limits.update(number, state);
        return number;
    }
    void receive(ClientNumber client, std::int64_t bytes)
    {
        limits.update(client, {ClientPhase::Receiving, bytes, 0});
    }
    /// Lets @p clients send up to @p bytes each in pieces, as far as they are read, and collects who gives way.
    void send(std::vector<ClientNumber> clients, std::int64_t bytes)
    {
        constexpr std::int64_t Piece = 8 * KiB;
        for (std::int64_t sent = Piece; sent <= bytes; sent += Piece) {
            for (const ClientNumber client : clients) {
                if (!gaveWay.contains(client) && limits.mayRead(client)) {
                    receive(client, sent);
                }
                collect();
            }
        }
    }
    void collect()
    {
        while (const std::optional<GivenWay> next = limits.nextToGiveWay()) {
            REQUIRE(gaveWay.emplace(next->client, next->reason).second);
            limits.update(next->client, {ClientPhase::Closing, 0, 0});
        }
        most = std::max(most, limits.heldBytes());
    }

    ClientLimits limits {settings()};
    std::map<ClientNumber, GiveWayReason> gaveWay;
    std::int64_t most = 0;
};

} // namespace

// Guards against crowds with large unfinished bodies that fill the memory or cost small requests (issue 45), and
// against limits that bind in calm.
TEST_CASE_METHOD(LimitsFixture, "large unfinished requests give way, small ones do not", "[relay]")
{
    const auto [crowd, bytes, binds] = GENERATE(table<int, std::int64_t, bool>(
        {{1, 4 * MiB, false}, {90, 30 * KiB, false}, {4, 4 * MiB, true}, {40, MiB, true}, {80, 4 * MiB, true}}));
    CAPTURE(crowd, bytes);
    std::vector<ClientNumber> clients;
    for (int index = 0; index < crowd; ++index) {
        clients.push_back(connect("10.0.0.1", {ClientPhase::Receiving, 1, 0}));
    }
    send(clients, bytes);
    CHECK(most <= settings().maxBytes);
    const bool held = std::ranges::any_of(clients, [this](ClientNumber client) {
        return !limits.mayRead(client);
    });
    CHECK((held || !gaveWay.empty()) == binds);
    const ClientNumber small = connect("10.0.0.1", {ClientPhase::Receiving, 1, 0});
    send({small}, 30 * KiB);
    CHECK_FALSE(gaveWay.contains(small));
    CHECK(limits.mayRead(small));
    CHECK(limits.mayStart(60 * KiB));
    for (const ClientNumber client : clients) {
        limits.disconnected(client);
    }
    limits.disconnected(small);
    CHECK(limits.heldBytes() == 0);
}

// Guards against large requests that all wait for each other: one is read on, and it gives way when it stands still.
TEST_CASE_METHOD(LimitsFixture, "one large request is read while others wait", "[relay]")
{
    std::vector<ClientNumber> clients;
    for (int index = 0; index < 10; ++index) {
        clients.push_back(connect("10.0.0.1", {ClientPhase::Receiving, 1, 0}));
    }
    send(clients, 700 * KiB);
    CHECK(gaveWay.empty());
    for (bool standsStill = false; !clients.empty(); standsStill = !standsStill) {
        (void)limits.takeResumed();
        const auto reading = std::ranges::find_if(clients, [this](ClientNumber client) {
            return limits.mayRead(client);
        });
        REQUIRE(reading != clients.end());
        // The first call begins an interval in which nothing arrives.
        const std::vector<GivenWay> early = limits.stalled();
        const std::vector<GivenWay> stalled = limits.stalled();
        CHECK(early.empty());
        const bool isShort = clients.size() == 10;
        CHECK((std::ranges::count(stalled, *reading, &GivenWay::client) == 1) == isShort);
        limits.update(*reading, {standsStill ? ClientPhase::Closing : ClientPhase::Answering, 0, 0});
        clients.erase(reading);
    }
}

// Guards against a crowd at one address that costs the callers of other addresses their requests.
TEST_CASE_METHOD(LimitsFixture, "the address that holds most gives way first", "[relay]")
{
    const ClientNumber other = connect("10.0.0.2", {ClientPhase::Receiving, 3 * MiB, 0});
    for (int index = 0; index < 6; ++index) {
        (void)connect("10.0.0.1", {ClientPhase::Receiving, 2 * MiB, 0});
        collect();
    }
    CHECK_FALSE(gaveWay.empty());
    CHECK_FALSE(gaveWay.contains(other));
}

// Guards against responses that are never read and fill the memory, and against open requests that are given up for
// them.
TEST_CASE_METHOD(LimitsFixture, "unread responses give way, open requests do not", "[relay]")
{
    const ClientNumber open = connect("10.0.0.1", {ClientPhase::Answering, 0, 0});
    const HeldRequest held(limits, 8 * MiB);
    for (int index = 0; index < 10; ++index) {
        (void)connect("10.0.0.1", {ClientPhase::Answering, 0, 2 * MiB});
        collect();
    }
    CHECK(gaveWay.size() == 6);
    CHECK_FALSE(gaveWay.contains(open));
    CHECK(std::ranges::all_of(gaveWay, [](const auto &item) {
        return item.second == GiveWayReason::UnreadResponses;
    }));
    CHECK_FALSE(limits.mayStart(4 * MiB));
    CHECK(limits.mayStart(60 * KiB));
}

// Guards against clients that are cut though they hold next to nothing, since open requests fill the account.
TEST_CASE_METHOD(LimitsFixture, "clients that hold little do not give way to open requests", "[relay]")
{
    const auto [unfinished, unsent, givesWay] = GENERATE(table<std::int64_t, std::int64_t, bool>({
        {100, 0, false},
        {0, 8 * KiB, false},
        {64 * KiB, 0, false},
        {65 * KiB, 0, true},
        {0, 65 * KiB, true},
    }));
    limits.openRequestsChanged(24 * MiB);
    connect("10.0.0.1", {unsent > 0 ? ClientPhase::Answering : ClientPhase::Receiving, unfinished, unsent});
    collect();
    CHECK(gaveWay.empty() != givesWay);
    CHECK_FALSE(limits.mayStart(KiB));
}

// Guards against large requests that are not read because the one that was read first has been received.
TEST_CASE_METHOD(LimitsFixture, "the next large request is read when the first one has been received", "[relay]")
{
    const std::int64_t left = GENERATE(std::int64_t {0}, std::int64_t {1}, 64 * KiB);
    std::vector<ClientNumber> clients;
    for (int index = 0; index < 6; ++index) {
        clients.push_back(connect("10.0.0.1", {ClientPhase::Receiving, 3 * MiB / 2, 0}));
    }
    ClientNumber first;
    for (const ClientNumber client : clients) {
        if (limits.mayRead(client)) {
            first = client;
        }
    }
    limits.update(first, {ClientPhase::Answering, left, 0});
    const std::vector<ClientNumber> resumed = limits.takeResumed();
    CHECK(std::ranges::any_of(clients, [&](ClientNumber client) {
        return client != first && limits.mayRead(client);
    }));
    CHECK_FALSE(std::ranges::count(resumed, first) > 0);
}

// Guards against connections without requests that keep ordinary callers out.
TEST_CASE("the least useful connection gives its place to a new one", "[relay]")
{
    const auto [phase, address] = GENERATE(table<ClientPhase, std::string>({{ClientPhase::Closing, "10.0.0.2"},
                                                                            {ClientPhase::Silent, "10.0.0.2"},
                                                                            {ClientPhase::Receiving, "10.0.0.1"},
                                                                            {ClientPhase::Idle, "10.0.0.1"},
                                                                            {ClientPhase::Answering, "10.0.0.1"}}));
    ClientLimitsSettings settings;
    settings.maxConnections = 4;
    ClientLimits limits(settings);
    const auto connect = [&limits](const std::string &from, ClientPhase state) {
        const ClientNumber number = limits.connected(ClientAddress(from));
        limits.update(number, {state, state == ClientPhase::Receiving ? 100 : 0, 0});
        return number;
    };
    (void)connect("10.0.0.1", ClientPhase::Answering);
    (void)connect("10.0.0.2", ClientPhase::Answering);
    const ClientNumber candidate = connect(address, phase);
    CHECK_FALSE(limits.full());
    const ClientNumber last = connect(address, ClientPhase::Receiving);
    CHECK(limits.full());
    // A connection of the same address that is as useful, but has moved later, stays.
    CHECK(limits.leastUseful() == (phase == ClientPhase::Answering ? last : candidate));
    limits.update(last, {ClientPhase::Answering, 0, 0});
    CHECK(limits.leastUseful().has_value() == (phase != ClientPhase::Answering));
}
