#include "standins/instancelist/instancelistserver.h"
#include "standins/plainservice/plainserviceserver.h"

#include "UnitTests/standins/httpclient.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::test;

// Guards against a double run that nobody can see.
TEST_CASE("the plain service counts the runs of each reference", "[standins]")
{
    ensureApplication();
    PlainServiceServer server;
    HttpClient client(server.start(0));
    CHECK(client.post("/registrations", {{"reference", "r1"}}).json()["run"].toInt() == 1);
    CHECK(client.post("/registrations", {{"reference", "r2"}}).json()["run"].toInt() == 1);
    CHECK(client.get("/control").json()["double_runs"].toInt() == 0);
    CHECK(client.post("/registrations", {{"reference", "r1"}}).json()["run"].toInt() == 2);
    const QJsonObject status = client.get("/control").json();
    CHECK(status["double_runs"].toInt() == 1);
    CHECK(status["runs"].toObject()["r1"].toInt() == 2);
}

// Guards against a fault that does nothing, which would make every test built on it pass.
TEST_CASE("crossed answers reach each other's caller", "[standins]")
{
    ensureApplication();
    PlainServiceServer server;
    HttpClient client(server.start(0));
    client.post("/control", {{"fault", "cross_answers"}, {"count", 2}});
    QNetworkReply *first = client.start("/x", R"({"reference": "one"})");
    QNetworkReply *second = client.start("/x", R"({"reference": "two"})");
    CHECK(HttpClient::finish(first).json()["reference"].toString() == "two");
    CHECK(HttpClient::finish(second).json()["reference"].toString() == "one");
    CHECK(client.post("/x", {{"reference", "three"}}).json()["reference"].toString() == "three");
}

TEST_CASE("a late answer arrives behind the answer of a later request", "[standins]")
{
    ensureApplication();
    PlainServiceServer server;
    HttpClient client(server.start(0));
    client.post("/control", {{"fault", "late"}, {"count", 1}, {"delay_ms", 50}});
    QNetworkReply *late = client.start("/x", R"({"reference": "one"})");
    runUntil([&] {
        return server.doubleRuns() == 0 && client.get("/control").json()["calls"].toInt() == 1;
    });
    CHECK_FALSE(late->isFinished());
    CHECK(HttpClient::finish(late).json()["reference"].toString() == "one");
}

TEST_CASE("a silent server does not run the call", "[standins]")
{
    ensureApplication();
    PlainServiceServer server;
    HttpClient client(server.start(0));
    client.post("/control", {{"fault", "silent"}, {"count", 1}});
    QNetworkReply *unanswered = client.start("/x", R"({"reference": "one"})");
    CHECK(client.post("/x", {{"reference", "two"}}).json()["run"].toInt() == 1);
    CHECK(client.get("/control").json()["calls"].toInt() == 1);
    CHECK_FALSE(unanswered->isFinished());
    delete unanswered;
}

// Guards against a server that ends when a client leaves in the middle of its request.
TEST_CASE("a client that leaves does not disturb the server", "[standins]")
{
    ensureApplication();
    PlainServiceServer server({std::chrono::milliseconds(1)});
    HttpClient client(server.start(0));
    for (int i = 0; i < 10; ++i) {
        QNetworkReply *reply = client.start("/x", R"({"reference": "left"})");
        runUntil([&] {
            return client.get("/control").status == 200;
        });
        delete reply;
    }
    CHECK(client.post("/x", {{"reference", "stays"}}).status == 200);
}

// Guards against an instance list that accepts declarations which no client can use.
TEST_CASE("the instance list shows what was set and refuses invalid instances", "[standins]")
{
    ensureApplication();
    InstanceListServer server;
    HttpClient client(server.start(0));
    const QJsonObject agent {{"id", "a1"}, {"role", "agent"}, {"address", "127.0.0.1:1"}, {"domain", "kielce-a"}};
    CHECK(client.post("/control", {{"set", QJsonArray {agent}}}).status == 200);
    CHECK(client.get("/instances").json()["instances"].toArray()[0].toObject()["state"].toString() == "live");
    QJsonObject invalid = agent;
    invalid["role"] = "database";
    CHECK(client.post("/control", {{"set", QJsonArray {invalid}}}).status == 400);
    client.post("/control", {{"remove", QJsonArray {"a1"}}});
    CHECK(client.get("/instances").json()["instances"].toArray().isEmpty());
}

TEST_CASE("a malformed fault is refused with the name of its field", "[standins]")
{
    ensureApplication();
    const auto [command, field] = GENERATE(table<const char *, std::string>({
        {R"({"fault": "explode"})", "fault"},
        {R"({"fault": "late", "delay_ms": -1})", "delay_ms"},
        {R"({"fault": "late", "count": 0})", "count"},
        {R"({"fault": "lose_answer", "after_bytes": -1})", "after_bytes"},
    }));
    InstanceListServer server;
    const auto result = server.execute(QJsonDocument::fromJson(command).object());
    const Error *error = errorOf(result);
    REQUIRE(error != nullptr);
    CHECK(error->message.substr(0, field.size() + 1) == field + ":");
}
