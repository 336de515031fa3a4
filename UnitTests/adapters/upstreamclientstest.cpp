#include "adapters/engineclient.h"
#include "adapters/enginejson.h"
#include "adapters/serviceclient.h"
#include "qttest.h"

#include <QtNetwork/QTcpServer>

using namespace ibismast;

namespace
{

const AttemptId Attempt {RequestId {Incarnation(1), 2}, 3};
const OperationId Operation {InstanceId("agent-1"), Incarnation(1), 2};

/// HTTP server that records requests and gives fixed answers by the beginning of the first line.
class ScriptedServer : NeedsEventLoop
{
public:
    ScriptedServer()
    {
        REQUIRE(m_server.listen(QHostAddress(QHostAddress::LocalHost), 0));
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            accept(m_server.nextPendingConnection());
        });
    }
    [[nodiscard]] HttpEndpoint endpoint() const
    {
        return {QHostAddress(QHostAddress::LocalHost), m_server.serverPort()};
    }
    /// Answers requests that begin with @p start with @p answer, then closes the connection if @p close is set.
    void answer(const std::string &start, const std::string &answer, bool close = true)
    {
        m_answers[start] = {answer, close};
    }
    [[nodiscard]] std::size_t count(const std::string &start) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(requests, [&start](const std::string &request) {
            return request.starts_with(start);
        }));
    }

    std::vector<std::string> requests;
    std::vector<QTcpSocket *> open;

private:
    void accept(QTcpSocket *socket)
    {
        const auto parser = std::make_shared<HttpMessageParser>(HttpMessageKind::Request, HttpMessageLimits());
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, parser] {
            const QByteArray bytes = socket->readAll();
            const auto used = parser->consume({bytes.constData(), static_cast<std::size_t>(bytes.size())});
            REQUIRE(errorOf(used) == nullptr);
            if (!parser->done()) {
                return;
            }
            const HttpHead head = parser->head();
            requests.push_back(head.method + ' ' + head.target + '\n' + parser->takeBody());
            for (const auto &[start, reply] : m_answers) {
                if (requests.back().starts_with(start)) {
                    socket->write(reply.first.data(), static_cast<qint64>(reply.first.size()));
                    if (reply.second) {
                        socket->disconnectFromHost();
                    } else {
                        open.push_back(socket);
                    }
                    return;
                }
            }
            open.push_back(socket);
        });
    }

    QTcpServer m_server;
    std::map<std::string, std::pair<std::string, bool>> m_answers;
};

std::string ok(const std::string &body, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string Load = R"({"used_tokens": 5, "capacity_tokens": 10, "prefill_rate": 2.5, "decode_rate": 1,)"
                         R"( "models": ["small"]})";

EngineSubmit submitCommand()
{
    EngineSubmit submit;
    submit.attempt = Attempt;
    submit.model = ModelName("small");
    submit.promptTokens = Tokens(9);
    submit.maxOutputTokens = Tokens(4);
    submit.priority = 17;
    submit.body = std::make_shared<const std::string>(
        R"( { "model" : "small", "stream":false, "priority": [9, {"x": "}"}], "prompt": "a\"b, {", "request_id":1 } )");
    return submit;
}

/// Engine client with a recording of its events.
struct Client
{
    explicit Client(const ScriptedServer &server)
        : engine(settingsFor(server), [this](const EngineEvent &event) {
            events.push_back(event);
        })
    {
    }
    static EngineClientSettings settingsFor(const ScriptedServer &server)
    {
        EngineClientSettings settings;
        settings.endpoint = server.endpoint();
        settings.loadInterval = std::chrono::milliseconds(5);
        settings.cacheInterval = std::chrono::milliseconds(5);
        return settings;
    }
    template<typename Event> [[nodiscard]] std::size_t count() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(events, [](const EngineEvent &event) {
            return std::holds_alternative<Event>(event);
        }));
    }
    template<typename Event> [[nodiscard]] bool waitFor()
    {
        return runUntil([this] {
            return count<Event>() > 0;
        });
    }
    template<typename Event> [[nodiscard]] const Event &last() const
    {
        const auto found = std::find_if(events.rbegin(), events.rend(), [](const EngineEvent &event) {
            return std::holds_alternative<Event>(event);
        });
        REQUIRE(found != events.rend());
        return std::get<Event>(*found);
    }

    std::vector<EngineEvent> events;
    EngineClient engine;
};

} // namespace

