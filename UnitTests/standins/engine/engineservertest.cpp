#include "standins/engine/engineserver.h"

#include "UnitTests/standins/httpclient.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::test;

namespace
{

EngineServerSettings fastSettings()
{
    EngineServerSettings settings;
    settings.model.stepTime = Duration(100);
    settings.model.timePerToken = Duration(0);
    settings.model.modelLoadTime = Duration(100);
    return settings;
}

struct Engine : WithApplication
{
    explicit Engine(const EngineServerSettings &settings = fastSettings()) : server(settings)
    {
        client.emplace(server.start(0));
    }

    EngineServer server;
    std::optional<HttpClient> client;
};

QJsonObject completion(const QString &requestId, const QString &prompt = "text", int maxTokens = 20)
{
    return {
        {"request_id", requestId}, {"model", "model"}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", true}};
}

/// Events of a streamed answer without the end marker.
std::vector<QJsonObject> events(const QByteArray &body)
{
    std::vector<QJsonObject> list;
    for (const QByteArray &line : body.split('\n')) {
        if (line.startsWith("data: {")) {
            list.push_back(QJsonDocument::fromJson(line.mid(6)).object());
        }
    }
    return list;
}

std::string answerText(const std::vector<QJsonObject> &list)
{
    std::string text;
    for (const QJsonObject &event : list) {
        for (const auto &token : event["tokens"].toArray()) {
            text += token.toString().toStdString();
        }
    }
    return text;
}

std::string expectedText(const std::string &prompt, std::uint64_t from, std::int64_t maxTokens)
{
    const AnswerText answer(prompt, maxTokens);
    std::string text;
    for (std::uint64_t i = from; i < answer.length(); ++i) {
        text += answer.token(i);
    }
    return text;
}

} // namespace

// Guards against an answer that a caller cannot check: the text must depend on the prompt alone.
TEST_CASE("the engine streams the text that belongs to the prompt, also from a resume position", "[standins]")
{
    Engine engine;
    const auto from = GENERATE(0U, 7U);
    QJsonObject body = completion("a-1-0");
    body["resume_from"] = static_cast<qint64>(from);
    const Exchange exchange = engine.client->post("/v1/completions", body);
    CHECK(exchange.body.endsWith("data: [DONE]\n\n"));
    const std::vector<QJsonObject> list = events(exchange.body);
    CHECK(answerText(list) == expectedText("text", from, 20));
    CHECK(list.front()["seq"].toInteger() == from);
    CHECK(list.back()["token_count"].toInteger() == static_cast<qint64>(AnswerText("text", 20).length()));
}

// Guards against a group whose members cannot pass their KV segments on.
TEST_CASE("a second engine imports the segment that the first one exported", "[standins]")
{
    Engine first;
    Engine second;
    QJsonObject body = completion("a-1-0");
    body["segment"] = QJsonObject {{"index", 0}, {"count", 2}, {"offset", 0}, {"length", 500}};
    const std::vector<QJsonObject> prefill = events(first.client->post("/v1/completions", body).body);
    const QString handle = prefill.back()["segment_handle"].toString();
    REQUIRE_FALSE(handle.isEmpty());
    body["segment"] =
        QJsonObject {{"index", 1}, {"count", 2}, {"offset", 500}, {"length", 100}, {"import_handle", handle}};
    CHECK(answerText(events(second.client->post("/v1/completions", body).body)) == expectedText("text", 0, 20));

    body["request_id"] = "a-2-0";
    body["segment"] =
        QJsonObject {{"index", 1}, {"count", 2}, {"offset", 500}, {"length", 100}, {"import_handle", handle + "none"}};
    const QJsonObject error = events(second.client->post("/v1/completions", body).body).back()["error"].toObject();
    CHECK(error["name"].toString() == "UpstreamFailed");
    CHECK(error["not_run"].toBool());
}

// Guards against memory that stays held after a cancel.
TEST_CASE("a cancelled attempt frees its memory and ends its stream with an error", "[standins]")
{
    EngineServerSettings settings = fastSettings();
    settings.model.stepTime = std::chrono::hours(1);
    Engine engine(settings);
    QNetworkReply *running = engine.client->start("/v1/completions", QJsonDocument(completion("a-1-0")).toJson());
    runUntil([&] {
        return !engine.client->get("/v1/held").json()["request_ids"].toArray().isEmpty();
    });
    CHECK(engine.client->get("/control").json()["used_tokens"].toInt() == 21);
    engine.client->post("/v1/cancel", {{"request_id", "a-1-0"}});
    CHECK(engine.client->get("/control").json()["used_tokens"].toInt() == 0);
    const std::vector<QJsonObject> list = events(HttpClient::finish(running).body);
    CHECK(list.back()["error"].toObject()["name"].toString() == "AttemptCancelled");
}

TEST_CASE("an attempt outlives its client unless the engine cancels on disconnect", "[standins]")
{
    EngineServerSettings settings = fastSettings();
    settings.model.stepTime = std::chrono::hours(1);
    settings.cancelOnDisconnect = GENERATE(false, true);
    Engine engine(settings);
    QNetworkReply *running = engine.client->start("/v1/completions", QJsonDocument(completion("a-1-0")).toJson());
    runUntil([&] {
        return engine.client->get("/control").json()["open_attempts"].toInt() == 1;
    });
    delete running;
    if (settings.cancelOnDisconnect) {
        runUntil([&] {
            return engine.client->get("/control").json()["open_attempts"].toInt() == 0;
        });
    } else {
        CHECK(engine.client->get("/control").json()["open_attempts"].toInt() == 1);
    }
}

// Guards against a restart that keeps clients waiting for answers that will not come.
TEST_CASE("a restart closes all streams and holds nothing", "[standins]")
{
    EngineServerSettings settings = fastSettings();
    settings.model.stepTime = std::chrono::hours(1);
    Engine engine(settings);
    QNetworkReply *running = engine.client->start("/v1/completions", QJsonDocument(completion("a-1-0")).toJson());
    runUntil([&] {
        return engine.client->get("/control").json()["open_attempts"].toInt() == 1;
    });
    engine.client->post("/control", {{"restart", true}});
    CHECK(HttpClient::finish(running).error != QNetworkReply::NoError);
    CHECK(engine.client->get("/v1/held").json()["request_ids"].toArray().isEmpty());
}

TEST_CASE("an order with an old fencing token is refused only by an engine that checks it", "[standins]")
{
    EngineServerSettings settings = fastSettings();
    settings.model.checkFencingTokens = GENERATE(true, false);
    Engine engine(settings);
    const QJsonObject newer {{"fencing_token", 5}, {"verb", "load"}, {"model", "other"}};
    const QJsonObject older {{"fencing_token", 4}, {"verb", "unload"}, {"model", "other"}};
    CHECK(engine.client->post("/v1/orders", newer).status == 200);
    CHECK(engine.client->post("/v1/orders", older).status == (settings.model.checkFencingTokens ? 409 : 200));
}

TEST_CASE("malformed calls of the engine are refused with the field's name", "[standins]")
{
    Engine engine;
    const auto [path, body] = GENERATE(table<const char *, const char *>({
        {"/v1/completions", R"({"request_id": "x", "model": "model", "prompt": "p"})"},
        {"/v1/completions", R"({"request_id": "a-1-0", "model": "model", "prompt": "p", "max_tokens": 0})"},
        {"/v1/cancel", R"({})"},
        {"/v1/orders", R"({"verb": "dance"})"},
        {"/v1/orders", "[]"},
    }));
    CHECK(HttpClient::finish(engine.client->start(path, body)).status == 400);
}
