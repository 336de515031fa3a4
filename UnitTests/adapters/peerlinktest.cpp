#include "adapters/peerlink.h"
#include "adapters/peerserver.h"
#include "qttest.h"

using namespace ibismast;

namespace
{

PeerFrame frameOf(const std::string &sender, std::uint64_t incarnation, PeerMessage message)
{
    return {InstanceId(sender), Incarnation(incarnation), Revision(0), std::move(message)};
}

PeerMessage bigRequest(std::size_t size)
{
    DispatchRequest request;
    request.body = std::make_shared<const std::string>(size, 'x');
    return request;
}

PeerLinkSettings fastSettings()
{
    PeerLinkSettings settings;
    settings.backoff = std::chrono::milliseconds(1);
    settings.maxBackoff = std::chrono::milliseconds(20);
    return settings;
}

/// Server and link on loopback that record what happens.
struct Pair : NeedsEventLoop
{
    Pair()
    {
        QObject::connect(&server, &PeerServer::frameReceived, &server, [this](const PeerFrame &frame) {
            atServer.push_back(frame);
        });
        QObject::connect(&server, &PeerServer::peerDisconnected, &server, [this](const InstanceId &peer) {
            lost.push_back(peer);
        });
        QObject::connect(&link, &PeerLink::frameReceived, &link, [this](const PeerFrame &frame) {
            atLink.push_back(frame);
        });
        QObject::connect(&link, &PeerLink::connected, &link, [this] {
            ++connections;
        });
        QObject::connect(&link, &PeerLink::disconnected, &link, [this](const QString &) {
            ++disconnections;
        });
        listen(0);
    }
    void listen(quint16 port)
    {
        const auto result = server.listen(QHostAddress(QHostAddress::LocalHost), port);
        REQUIRE(errorOf(result) == nullptr);
    }
    void connectLink()
    {
        link.open(QHostAddress(QHostAddress::LocalHost), server.port());
        REQUIRE(runUntil([this] {
            return connections == 1;
        }));
    }

    PeerServer server {PeerConnectionSettings()};
    PeerLink link {InstanceId("agent-1"), fastSettings(), 1};
    std::vector<PeerFrame> atServer;
    std::vector<PeerFrame> atLink;
    std::vector<InstanceId> lost;
    int connections = 0;
    int disconnections = 0;
};

} // namespace

// Guards against frames that are lost, reordered or given to another peer.
TEST_CASE("frames pass in both directions", "[adapters]")
{
    Pair pair;
    pair.connectLink();
    for (std::uint64_t i = 0; i < 100; ++i) {
        CHECK(pair.link.send(frameOf("entry-1", 5, IssueOperations {i, 1})) == SendOutcome::Sent);
    }
    REQUIRE(runUntil([&pair] {
        return pair.atServer.size() == 100;
    }));
    for (std::uint64_t i = 0; i < 100; ++i) {
        CHECK(std::get<IssueOperations>(pair.atServer[i].message).call == i);
    }
    CHECK(pair.server.send(InstanceId("entry-2"), frameOf("agent-1", 1, IssueOperations {}))
          == SendOutcome::NotConnected);
    CHECK(pair.server.send(InstanceId("entry-1"), frameOf("agent-1", 1, IssueOperations {3, 4})) == SendOutcome::Sent);
    CHECK(runUntil([&pair] {
        return pair.atLink.size() == 1;
    }));
}

// Guards against a link that stays down after its peer was restarted.
TEST_CASE("a link connects again after the end of its connection", "[adapters]")
{
    Pair pair;
    pair.connectLink();
    const quint16 port = pair.server.port();
    pair.server.stopAccepting();
    pair.server.closeAll();
    REQUIRE(runUntil([&pair] {
        return pair.disconnections == 1;
    }));
    CHECK(pair.link.send(frameOf("entry-1", 5, IssueOperations {})) == SendOutcome::NotConnected);
    pair.listen(port);
    REQUIRE(runUntil([&pair] {
        return pair.connections == 2;
    }));
    CHECK(pair.link.send(frameOf("entry-1", 5, IssueOperations {})) == SendOutcome::Sent);
    CHECK(runUntil([&pair] {
        return pair.atServer.size() == 1;
    }));
}