// Guards against a caller that sets its own priority or request id, and against a prompt that is altered on the way.
TEST_CASE("the engine gets the caller's body with the engine's fields", "[adapters]")
{
    EngineSubmit submit = submitCommand();
    submit.resumeFrom = 2;
    submit.resumeText = "\"";
    submit.prefixHashes = {UINT64_MAX};
    submit.group = GroupSegment {{InstanceId("a"), InstanceId("b")}, 1, Tokens(3), Tokens(6), "h"};
    CHECK(engineSubmitBody(submit)
          == R"({"model" : "small","prompt": "a\"b, {","stream":true,"request_id":"1-2-3","priority":17,)"
             R"("prompt_tokens":9,"max_tokens":4,"resume_from":2,"resume_text":"\"",)"
             R"("prefix_hashes":["18446744073709551615"],)"
             R"("segment":{"index":1,"count":2,"offset":3,"length":6,"import_handle":"h"}})");
}

// Guards against tokens that are lost, repeated or counted wrongly when events arrive in any division.
TEST_CASE("the events of an engine's stream are read", "[adapters]")
{
    const std::string stream = "data: {\"seq\": 0, \"tokens\": [\"a\", \"b\"]}\r\n\r\n: comment\n\n"
                               "data: {\"seq\": 2, \"tokens\": [\"\\u00e9\"]}\n\n"
                               "data: {\"finish_reason\": \"stop\", \"token_count\": 3}\n\ndata: [DONE]\n\n";
    const auto step = GENERATE(std::size_t(1), std::size_t(7), std::size_t(1000));
    EventStreamReader reader(1000);
    std::vector<EngineEvent> events;
    for (std::size_t i = 0; i < stream.size(); i += step) {
        for (const std::string &line : reader.append(std::string_view(stream).substr(i, step))) {
            if (const auto event = parseStreamEvent(Attempt, line)) {
                events.push_back(*event);
            }
        }
    }
    REQUIRE(events.size() == 3);
    CHECK(std::get<EngineTokens>(events[0]).tokens == std::vector<std::string> {"a", "b"});
    CHECK(std::get<EngineTokens>(events[1]).firstSequence == 2);
    CHECK(std::get<EngineTokens>(events[1]).tokens == std::vector<std::string> {"\u00e9"});
    CHECK(std::get<EngineFinished>(events[2]).tokenCount == 3);
}

// Guards against an attempt whose end is not reported or reported twice.
TEST_CASE("each stream of the engine ends with one event", "[adapters]")
{
    struct Ending
    {
        std::string answer;
        std::string kind;
        bool mayHaveStarted;
    };
    const auto ending = GENERATE(
        Ending {
            StreamHead + "data: {\"finish_reason\": \"stop\", \"token_count\": 0}\n\ndata: [DONE]\n\n", "end", true},
        Ending {StreamHead + "data: {\"segment_handle\": \"h\"}\n\ndata: [DONE]\n\n", "segment", true},
        Ending {StreamHead + "data: {\"error\": {\"code\": 2006, \"not_run\": true}}\n\n", "failed", false},
        Ending {StreamHead + "data: {\"seq\": 0, \"tokens\": [\"a\"]}\n\n", "failed", true},
        Ending {StreamHead + "data: nonsense\n\n", "failed", true},
        Ending {StreamHead + "data: " + std::string(2'000'000, 'x'), "failed", true},
        Ending {"HTTP/1.1 nonsense\r\n\r\n", "failed", true},
        Ending {"", "failed", true},
        Ending {ok("{\"error\": {\"code\": 2006, \"not_run\": true}}", "503 No"), "failed", false},
        Ending {ok("no", "500 No"), "failed", true},
        Ending {ok("", "404 No"), "failed", false});
    ScriptedServer server;
    server.answer("POST /v1/completions", ending.answer);
    Client client(server);
    client.engine.execute(submitCommand());
    REQUIRE(runUntil([&client] {
        return client.engine.streamCount() == 0;
    }));
    CHECK(server.count("POST /v1/completions") == 1);
    CHECK(client.count<EngineFinished>() == (ending.kind == "end" ? 1 : 0));
    CHECK(client.count<EngineSegmentExported>() == (ending.kind == "segment" ? 1 : 0));
    REQUIRE(client.count<EngineFailed>() == (ending.kind == "failed" ? 1 : 0));
    if (ending.kind == "failed") {
        CHECK(client.last<EngineFailed>().mayHaveStarted == ending.mayHaveStarted);
    }
}

