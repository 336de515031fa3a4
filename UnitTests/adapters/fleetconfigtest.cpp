#include "UnitTests/adapters/fleetfixture.h"

using namespace ibismast;

namespace
{

const std::string Fleet = "[customer registry]\nweight = 2\napi_key_sha256 = " + keyHash("secret")
    + "\n[model small]\nversion = 1\ncopies_per_domain = 1\nmemory_tokens = 1000\n"
      "[service booking]\naddress = 127.0.0.1:9\n"
      "[call book]\nservice = booking\nmethod = PUT\npath = /orders/*/book\n";

std::string get(quint16 port, const std::string &path, const std::string &headers = {})
{
    RawClient client(port);
    client.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n");
    REQUIRE(client.waitFor("\r\n\r\n"));
    return client.received();
}

bool inForce(const ConfigSource &config, Revision revision)
{
    return config.revision() >= revision;
}

} // namespace

// Guards against an index that misses a declaration or keeps one that was removed.
TEST_CASE("the fleet's configuration answers the questions of the request path", "[fleet]")
{
    ConfigReplica replica;
    FleetConfig config(replica, nullptr);
    ConfigState state;
    const auto declare = [&state](const std::string &text) {
        DeclaredObjects declared;
        declared.add(parseIni("fleet.ini", text));
        REQUIRE(declared.issues.empty());
        state.objects.clear();
        for (const auto &[name, values] : declared.objects) {
            state.objects[name] = {values, state.revision};
        }
        state.revision += Revision(1);
    };
    declare(Fleet);
    replica.applyState(state);
    config.refresh();
    REQUIRE(config.revision() == Revision(1));
    REQUIRE(config.customerOfKey(keyHash("secret")) != nullptr);
    CHECK(config.customerOfKey(keyHash("secret"))->id == CustomerId("registry"));
    CHECK(config.customerOfKey(keyHash("secret"))->weight == 2.0);
    CHECK(config.customerOfKey(keyHash("other")) == nullptr);
    CHECK(config.models() == std::vector {ModelName("small")});
    CHECK(config.model(ModelName("large")) == nullptr);
    CHECK(config.service(ServiceName("booking")) != nullptr);
    CHECK_FALSE(config.isIdempotent(ServiceName("booking"), "PUT", "/orders/7/book?x=1"));
    CHECK(config.isIdempotent(ServiceName("booking"), "GET", "/orders/7/book"));
    CHECK(config.isIdempotent(ServiceName("booking"), "PUT", "/orders/7"));
    // A POST or PATCH is not repeated even if nobody has declared it.
    CHECK_FALSE(config.isIdempotent(ServiceName("booking"), "POST", "/orders/7"));
    CHECK_FALSE(config.isIdempotent(ServiceName("booking"), "PATCH", "/orders/7"));

    declare("[model large]\nversion = 1\ncopies_per_domain = 1\nmemory_tokens = 1000\n");
    replica.applyState(state);
    config.refresh();
    CHECK(config.revision() == Revision(2));
    CHECK(config.customerOfKey(keyHash("secret")) == nullptr);
    CHECK(config.models() == std::vector {ModelName("large")});
    CHECK(config.service(ServiceName("booking")) == nullptr);
    CHECK(config.isIdempotent(ServiceName("booking"), "PUT", "/orders/7/book"));
    CHECK_FALSE(config.isIdempotent(ServiceName("booking"), "POST", "/orders/7/book"));
}

// Guards against a drain declaration that has no effect on the agent it names.
TEST_CASE("a declared drain makes the agent leave", "[fleet]")
{
    FleetFixture fleet;
    const auto agent = fleet.startAgent("agent-1");
    const auto entry = fleet.startEntry("entry-1", "agent-1@" + FleetFixture::address(agent->peerPort()));
    REQUIRE(runUntil([&] {
        return entry->config().ready() && agent->config()->ready();
    }));
    CHECK_FALSE(agent->isLeaving());
    REQUIRE(FleetFixture::apply(*entry, "drain-1", "[drain agent-1]\nreason = repair\n").code == ResultCode::Ok);
    CHECK(runUntil([&] {
        return agent->isLeaving();
    }));
}

// Guards against a change that stays in the process that accepted it.
TEST_CASE("a change is in force in every process", "[fleet]")
{
    FleetFixture fleet;
    const auto agent = fleet.startAgent("agent-1");
    const std::string agents = "agent-1@" + FleetFixture::address(agent->peerPort());
    const auto first = fleet.startEntry("entry-1", agents);
    const auto second = fleet.startEntry("entry-2", agents);
    REQUIRE(runUntil([&] {
        return first->config().ready() && second->config().ready() && agent->config()->ready();
    }));
    const ChangeReply reply = FleetFixture::apply(*first, "change-1", Fleet);
    REQUIRE(reply.code == ResultCode::Ok);
    REQUIRE(reply.revision == Revision(1));
    REQUIRE(runUntil([&] {
        return inForce(first->config(), reply.revision) && inForce(second->config(), reply.revision)
            && inForce(*agent->config(), reply.revision);
    }));
    const std::string key = "Authorization: Bearer secret\r\n";
    CHECK(get(second->httpPort(), "/v1/models", key).find(R"("id": "small")") != std::string::npos);
    CHECK(get(second->httpPort(), "/v1/models").find("HTTP/1.1 401") == 0);
}