// Guards against instances that all connect again in the same moment.
TEST_CASE("the pause before connecting again grows and varies", "[adapters]")
{
    const PeerLinkSettings settings;
    SeededRandom random(7);
    std::set<Duration> pauses;
    for (unsigned failures = 0; failures < 100; ++failures) {
        const Duration longest = std::min(settings.backoff * (1 << std::min(failures, 20U)), settings.maxBackoff);
        const Duration pause = reconnectPause(settings, failures, random);
        CHECK(pause <= longest);
        CHECK(pause >= longest / 2);
        pauses.insert(pause);
    }
    CHECK(pauses.size() > 90);
}

// Guards against a peer that ends the process with malformed bytes or keeps its connection.
TEST_CASE("a peer that sends malformed bytes is disconnected", "[adapters]")
{
    const auto bytes = GENERATE(std::string("\x00\x00\x00\x03zzz", 7), std::string("\xff\xff\xff\xff", 4));
    Pair pair;
    RawClient client(pair.server.port());
    client.send(bytes);
    CHECK(client.waitForClose());
    pair.connectLink();
    CHECK(pair.link.send(frameOf("entry-1", 5, IssueOperations {})) == SendOutcome::Sent);
    CHECK(runUntil([&pair] {
        return pair.atServer.size() == 1;
    }));
}

// Guards against memory that grows without limit for a peer that does not read, and against its requests being lost.
TEST_CASE("a peer that does not read stops new work and is disconnected at last", "[adapters]")
{
    needEventLoop();
    QTcpServer silent;
    REQUIRE(silent.listen(QHostAddress(QHostAddress::LocalHost), 0));
    PeerLinkSettings settings = fastSettings();
    settings.connection.maxQueuedBytes = 8'000'000;
    PeerLink link(InstanceId("agent-1"), settings, 1);
    bool isConnected = false;
    QObject::connect(&link, &PeerLink::connected, &link, [&isConnected] {
        isConnected = true;
    });
    QObject::connect(&link, &PeerLink::disconnected, &link, [&isConnected] {
        isConnected = false;
    });
    link.open(QHostAddress(QHostAddress::LocalHost), silent.serverPort());
    REQUIRE(runUntil([&isConnected] {
        return isConnected;
    }));
    SendOutcome outcome = SendOutcome::Sent;
    for (int i = 0; i < 100 && outcome == SendOutcome::Sent; ++i) {
        outcome = link.send(frameOf("entry-1", 5, bigRequest(1'000'000)));
    }
    CHECK(outcome == SendOutcome::QueueFull);
    // Messages about work in progress still pass.
    CHECK(link.send(frameOf("entry-1", 5, CancelAttempt {})) == SendOutcome::Sent);
    AttemptFailed large;
    large.error.message = std::string(1'000'000, 'x');
    for (int i = 0; i < 100 && isConnected; ++i) {
        outcome = link.send(frameOf("entry-1", 5, large));
    }
    CHECK(outcome == SendOutcome::NotConnected);
    CHECK_FALSE(isConnected);
}

// Guards against answers that are sent over the old connection of a peer that has connected again.
TEST_CASE("the newest connection of a peer is used", "[adapters]")
{
    Pair pair;
    pair.connectLink();
    REQUIRE(pair.link.send(frameOf("entry-1", 5, IssueOperations {})) == SendOutcome::Sent);
    REQUIRE(runUntil([&pair] {
        return pair.atServer.size() == 1;
    }));
    RawClient second(pair.server.port());
    second.send(std::get<std::string>(encodeFrame(frameOf("entry-1", 6, IssueOperations {}), FrameLimits())));
    REQUIRE(runUntil([&pair] {
        return pair.atServer.size() == 2;
    }));
    CHECK(pair.server.send(InstanceId("entry-1"), frameOf("agent-1", 1, IssueOperations {})) == SendOutcome::Sent);
    CHECK(runUntil([&second] {
        return !second.received().empty();
    }));
    CHECK(pair.lost.empty());
}