// Guards against an attempt that is reported as possibly run although the engine was not reachable.
TEST_CASE("an engine that cannot be reached has not run the attempt", "[adapters]")
{
    EngineClientSettings settings;
    {
        const ScriptedServer gone;
        settings.endpoint = gone.endpoint();
    }
    std::vector<EngineEvent> events;
    EngineClient engine(settings, [&events](const EngineEvent &event) {
        events.push_back(event);
    });
    engine.execute(submitCommand());
    REQUIRE(runUntil([&events] {
        return !events.empty();
    }));
    CHECK_FALSE(std::get<EngineFailed>(events[0]).mayHaveStarted);
}

// Guards against a cancelled attempt that is reported as failed or whose cancel counts before the engine confirms it.
TEST_CASE("a cancel is reported when the engine confirms it", "[adapters]")
{
    ScriptedServer server;
    server.answer("POST /v1/completions", StreamHead + "data: {\"seq\": 0, \"tokens\": [\"a\"]}\n\n", false);
    server.answer("POST /v1/cancel", ok("no", "500 No"));
    Client client(server);
    client.engine.execute(submitCommand());
    REQUIRE(client.waitFor<EngineTokens>());
    client.engine.execute(EngineCancel {Attempt});
    REQUIRE(runUntil([&server] {
        return server.count("POST /v1/cancel") == 1;
    }));
    server.answer("POST /v1/cancel", ok("{}"));
    server.open.at(0)->write("data: {\"error\": {\"code\": 2012}}\n\n");
    client.engine.execute(EngineCancel {Attempt});
    REQUIRE(client.waitFor<EngineCancelled>());
    CHECK(client.count<EngineCancelled>() == 1);
    CHECK(client.count<EngineFailed>() == 0);
    CHECK(client.engine.streamCount() == 0);
}

// Guards against a view of the engine that stays empty, and against an outage that is not noticed.
TEST_CASE("load, cache events, held attempts and outages are reported", "[adapters]")
{
    ScriptedServer server;
    server.answer("GET /v1/load", ok(Load));
    server.answer("GET /v1/held", ok(R"({"request_ids": ["1-2-3", "other"]})"));
    server.answer("GET /v1/cache_events?since=0",
                  ok(R"({"events": [{"seq": 4, "added": ["7"], "removed": ["18446744073709551615"]}]})"));
    server.answer("GET /v1/cache_events?since=4", ok(R"({"events": []})"));
    Client client(server);
    client.engine.start();
    REQUIRE(client.waitFor<EngineLoad>());
    CHECK(std::holds_alternative<EngineUp>(client.events[0]));
    CHECK(client.last<EngineLoad>().memoryCapacity == Tokens(10));
    CHECK(client.last<EngineLoad>().models == std::vector {ModelName("small")});
    REQUIRE(client.waitFor<EngineCacheEvent>());
    CHECK(client.last<EngineCacheEvent>().removed == std::vector<std::uint64_t> {UINT64_MAX});
    REQUIRE(runUntil([&server] {
        return server.count("GET /v1/cache_events?since=4") > 0;
    }));
    client.engine.execute(EngineListHeld {});
    REQUIRE(client.waitFor<EngineHeld>());
    CHECK(client.last<EngineHeld>().attempts == std::vector {Attempt});
    server.answer("GET /v1/load", ok("{}"));
    REQUIRE(client.waitFor<EngineDown>());
    server.answer("GET /v1/load", ok(Load));
    CHECK(runUntil([&client] {
        return client.count<EngineUp>() == 2;
    }));
}