// Guards against requests that are admitted before the instance knows the fleet's customers and limits.
TEST_CASE("an entry is ready only once it has the fleet's configuration", "[fleet]")
{
    FleetFixture fleet;
    fleet.fault({{"fault", "silent"}, {"path", "/v3/"}});
    const auto agent = fleet.startAgent("agent-1");
    const auto entry = fleet.startEntry("entry-1", "agent-1@" + FleetFixture::address(agent->peerPort()));
    REQUIRE(runUntil([&] {
        return entry->process().connectedAgents() == 1;
    }));
    CHECK_FALSE(entry->config().ready());
    CHECK(get(entry->httpPort(), "/readyz").find("HTTP/1.1 503") == 0);
    fleet.fault({{"clear", true}});
    REQUIRE(runUntil([&] {
        return entry->config().ready();
    }));
    CHECK(get(entry->httpPort(), "/readyz").find("HTTP/1.1 200") == 0);
}

// Guards against an outage of the store that keeps new instances out of service.
TEST_CASE("a process that starts while the store is down takes the configuration from a peer", "[fleet]")
{
    FleetFixture fleet;
    const auto agent = fleet.startAgent("agent-1");
    const std::string agents = "agent-1@" + FleetFixture::address(agent->peerPort());
    Revision newest;
    const auto first = fleet.startEntry("entry-1", agents);
    REQUIRE(runUntil([&] {
        return first->config().ready();
    }));
    for (const std::string version : {"1", "2", "3"}) {
        const ChangeReply reply = FleetFixture::apply(*first,
                                                      "change-" + version,
                                                      "[model small]\nversion = " + version
                                                          + "\ncopies_per_domain = 1\nmemory_tokens = 1000\n");
        REQUIRE(reply.code == ResultCode::Ok);
        newest = reply.revision;
    }
    REQUIRE(runUntil([&] {
        return inForce(*agent->config(), newest);
    }));
    fleet.fault({{"fault", "silent"}, {"path", "/v3/"}});
    const auto second = fleet.startEntry("entry-2", agents);
    REQUIRE(runUntil([&] {
        return second->config().ready();
    }));
    CHECK(second->config().revision() == newest);
    CHECK(second->config().model(ModelName("small")) != nullptr);
}

// Guards against a process that goes back: a peer that restarts with an empty replica, an answer that comes late or
// a relay that reads the log again must not make any other process forget a revision.
TEST_CASE("no process ever returns to an older revision", "[fleet]")
{
    FleetFixture fleet;
    auto agent = fleet.startAgent("agent-1");
    const auto other = fleet.startAgent("agent-2");
    const auto address = [](const std::string &id, quint16 port) {
        return id + "@" + FleetFixture::address(port);
    };
    const auto entry = fleet.startEntry(
        "entry-1", address("agent-1", agent->peerPort()) + ", " + address("agent-2", other->peerPort()));
    std::map<std::string, Revision> seen;
    bool reverted = false;
    const auto watch = [&] {
        const auto note = [&](const std::string &name, const ConfigSource *config) {
            reverted = reverted || config->revision() < seen[name];
            seen[name] = config->revision();
        };
        note("entry-1", &entry->config());
        note("agent-2", other->config());
        if (agent) {
            note("agent-1", agent->config());
        }
    };
    const auto everywhere = [&](Revision revision) {
        return runUntil([&] {
            watch();
            return inForce(entry->config(), revision) && inForce(*other->config(), revision)
                && (!agent || inForce(*agent->config(), revision));
        });
    };
    REQUIRE(runUntil([&] {
        watch();
        return entry->config().ready() && other->config()->ready();
    }));
    Revision newest;
    for (int round = 1; round <= 6; ++round) {
        if (round % 2 == 0) {
            // Some answers of the store are lost or late; the changes in them are resolved by reading back.
            fleet.fault({{"fault", "late"}, {"path", "/v3/kv/range"}, {"count", 1}, {"delay_ms", 50}});
            fleet.fault({{"fault", "lose_answer"}, {"path", "/v3/kv/txn"}, {"count", 1}});
        }
        const std::string version = std::to_string(round);
        const ChangeReply reply = FleetFixture::apply(*entry,
                                                      "change-" + version,
                                                      "[model small]\nversion = " + version
                                                          + "\ncopies_per_domain = 1\nmemory_tokens = 1000\n");
        REQUIRE(reply.code == ResultCode::Ok);
        CHECK(reply.revision > newest);
        newest = reply.revision;
        REQUIRE(everywhere(newest));
        if (round == 3) {
            // The agent starts again without a configuration, behind the same name.
            agent.reset();
            seen.erase("agent-1");
            REQUIRE(runUntil([&entry] {
                return entry->process().connectedAgents() == 1;
            }));
            agent = fleet.startAgent("agent-1", 2);
            entry->process().setAgents(
                {{InstanceId("agent-1"), QHostAddress(QHostAddress::LocalHost), agent->peerPort()},
                 {InstanceId("agent-2"), QHostAddress(QHostAddress::LocalHost), other->peerPort()}});
        }
    }
    CHECK_FALSE(reverted);
}
