#include "standins/keyvalue/keyvalueserver.h"

#include "UnitTests/standins/httpclient.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::test;

namespace
{

QString encoded(const QByteArray &text)
{
    return QString::fromLatin1(text.toBase64());
}

/// Writes `key` if its last change has revision @p modRevision.
QJsonObject compareAndSwap(const QByteArray &key, const QByteArray &value, qint64 modRevision)
{
    const QJsonObject compare {
        {"target", "MOD"}, {"result", "EQUAL"}, {"key", encoded(key)}, {"mod_revision", QString::number(modRevision)}};
    const QJsonObject put {{"request_put", QJsonObject {{"key", encoded(key)}, {"value", encoded(value)}}}};
    const QJsonObject read {{"request_range", QJsonObject {{"key", encoded(key)}}}};
    return {{"compare", QJsonArray {compare}}, {"success", QJsonArray {put}}, {"failure", QJsonArray {read}}};
}

struct Fixture : WithApplication
{
    explicit Fixture(const KeyValueServerSettings &settings = {}) : server(settings)
    {
        client.emplace(server.start(0));
    }

    KeyValueServer server;
    std::optional<HttpClient> client;
};

} // namespace

// Guards against two writers that both believe to have won.
TEST_CASE("of two compare-and-swap calls on one revision the second fails and reads the winner", "[standins]")
{
    Fixture fixture;
    CHECK(fixture.client->post("/v3/kv/txn", compareAndSwap("a", "first", 0)).json()["succeeded"].toBool());
    const QJsonObject second = fixture.client->post("/v3/kv/txn", compareAndSwap("a", "second", 0)).json();
    CHECK_FALSE(second["succeeded"].toBool());
    const QJsonObject read = second["responses"].toArray()[0].toObject()["response_range"].toObject();
    CHECK(read["kvs"].toArray()[0].toObject()["value"].toString() == encoded("first"));
}

// Guards against a watch that loses or repeats changes made before it was opened.
TEST_CASE("a watch delivers every change from its start revision once", "[standins]")
{
    Fixture fixture;
    fixture.client->post("/v3/kv/txn", compareAndSwap("a", "1", 0));
    fixture.client->post("/v3/kv/txn", compareAndSwap("a", "2", 2));
    const QJsonObject create {{"key", encoded("a")}, {"start_revision", "3"}};
    QNetworkReply *watch =
        fixture.client->start("/v3/watch", QJsonDocument(QJsonObject {{"create_request", create}}).toJson());
    runUntil([watch] {
        return watch->bytesAvailable() > 0;
    });
    fixture.client->post("/v3/kv/txn", compareAndSwap("a", "3", 3));
    QByteArray received;
    runUntil([&] {
        received += watch->readAll();
        return received.count('\n') >= 3;
    });
    CHECK_FALSE(received.contains(encoded("1").toLatin1()));
    CHECK(received.count(encoded("2").toLatin1()) == 1);
    CHECK(received.count(encoded("3").toLatin1()) == 1);
    delete watch;
}

// Guards against a watch that hides a gap in the history from its client.
TEST_CASE("a watch from a compacted revision ends with the compact revision", "[standins]")
{
    KeyValueServerSettings settings;
    settings.model.historyLimit = 1;
    Fixture fixture(settings);
    fixture.client->post("/v3/kv/txn", compareAndSwap("a", "1", 0));
    fixture.client->post("/v3/kv/txn", compareAndSwap("a", "2", 2));
    const QJsonObject create {{"key", encoded("a")}, {"start_revision", "2"}};
    const QJsonObject result =
        fixture.client->post("/v3/watch", {{"create_request", create}}).json()["result"].toObject();
    CHECK(result["canceled"].toBool());
    CHECK(result["compact_revision"].toString() == "3");
}

// Guards against a lease whose keys outlive it.
TEST_CASE("a lapsed lease deletes its keys and a keep-alive of it reports no time to live", "[standins]")
{
    Fixture fixture;
    const QString lease = fixture.client->post("/v3/lease/grant", {{"TTL", "60"}}).json()["ID"].toString();
    fixture.client->post("/v3/kv/put", {{"key", encoded("held")}, {"value", encoded("x")}, {"lease", lease}});
    CHECK(fixture.client->post("/v3/kv/range", {{"key", encoded("held")}}).json()["count"].toString() == "1");
    fixture.client->post("/control", {{"lapse_leases", true}});
    CHECK(fixture.client->post("/v3/kv/range", {{"key", encoded("held")}}).json()["count"].toString() == "0");
    const QJsonObject alive = fixture.client->post("/v3/lease/keepalive", {{"ID", lease}}).json();
    CHECK_FALSE(alive["result"].toObject().contains("TTL"));
}

// Guards against limits of the service that the fleet's tests never meet.
TEST_CASE("calls above the limits are refused without effect", "[standins]")
{
    KeyValueServerSettings settings;
    settings.writesPerSecond = 1e-6;
    settings.maxValueBytes = 3;
    Fixture fixture(settings);
    CHECK(fixture.client->post("/v3/kv/txn", compareAndSwap("a", "1", 0)).status == 429);
    CHECK(fixture.client->post("/v3/kv/range", {{"key", encoded("a")}}).json()["count"].toString() == "0");

    Fixture large;
    CHECK(large.client->post("/v3/kv/txn", compareAndSwap("a", QByteArray(1'048'577, 'x'), 0)).status == 400);
    CHECK(large.client->post("/v3/kv/range", {{"key", encoded("a")}}).json()["count"].toString() == "0");
}

// Guards against faults that lose the effect together with the answer, which would hide the hard case.
TEST_CASE("a lost answer leaves the write in place", "[standins]")
{
    Fixture fixture;
    fixture.client->post("/control", {{"fault", "lose_answer"}, {"count", 1}, {"path", "/v3/kv/txn"}});
    CHECK(fixture.client->post("/v3/kv/txn", compareAndSwap("a", "1", 0)).status == 0);
    CHECK(fixture.client->post("/v3/kv/range", {{"key", encoded("a")}}).json()["count"].toString() == "1");
}