// Guards against an order with an old fencing token that counts as carried out.
TEST_CASE("the outcome of an order is reported", "[adapters]")
{
    struct Outcome
    {
        std::string answer;
        std::optional<ResultCode> code;
    };
    const auto outcome = GENERATE(Outcome {ok("{}"), std::nullopt},
                                  Outcome {ok("{}", "409 Conflict"), ResultCode::StaleFencingToken},
                                  Outcome {"", ResultCode::UpstreamFailed});
    ScriptedServer server;
    server.answer("POST /v1/orders", outcome.answer);
    Client client(server);
    UpstreamOrder order;
    order.call = 8;
    order.token = FencingToken(77);
    order.verb = "load";
    client.engine.execute(EngineOrder {order});
    REQUIRE(client.waitFor<EngineOrderResult>());
    CHECK(client.last<EngineOrderResult>().call == 8);
    CHECK(client.last<EngineOrderResult>().error.has_value() == outcome.code.has_value());
    if (outcome.code) {
        CHECK(client.last<EngineOrderResult>().error->code == *outcome.code);
    }
    CHECK(server.requests[0].find("\"fencing_token\":77") != std::string::npos);
}

// Guards against tokens that pile up in the agent while an entry does not read.
TEST_CASE("a paused stream is not read until it is resumed", "[adapters]")
{
    ScriptedServer server;
    server.answer("POST /v1/completions", StreamHead + "data: {\"seq\": 0, \"tokens\": [\"a\"]}\n\n", false);
    Client client(server);
    client.engine.setPaused(Incarnation(1), true);
    client.engine.execute(submitCommand());
    REQUIRE(runUntil([&server] {
        return server.open.size() == 1 && server.open[0]->bytesToWrite() == 0;
    }));
    server.answer("GET /v1/held", ok(R"({"request_ids": []})"));
    client.engine.execute(EngineListHeld {});
    REQUIRE(client.waitFor<EngineHeld>());
    CHECK(client.count<EngineTokens>() == 0);
    client.engine.setPaused(Incarnation(1), false);
    CHECK(client.waitFor<EngineTokens>());
}

// Guards against a booking that is sent twice or reported as not run although the service may have run it.
TEST_CASE("a call of the plain service is sent once and its outcome is exact", "[adapters]")
{
    ScriptedServer server;
    server.answer("POST /broken", "");
    server.answer("POST /fine", ok("made", "201 Created"));
    std::vector<ServiceEvent> events;
    ServiceClient client(server.endpoint(), [&events](const ServiceEvent &event) {
        events.push_back(event);
    });
    ServiceInvoke call {Operation,
                        CustomerId("c"),
                        "POST",
                        "/broken",
                        "text/plain",
                        std::make_shared<const std::string>("data"),
                        std::chrono::seconds(10)};
    client.invoke(call);
    REQUIRE(runUntil([&events] {
        return events.size() == 1;
    }));
    CHECK(std::get<ServiceFailure>(events[0]).mayHaveRun);
    CHECK(std::get<ServiceFailure>(events[0]).error.code == ResultCode::ServiceFailed);
    call.path = "/fine";
    client.invoke(call);
    REQUIRE(runUntil([&events] {
        return events.size() == 2;
    }));
    CHECK(std::get<ServiceReply>(events[1]).httpStatus == 201);
    CHECK(*std::get<ServiceReply>(events[1]).body == "made");
    CHECK(server.count("POST /broken") == 1);
    CHECK(server.count("POST /fine") == 1);
    // The time is over although the service holds the connection open.
    call.path = "/silent";
    call.timeLeft = std::chrono::milliseconds(300);
    client.invoke(call);
    REQUIRE(runUntil([&events] {
        return events.size() == 3;
    }));
    CHECK(std::get<ServiceFailure>(events[2]).mayHaveRun);
    CHECK(std::get<ServiceFailure>(events[2]).error.code == ResultCode::DeadlineExceeded);
    // A path that would add a header is never sent.
    call.path = "/x HTTP/1.1\r\nEvil: 1";
    client.invoke(call);
    REQUIRE(events.size() == 4);
    CHECK_FALSE(std::get<ServiceFailure>(events[3]).mayHaveRun);
    CHECK(server.requests.size() == 3);
}

// Guards against a service or engine whose answer never ends and fills the memory (reports of other operators, issue
// 40).
TEST_CASE("an answer without end is given up at a limit", "[adapters]")
{
    ScriptedServer server;
    const std::string megabyte(std::size_t {1} << 20, 'x');
    std::string body;
    for (int count = 0; count < 40; ++count) {
        body += megabyte;
    }
    server.answer("POST /long", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n" + body, false);
    std::vector<ServiceEvent> events;
    ServiceClient client(server.endpoint(), [&events](const ServiceEvent &event) {
        events.push_back(event);
    });
    client.invoke({Operation,
                   CustomerId("c"),
                   "POST",
                   "/long",
                   "text/plain",
                   std::make_shared<const std::string>("data"),
                   std::chrono::seconds(60)});
    REQUIRE(runUntil([&events] {
        return !events.empty();
    }));
    CHECK(std::get<ServiceFailure>(events[0]).mayHaveRun);
    CHECK(std::get<ServiceFailure>(events[0]).error.message.find("size limit") != std::string::npos);
}

// Guards against the part of an answer that counts as a whole one: the service answers a long request at once, without
// a length, and resets the connection while the request is still being written (report of other operators, issue 58).
TEST_CASE("an answer without a length is not complete if the request was not written", "[adapters]")
{
    const auto [bodyBytes, answer, complete] = GENERATE(table<std::size_t, std::string, bool>({
        {4, "HTTP/1.1 200 OK\r\n\r\nok", true},
        {std::size_t {32} << 20, "HTTP/1.1 200 OK\r\n\r\nok", false},
        {std::size_t {32} << 20, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
        {4, "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", false},
    }));
    NeedsEventLoop eventLoop;
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress(QHostAddress::LocalHost), 0));
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&server, answer = answer] {
        QTcpSocket *socket = server.nextPendingConnection();
        // What is not read makes the end of the connection a reset.
        socket->setReadBufferSize(1'024);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, answer] {
            if (socket->bytesAvailable() < 1'024) {
                (void)socket->readAll();
            }
            socket->write(answer.data(), static_cast<qint64>(answer.size()));
            socket->flush();
            socket->disconnectFromHost();
        });
    });
    std::vector<ServiceEvent> events;
    ServiceClient client({QHostAddress(QHostAddress::LocalHost), server.serverPort()},
                         [&events](const ServiceEvent &event) {
                             events.push_back(event);
                         });
    client.invoke({Operation,
                   CustomerId("c"),
                   "POST",
                   "/x",
                   "text/plain",
                   std::make_shared<const std::string>(bodyBytes, 'x'),
                   std::chrono::seconds(20)});
    REQUIRE(runUntil([&events] {
        return !events.empty();
    }));
    CHECK(std::holds_alternative<ServiceReply>(events[0]) == complete);
    if (!complete) {
        CHECK(std::get<ServiceFailure>(events[0]).mayHaveRun);
    }
}

// Guards against a service that ends the process by a trailer of 64 KiB in its answer (review case 1).
TEST_CASE("an answer that the library cannot hold is a failure of the service", "[adapters]")
{
    ScriptedServer server;
    server.answer("POST /long",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: "
                      + std::string(GENERATE(65'600, 100'000), 'y') + "\r\n\r\n");
    std::vector<ServiceEvent> events;
    ServiceClient client(server.endpoint(), [&events](const ServiceEvent &event) {
        events.push_back(event);
    });
    client.invoke({Operation,
                   CustomerId("c"),
                   "POST",
                   "/long",
                   "text/plain",
                   std::make_shared<const std::string>("data"),
                   std::chrono::seconds(10)});
    REQUIRE(runUntil([&events] {
        return !events.empty();
    }));
    CHECK(std::get<ServiceFailure>(events[0]).mayHaveRun);
    CHECK(std::get<ServiceFailure>(events[0]).error.code == ResultCode::ServiceFailed);
}
